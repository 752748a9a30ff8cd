package daemon

import (
	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/routing"
)

// setEndpoints replaces the controller's endpoint list. The error is a *controller.FieldError for an entry that was
// rejected; the list is then unchanged.
func (l *controllerLoop) setEndpoints(endpoints []controller.Endpoint) (err error) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Listed(nowMs, endpoints) },
		func(nowMs float64) { err = l.controller.SetEndpoints(nowMs, endpoints) })
	return err
}

// observeWatchFailure reports that watching the endpoint list failed.
func (l *controllerLoop) observeWatchFailure() {
	l.recordedCall(record.ListFailed, l.controller.ObserveWatchFailure)
}

// observeHealthCheck reports the result of a health check.
func (l *controllerLoop) observeHealthCheck(host string, result routing.HealthCheckResult, load routing.HostLoad) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Probed(nowMs, host, result, load) },
		func(nowMs float64) { l.controller.ObserveHealthCheck(nowMs, host, result, load) })
}

// poll starts a long poll and gives its id. deliver is called once with the response unless the poll is canceled; it
// is never called where poll gives an error.
func (l *controllerLoop) poll(request controller.PollRequest, deliver func(controller.Response)) (id int64, err error) {
	err = errStopping
	l.call(func(nowMs float64) {
		l.lastID++
		id = l.lastID
		l.pendingPolls[id] = deliver
		if l.recorder != nil {
			l.recorder.write(record.Poll(nowMs, id, request))
		}
		err = l.controller.Poll(nowMs, id, request, l)
		if err != nil {
			delete(l.pendingPolls, id)
		}
	})
	return id, err
}

// cancelPoll ends a pending poll whose proxy closed the connection.
func (l *controllerLoop) cancelPoll(proxy string, id int64) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.PollGone(nowMs, proxy, id) },
		func(nowMs float64) {
			delete(l.pendingPolls, id)
			l.controller.CancelPoll(nowMs, proxy, id)
		})
}

// disconnect ends a proxy's session and tells whether it had one.
func (l *controllerLoop) disconnect(proxy string) (connected bool) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Leave(nowMs, proxy) },
		func(nowMs float64) { connected = l.controller.Disconnect(nowMs, proxy, l) })
	return connected
}

// observeProxyStats passes on a proxy's request statistics; counted is false for a repeated report.
func (l *controllerLoop) observeProxyStats(proxy string, stats controller.ProxyStats) (counted bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Sums(nowMs, proxy, stats) },
		func(nowMs float64) { counted, err = l.controller.ObserveProxyStats(nowMs, proxy, stats) })
	return counted, err
}

// observeLoadReport passes on a host's own load report; counted is false for a repeated report.
func (l *controllerLoop) observeLoadReport(host string, report controller.LoadReport) (counted bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.HostLoad(nowMs, host, report) },
		func(nowMs float64) { counted, err = l.controller.ObserveLoadReport(nowMs, host, report) })
	return counted, err
}

// applyOverrides passes operators' commands on; queued tells that some of them wait for their turn.
func (l *controllerLoop) applyOverrides(commands []operator.Command) (queued bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Operate(nowMs, commands) },
		func(nowMs float64) { queued, err = l.controller.ApplyOverrides(nowMs, commands, l) })
	return queued, err
}

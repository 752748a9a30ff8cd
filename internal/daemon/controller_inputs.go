package daemon

import (
	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/routing"
)

// setEndpoints replaces the controller's endpoint list. The error for a rejected list is a *controller.FieldError that
// names the invalid field; the list in force then stays.
func (l *controllerLoop) setEndpoints(endpoints []controller.Endpoint) (err error) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.EndpointList(nowMs, endpoints) },
		func(nowMs float64) { err = l.controller.SetEndpoints(nowMs, endpoints) })
	return err
}

// observeWatchFailure notifies the controller that the watch of the endpoint list has failed.
func (l *controllerLoop) observeWatchFailure() {
	l.recordedCall(record.WatchFailure, l.controller.ObserveWatchFailure)
}

// observeHealthCheck passes the result of a health check to the controller.
func (l *controllerLoop) observeHealthCheck(host string, result routing.HealthCheckResult, load routing.HostLoad) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.HealthCheck(nowMs, host, result, load) },
		func(nowMs float64) { l.controller.ObserveHealthCheck(nowMs, host, result, load) })
}

// poll starts a long poll and returns its id. deliver is called once with the response, unless the poll is canceled or
// poll returns an error: errStopping, or that of controller.Controller.Poll.
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

// cancelPoll ends a pending poll whose proxy has closed the connection.
func (l *controllerLoop) cancelPoll(proxy string, id int64) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.CanceledPoll(nowMs, proxy, id) },
		func(nowMs float64) {
			delete(l.pendingPolls, id)
			l.controller.CancelPoll(nowMs, proxy, id)
		})
}

// disconnect ends a proxy's session and reports whether it had one.
func (l *controllerLoop) disconnect(proxy string) (connected bool) {
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Disconnect(nowMs, proxy) },
		func(nowMs float64) { connected = l.controller.Disconnect(nowMs, proxy, l) })
	return connected
}

// hasProxy reports whether a proxy has a session. It runs no other work of the controller.
func (l *controllerLoop) hasProxy(proxy string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.HasProxy(proxy)
}

// hasEndpoint reports whether a host is on the endpoint list. It runs no other work of the controller.
func (l *controllerLoop) hasEndpoint(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.HasEndpoint(host)
}

// observeProxyStats passes a proxy's request stats to the controller. counted is false for a report that is repeated or
// older than one that was counted. The error is errStopping, or that of controller.Controller.ObserveProxyStats.
func (l *controllerLoop) observeProxyStats(proxy string, stats controller.ProxyStats) (counted bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.ProxyStats(nowMs, proxy, stats) },
		func(nowMs float64) { counted, err = l.controller.ObserveProxyStats(nowMs, proxy, stats) })
	return counted, err
}

// observeLoadReport passes a host's own load report to the controller. counted is false for a report that is repeated
// or older than one that was counted. The error is errStopping, or that of controller.Controller.ObserveLoadReport.
func (l *controllerLoop) observeLoadReport(host string, report controller.LoadReport) (counted bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.LoadReport(nowMs, host, report) },
		func(nowMs float64) { counted, err = l.controller.ObserveLoadReport(nowMs, host, report) })
	return counted, err
}

// applyOverrides passes commands of operators to the controller, and reports whether any of them is queued. The error
// is errStopping, or that of controller.Controller.ApplyOverrides.
func (l *controllerLoop) applyOverrides(commands []operator.Command) (queued bool, err error) {
	err = errStopping
	l.recordedCall(
		func(nowMs float64) *recordpb.Record { return record.Overrides(nowMs, commands) },
		func(nowMs float64) { queued, err = l.controller.ApplyOverrides(nowMs, commands, l) })
	return queued, err
}

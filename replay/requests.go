package replay

import (
	"fmt"
	"slices"

	"barleysail/controller"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
	"barleysail/routing"
)

// simulatedRequest is a request in progress.
type simulatedRequest struct {
	class            string
	classIndex       int
	arrivalMs        float64
	relativeWork     float64
	deadlineMs       float64
	objectiveMs      float64
	id               string
	triedHosts       []string
	recordedTable    *controller.Table // nil: not known
	recordedAttempts []*recordpb.Try
	retryPolicy      int
	executions       int // attempts that were executed, or may have been
}

// startRequest starts a request at the time of its recorded arrival.
func (s *simulation) startRequest(proxyName, zone string, recorded *recordpb.Transaction, services []attemptService) {
	index, ok := s.classIndex[recorded.Class]
	if !ok {
		return
	}
	proxy, class := s.proxy(proxyName, zone), s.settings.Classes[index]
	s.countArrival(recorded.Class, zone)
	window := s.window(recorded.Came)
	window.Offered[index] += class.PriorityWeight
	served := 0.0
	last := len(recorded.Tries) - 1
	if recorded.Fulfilled &&
		recorded.Tries[last].At+recorded.Tries[last].Took-recorded.Came <= class.LatencyObjectiveMs {
		served = class.PriorityWeight
	}
	window.Recorded[index] += served
	demand := proxy.stats.Demand[recorded.Class]
	demand.Arrivals++
	proxy.stats.Demand[recorded.Class] = demand
	s.counter++
	request := &simulatedRequest{
		class:        recorded.Class,
		classIndex:   index,
		arrivalMs:    s.nowMs,
		deadlineMs:   class.DeadlineMs,
		objectiveMs:  class.LatencyObjectiveMs,
		relativeWork: s.relativeWork(recorded, services),
		id:           fmt.Sprintf("%s-%d", proxyName, s.counter),
	}
	table := proxy.tables[recorded.Class]
	if !table.Assigned { // the proxy used its own hosts, not those of a controller
		s.outcome.UnroutedRequests++
		window.Replayed[index] += served
		return
	}
	request.recordedTable, request.recordedAttempts = proxy.recorded.table(recorded.Class), recorded.Tries
	if !s.admit(table.AdmissionRatio, request.recordedTable, recorded.LetIn) {
		return
	}
	request.retryPolicy = table.RetryPolicy
	s.startAttempt(proxy, request)
}

// recordedHost returns the host of the next attempt in the recording if all attempts so far went to the recorded
// hosts, and "" otherwise.
func (r *simulatedRequest) recordedHost() string {
	n := len(r.triedHosts)
	if n >= len(r.recordedAttempts) {
		return ""
	}
	for i, host := range r.triedHosts {
		if r.recordedAttempts[i].Host != host {
			return ""
		}
	}
	return r.recordedAttempts[n].Host
}

// relativeWork returns the work of a recorded request relative to the usual work of its class, 1 if it is not known.
func (s *simulation) relativeWork(request *recordpb.Transaction, services []attemptService) float64 {
	for i, attempt := range request.Tries {
		if response.Result(attempt.Result) == response.Fulfilled {
			return s.analysis.model.RelativeWork(request.Class, attempt.Host, services[i].startMs, services[i].serviceMs)
		}
	}
	return 1
}

// window returns the window of a time.
func (s *simulation) window(atMs float64) *Window {
	i := max(int((atMs-s.outcome.FromMs)/windowMs), 0)
	classes := len(s.outcome.Classes)
	for len(s.outcome.Windows) <= i {
		s.outcome.Windows = append(s.outcome.Windows, Window{
			Offered:  make([]float64, classes),
			Recorded: make([]float64, classes),
			Replayed: make([]float64, classes),
		})
	}
	return &s.outcome.Windows[i]
}

// startAttempt sends the request to a host that was not tried before, by the proxy's current table.
func (s *simulation) startAttempt(proxy *simulatedProxy, request *simulatedRequest) {
	table := proxy.tables[request.class]
	wasTried := func(host string) bool { return slices.Contains(request.triedHosts, host) }
	excluded := func(host string) bool { return wasTried(host) || s.nowMs < proxy.ejections[host].untilMs }
	host, ok := s.drawCoupled(&table, request.recordedTable, request.recordedHost(), excluded)
	if !ok {
		host, ok = s.drawByWeight(&table, wasTried)
	}
	if !ok {
		s.countNoResponse(proxy, request)
		return
	}
	startMs := s.nowMs
	timeoutMs := request.arrivalMs + request.deadlineMs - s.nowMs
	endMs, result := s.hosts.Respond(request.class, host, s.nowMs, request.relativeWork, timeoutMs)
	parameters := s.analysis.model.Parameters(host)
	workMs := s.analysis.model.ServiceTime(request.class, host, s.nowMs) / parameters.ServiceTimeFactor *
		request.relativeWork
	s.eventLog.LogAttempt(s.nowMs, host, proxy.name, request.class, request.id, workMs, result != response.NeverRan)
	request.triedHosts = append(request.triedHosts, host)
	if result != response.NeverRan {
		request.executions++
	}
	if s.settings.Limits.NonIdempotentClasses[request.class] && len(request.triedHosts) == 1 {
		s.nonIdempotentRequests++
	}
	if s.settings.Limits.NonIdempotentClasses[request.class] && request.executions == 2 {
		s.executedTwice++
	}
	s.timers.Schedule(endMs, func() { s.endAttempt(proxy, request, host, startMs, result) })
}

func (s *simulation) endAttempt(
	proxy *simulatedProxy, request *simulatedRequest, host string, startMs float64, result response.Result,
) {
	stats, known := proxy.stats.Hosts[host]
	if !known {
		stats.Load = routing.UnknownLoad
	}
	if stats.Attempts++; result == response.Fulfilled {
		stats.MeanLatencyMs += s.nowMs - startMs // a sum until the stats are sent
		if s.analysis.reportsLoad {
			utilization, queueLength := s.hosts.Load(host, s.nowMs)
			// The latest load is reported.
			stats.Load = routing.HostLoad{Utilization: utilization, RequestRate: -1, QueueLength: queueLength}
		}
	} else {
		stats.Failed++
	}
	proxy.stats.Hosts[host] = stats
	proxy.noteResult(host, result, s.nowMs)
	switch {
	case result == response.Fulfilled:
		if s.nowMs-request.arrivalMs <= request.objectiveMs {
			s.window(request.arrivalMs).Replayed[request.classIndex] += s.settings.Classes[request.classIndex].PriorityWeight
		}
	case s.nowMs < request.arrivalMs+request.deadlineMs &&
		shouldRetry(request.retryPolicy, len(request.triedHosts), result, proxy.idempotentClasses[request.class]):
		s.startAttempt(proxy, request)
	default:
		s.countNoResponse(proxy, request)
	}
}

// noteResult ejects a host after the configured number of failures in a row, as package client does.
func (p *simulatedProxy) noteResult(host string, result response.Result, nowMs float64) {
	if p.ejectAfterFailures == 0 {
		return
	}
	if result == response.Fulfilled {
		delete(p.ejections, host)
		return
	}
	state := p.ejections[host]
	if state.failures++; state.failures >= p.ejectAfterFailures {
		state = ejection{untilMs: nowMs + p.ejectionMs}
	}
	p.ejections[host] = state
}

// ejection is what a proxy remembers of a host that failed.
type ejection struct {
	failures int // in a row
	untilMs  float64
}

// shouldRetry reports whether a proxy retries by its table's retry policy after a number of attempts, as package client
// does. Policy 0 allows no retry, 1 one retry after NeverRan, 2 and 3 one and two retries after any failure. A request
// that is not idempotent is only retried after NeverRan.
func shouldRetry(retryPolicy, attempts int, last response.Result, idempotent bool) bool {
	maxRetries := retryPolicy
	if retryPolicy > 1 {
		maxRetries = retryPolicy - 1
	}
	return attempts <= maxRetries && (last == response.NeverRan || retryPolicy > 1 && idempotent)
}

func (s *simulation) countNoResponse(proxy *simulatedProxy, request *simulatedRequest) {
	if demand := proxy.stats.Demand[request.class]; demand.NoResponse < demand.Arrivals {
		demand.NoResponse++
		proxy.stats.Demand[request.class] = demand
	}
}

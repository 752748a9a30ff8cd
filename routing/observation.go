package routing

import "math"

const (
	queueUtilization = 0.5 // busy cores of a server that reports no waiting transaction
)

// HostState is what the list says of a host.
type HostState int

// As on the list: removed, in service, finishing its work.
const (
	Removed HostState = iota
	Ready
	Draining
)

// HealthCheckResult of a probe.
type HealthCheckResult int

// A probe was answered, answered with an error or refusal, had no answer in time, or found nothing there.
const (
	Healthy HealthCheckResult = iota
	Rejected
	TimedOut
	Unreachable
)

// HostLoad is what a host reports of itself; a value below 0 was not reported.
type HostLoad struct {
	Utilization float64 `json:"Util"`
	RequestRate float64 `json:"Rate"`
	QueueLength float64 `json:"Queue"`
}

// UnknownLoad reports nothing.
var UnknownLoad = HostLoad{-1, -1, -1}

// effectiveUtilization is the part of a server's cores that a report shows as busy, below 0 if it shows nothing.
func (l HostLoad) effectiveUtilization() float64 {
	if l.Utilization < 0 && l.QueueLength >= 0 {
		return math.Min(1, queueUtilization+l.QueueLength)
	}
	return l.Utilization
}

func (s *Balancer) ObserveHostStats(host, tries, failed int, mean, span float64, load HostLoad) {
	v := s.host(host)
	good := float64(max(tries-failed, 0))
	f := &v.stats.pending
	f.successes, f.failures, f.latencyMs = f.successes+good, f.failures+float64(failed), f.latencyMs+mean*good
	s.reports.spanSumMs, s.reports.count = s.reports.spanSumMs+span, s.reports.count+1
	v.observeLoad(load)
	s.reports.pending = true
}

func (v *hostRecord) observeLoad(load HostLoad) {
	if load != UnknownLoad {
		v.load = load
	}
}

func (s *Balancer) ObserveDemand(p, class, came int, span float64) {
	s.admission.classDemand[class] += float64(came)
	if p < len(s.proxies) {
		q := &s.proxies[p]
		q.pendingRequests, q.pendingSpanMs = q.pendingRequests+float64(came), math.Max(q.pendingSpanMs, span)
	}
}

func (s *Balancer) ObserveHealthCheck(host int, how HealthCheckResult, load HostLoad) {
	v := s.host(host)
	v.health.checkInFlight = false
	switch how {
	case Healthy:
		v.health.consecutiveFailures, v.health.consecutiveSuccesses = 0, v.health.consecutiveSuccesses+1
		v.observeLoad(load)
	case TimedOut, Unreachable:
		v.health.consecutiveFailures, v.health.consecutiveSuccesses, v.health.unreachable = v.health.consecutiveFailures+1, 0, how == Unreachable
	}
}

// RestoreHost notes what an earlier life knew of a host, as far as the caller still trusts it: where the moves had put its
// weight, as a part of the listed one; its mean time, 0 for unknown; and tries fulfilled and failed. It is evidence like
// any other: moves, drift and sums go on from there, and it proves no withdrawal.
func (s *Balancer) RestoreHost(host int, weight, r, won, lost float64) {
	v := s.host(host)
	v.balance.weight = v.endpoint.baseWeight * weight
	v.stats.recentSuccesses, v.stats.recentFailures = won, lost
	if r > 0 {
		v.stats.meanLatencyMs = r
	}
}

// RestoreAdmission notes the level, each class's share and the median of mean times that an earlier life had; 0 for a median
// that is not known.
func (s *Balancer) RestoreAdmission(level float64, shares []float64, median float64) {
	s.admission.ratio = level
	copy(s.admission.quotas, shares)
	if s.admission.retryPolicy = 1; level < 1 {
		s.admission.retryPolicy = 0
	}
	s.fleet.medianLatencyMs = median
}

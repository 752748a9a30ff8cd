package routing

import "math"

// emptyQueueUtilization is the assumed utilization of a host that reports no utilization and an empty queue.
const emptyQueueUtilization = 0.5

// HostState is the state of a host on the endpoint list.
type HostState int

// The host states: no longer listed, in service, and finishing its in-flight requests without taking new ones.
const (
	Removed HostState = iota
	Ready
	Draining
)

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult int

// The outcomes of a health check: a healthy answer, an answer with an error or a rejection, no answer in time, and no
// listener at the address.
const (
	Healthy HealthCheckResult = iota
	Rejected
	TimedOut
	Unreachable
)

// HostLoad is the load that a host reports of itself; a value below 0 was not reported.
type HostLoad struct {
	Utilization float64 `json:"Util"`  // the fraction of its cores that is busy, 0 to 1
	RequestRate float64 `json:"Rate"`  // requests a second that it receives
	QueueLength float64 `json:"Queue"` // requests that wait for a core
}

// UnknownLoad is the load of a host that reported none.
var UnknownLoad = HostLoad{-1, -1, -1}

// effectiveUtilization returns the utilization, or an estimate by the queue length where only that was reported. It
// is below 0 where neither was reported.
func (l HostLoad) effectiveUtilization() float64 {
	if l.Utilization < 0 && l.QueueLength >= 0 {
		return math.Min(1, emptyQueueUtilization+l.QueueLength)
	}
	return l.Utilization
}

// ObserveHostStats records the attempts that proxies made at a host within spanMs: their number, how many failed, and
// the mean latency of the others in ms. load is the load that the host reported to the proxies in its answers.
func (b *Balancer) ObserveHostStats(host, attempts, failed int, meanLatencyMs, spanMs float64, load HostLoad) {
	record := b.host(host)
	successes := float64(max(attempts-failed, 0))
	pending := &record.stats.pending
	pending.successes += successes
	pending.failures += float64(failed)
	pending.latencyMs += meanLatencyMs * successes
	record.observeLoad(load)
	b.reports.spanSumMs += spanMs
	b.reports.count++
	b.reports.pending = true
}

// observeLoad replaces the host's load, unless nothing was reported.
func (h *hostRecord) observeLoad(load HostLoad) {
	if load != UnknownLoad {
		h.load = load
	}
}

// ObserveDemand records the number of requests of a class that a proxy received within spanMs.
func (b *Balancer) ObserveDemand(proxy, class, requests int, spanMs float64) {
	b.admission.classDemand[class] += float64(requests)
	if proxy >= len(b.proxies) {
		return
	}
	record := &b.proxies[proxy]
	record.pendingRequests += float64(requests)
	record.pendingSpanMs = math.Max(record.pendingSpanMs, spanMs)
}

// ObserveHealthCheck records the result of a health check, and the load that the host reported in its answer. A
// rejection counts neither as healthy nor as a failure.
func (b *Balancer) ObserveHealthCheck(host int, result HealthCheckResult, load HostLoad) {
	record := b.host(host)
	health := &record.health
	health.checkInFlight = false
	switch result {
	case Healthy:
		health.consecutiveFailures = 0
		health.consecutiveSuccesses++
		record.observeLoad(load)
	case TimedOut, Unreachable:
		health.consecutiveFailures++
		health.consecutiveSuccesses = 0
		health.unreachable = result == Unreachable
	case Rejected:
	}
}

// RestoreHost sets a host's state to what an earlier incarnation of the controller knew, after the caller has decayed
// it by its age: the weight as a multiple of the base weight; the mean latency in ms, 0 where unknown; and the recent
// successes and failures. Restored state decays like measured state, and never ejects a host by itself.
func (b *Balancer) RestoreHost(host int, relativeWeight, meanLatencyMs, successes, failures float64) {
	record := b.host(host)
	record.balance.weight = record.endpoint.baseWeight * relativeWeight
	record.stats.recentSuccesses = successes
	record.stats.recentFailures = failures
	if meanLatencyMs > 0 {
		record.stats.meanLatencyMs = meanLatencyMs
	}
}

// RestoreAdmission sets the admission ratio, the classes' quotas and the median latency in ms to those of an earlier
// incarnation of the controller; a median of 0 means unknown.
func (b *Balancer) RestoreAdmission(ratio float64, quotas []float64, medianLatencyMs float64) {
	b.admission.ratio = ratio
	copy(b.admission.quotas, quotas)
	b.admission.retryPolicy = retryPolicyAt(ratio)
	b.fleet.medianLatencyMs = medianLatencyMs
}

package routing

import "math"

// queueUtilization is the utilization that a host is taken to have which reports only a queue, and that as empty.
const queueUtilization = 0.5

// HostState is what service discovery says of a host.
type HostState int

// The host states: not listed any more, in service, and finishing the requests that it has.
const (
	Removed HostState = iota
	Ready
	Draining
)

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult int

// The outcomes of a health check: answered, answered with an error or a rejection, not answered in time, and nothing
// listening there.
const (
	Healthy HealthCheckResult = iota
	Rejected
	TimedOut
	Unreachable
)

// HostLoad is what a host reports of its load; a value below 0 was not reported.
type HostLoad struct {
	Utilization float64 `json:"Util"`  // the part of its cores that is busy, 0 to 1
	RequestRate float64 `json:"Rate"`  // requests a second that come to it
	QueueLength float64 `json:"Queue"` // requests that wait for a core
}

// UnknownLoad reports nothing.
var UnknownLoad = HostLoad{-1, -1, -1}

// effectiveUtilization is the utilization, or what the queue says of it where only that was reported; below 0 where
// neither was.
func (l HostLoad) effectiveUtilization() float64 {
	if l.Utilization < 0 && l.QueueLength >= 0 {
		return math.Min(1, queueUtilization+l.QueueLength)
	}
	return l.Utilization
}

// ObserveHostStats records the attempts that proxies made at a host within spanMs: their number, how many failed, and
// the mean latency of the others in ms. load is what the host said of itself to the proxies.
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

// observeLoad keeps the old load where nothing was reported.
func (h *hostRecord) observeLoad(load HostLoad) {
	if load != UnknownLoad {
		h.load = load
	}
}

// ObserveDemand records that requests of a class came to a proxy within spanMs.
func (b *Balancer) ObserveDemand(proxy, class, requests int, spanMs float64) {
	b.admission.classDemand[class] += float64(requests)
	if proxy >= len(b.proxies) {
		return
	}
	record := &b.proxies[proxy]
	record.pendingRequests += float64(requests)
	record.pendingSpanMs = math.Max(record.pendingSpanMs, spanMs)
}

// ObserveHealthCheck records the result of a health check, and the load that the host said it has in its answer. A
// rejection proves neither health nor a fault.
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

// RestoreHost records what an earlier incarnation of the controller knew of a host, as far as the caller still trusts
// it: its weight as a multiple of the base weight; its mean latency in ms, 0 where unknown; and its recent successes
// and failures. It counts as any other evidence, goes on decaying, and ejects no host.
func (b *Balancer) RestoreHost(host int, relativeWeight, meanLatencyMs, successes, failures float64) {
	record := b.host(host)
	record.balance.weight = record.endpoint.baseWeight * relativeWeight
	record.stats.recentSuccesses = successes
	record.stats.recentFailures = failures
	if meanLatencyMs > 0 {
		record.stats.meanLatencyMs = meanLatencyMs
	}
}

// RestoreAdmission records the admission ratio, the classes' quotas and the median latency in ms that an earlier
// incarnation of the controller had; a median of 0 is unknown.
func (b *Balancer) RestoreAdmission(ratio float64, quotas []float64, medianLatencyMs float64) {
	b.admission.ratio = ratio
	copy(b.admission.quotas, quotas)
	b.admission.retryPolicy = retryPolicyAt(ratio)
	b.fleet.medianLatencyMs = medianLatencyMs
}

package routing

import "math"

const (
	// Bounds of the backoff of a watch retry.
	watchBackoffMinMs = 250.0
	watchBackoffMaxMs = 4000.0

	// watchBackoffFactor is the growth of the backoff after each failure in a row.
	watchBackoffFactor = 2

	// watchJitterMin is the smallest fraction of the backoff that a watch retry waits; jitter adds up to the whole
	// backoff, so that controllers do not retry in step.
	watchJitterMin = 0.5

	// defaultBaseWeight is the base weight of a host without a weight on the endpoint list.
	defaultBaseWeight = 1.0

	// startUnknown is endpointRecord.startedAtMs of a host without a start time: it started long ago and counts as warm.
	startUnknown = -1
)

// endpointRecord is a host as the endpoint list describes it.
type endpointRecord struct {
	zone        int
	state       HostState
	discovered  bool    // it has been on an endpoint list at least once
	baseWeight  float64 // the weight as discovered, above 0
	startedAtMs float64 // the last start as listed, or startUnknown
	changedAtMs float64 // when its state or start last changed

	// assumedStartMs is when a host that was unreachable has returned, or startUnknown: it may have restarted, which the
	// list shows later.
	assumedStartMs float64
}

// effectiveStartMs returns when a host started, as listed or assumed, or startUnknown.
func (e *endpointRecord) effectiveStartMs() float64 {
	if e.assumedStartMs > e.startedAtMs {
		return e.assumedStartMs
	}
	return e.startedAtMs
}

// discoveryState is the state of the watch of the endpoint list.
type discoveryState struct {
	watchFailed    bool    // since the last round
	watchBackoffMs float64 // the last backoff, before jitter; 0 after a snapshot or delta
}

// ObserveSnapshot begins a snapshot: the following calls of ObserveEndpoint record all endpoints, and hosts without
// one are removed. cached says that the snapshot comes from the controller's own store and not from the source.
func (b *Balancer) ObserveSnapshot(cached bool) {
	for i := range b.hosts {
		b.hosts[i].endpoint.state = Removed
	}
	if !cached {
		b.discovery.watchBackoffMs = 0
	}
}

// ObserveDelta begins a delta: the following calls of ObserveEndpoint record changes only.
func (b *Balancer) ObserveDelta() { b.discovery.watchBackoffMs = 0 }

// ObserveWatchFailure records that the watch of the endpoint list could not be started, or has ended. Round schedules
// the retry.
func (b *Balancer) ObserveWatchFailure() { b.discovery.watchFailed = true }

// ObserveEndpoint records one endpoint of a snapshot or delta. baseWeight is the weight as discovered; 0 or less
// means none. startedAtMs is the instant at which the host started; 0 or less means long ago, whenever the host first
// appears. A new start resets what was known of the host.
func (b *Balancer) ObserveEndpoint(host, zone int, state HostState, baseWeight, startedAtMs float64) {
	record := b.host(host)
	if baseWeight <= 0 {
		baseWeight = defaultBaseWeight
	}
	if !record.endpoint.discovered {
		b.hostOrder = append(b.hostOrder, host)
		record.endpoint.baseWeight = baseWeight
		record.balance.weight = baseWeight
		record.stats.meanLatencyMs = b.fleet.medianLatencyMs
	}
	restarted := startedAtMs > 0 && startedAtMs != record.endpoint.startedAtMs
	if restarted || state != record.endpoint.state {
		record.endpoint.changedAtMs = b.nowMs
	}
	record.balance.weight *= baseWeight / record.endpoint.baseWeight
	record.endpoint.zone = zone
	record.endpoint.state = state
	record.endpoint.discovered = true
	record.endpoint.baseWeight = baseWeight
	if restarted {
		record.restart(startedAtMs, b.nowMs, b.fleet.medianLatencyMs)
	}
}

// restart resets the record of a host that has restarted, except for its endpoint, its published weight and a health
// check in flight.
func (h *hostRecord) restart(startedAtMs, nowMs, medianLatencyMs float64) {
	endpoint := h.endpoint
	endpoint.startedAtMs = startedAtMs
	endpoint.assumedStartMs = startUnknown
	endpoint.changedAtMs = nowMs
	*h = hostRecord{
		incarnation: h.incarnation,
		endpoint:    endpoint,
		stats:       requestStats{meanLatencyMs: medianLatencyMs},
		load:        UnknownLoad,
		balance:     balanceRecord{weight: endpoint.baseWeight},
		health:      healthRecord{checkInFlight: h.health.checkInFlight},
		publication: publicationRecord{weight: h.publication.weight},
	}
}

// watchEndpoints starts the watch of the endpoint list in the first round, and retries it after a failure with a
// backoff that doubles up to a bound.
func (b *Balancer) watchEndpoints(writer UpdateWriter) {
	if b.isFirstRound() {
		writer.WatchEndpoints()
	}
	if !b.discovery.watchFailed {
		return
	}
	b.discovery.watchFailed = false
	backoffMs := math.Min(math.Max(watchBackoffFactor*b.discovery.watchBackoffMs, watchBackoffMinMs), watchBackoffMaxMs)
	b.discovery.watchBackoffMs = backoffMs
	delayMs := backoffMs * (watchJitterMin + b.random.next())
	b.schedule(delayMs, func(writer UpdateWriter) { writer.WatchEndpoints() })
	longestDelayMs := backoffMs * (watchJitterMin + 1)
	writer.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", longestDelayMs, 0}}})
}

package routing

import "math"

const (
	watchBackoffMinMs = 250.0
	watchBackoffMaxMs = 4000.0

	// watchJitterMin is the least part of the backoff that a watch retry waits; jitter adds up to the whole backoff, so
	// that controllers do not retry in step.
	watchJitterMin = 0.5

	// defaultBaseWeight stands where the endpoint list gives a host no weight.
	defaultBaseWeight = 1.0

	// startUnknown is endpointRecord.startedAtMs of a host that has not been seen to start: it counts as warm.
	startUnknown = -1
)

// endpointRecord is what service discovery says of a host.
type endpointRecord struct {
	zone        int
	state       HostState
	discovered  bool    // it has been on an endpoint list
	baseWeight  float64 // the weight as discovered, above 0
	startedAtMs float64 // the last known start, or startUnknown
	changedAtMs float64 // when its state or start last changed
}

// discoveryState tells how the watch of the endpoint list fares.
type discoveryState struct {
	snapshotReceived bool    // a snapshot came from the source itself, not from a cache
	watchFailed      bool    // since the last round
	watchBackoffMs   float64 // the last backoff, before jitter; 0 after an answer
}

// ObserveSnapshot records that the endpoints which follow are all there are. cached is true where they are from the
// controller's own store and not from the source.
func (b *Balancer) ObserveSnapshot(cached bool) {
	for i := range b.hosts {
		b.hosts[i].endpoint.state = Removed
	}
	if !cached {
		b.discovery.snapshotReceived = true
		b.discovery.watchBackoffMs = 0
	}
}

// ObserveDelta records that the endpoints which follow are changes.
func (b *Balancer) ObserveDelta() { b.discovery.watchBackoffMs = 0 }

// ObserveWatchFailure records that a call for the endpoint list failed, or that its changes have ceased to come.
func (b *Balancer) ObserveWatchFailure() { b.discovery.watchFailed = true }

// ObserveEndpoint records one endpoint of a snapshot or delta. baseWeight is the weight as discovered; 0 or less
// stands for none. startedAtMs is the instant at which the host started; 0 or less stands for none. A new start
// resets what was known of the host. A host that appears after the first snapshot from the source has just started.
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
		if b.discovery.snapshotReceived && startedAtMs <= 0 {
			startedAtMs = b.nowMs
		}
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

// restart resets what was known of a host that has started again, but for its endpoint, for what the published tables
// hold of it and for a health check in flight.
func (h *hostRecord) restart(startedAtMs, nowMs, medianLatencyMs float64) {
	endpoint := h.endpoint
	endpoint.startedAtMs = startedAtMs
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
	backoffMs := math.Min(math.Max(2*b.discovery.watchBackoffMs, watchBackoffMinMs), watchBackoffMaxMs)
	b.discovery.watchBackoffMs = backoffMs
	delayMs := backoffMs * (watchJitterMin + b.random.next())
	b.schedule(delayMs, func(writer UpdateWriter) { writer.WatchEndpoints() })
	longestDelayMs := backoffMs * (watchJitterMin + 1)
	writer.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", longestDelayMs, 0}}})
}

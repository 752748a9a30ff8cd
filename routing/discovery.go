package routing

import "math"

// startUnknown is endpointRecord.startedAtMs of a host that has not been seen to start: it counts as warm.
const startUnknown = -1

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

// ObserveEndpoint notes an entry of the list. A new id or a new start time is a start; a weight of 0 says nothing.
func (s *Balancer) ObserveEndpoint(host, zone int, phase HostState, listed, started float64) {
	v := s.host(host)
	if listed <= 0 {
		listed = 1
	}
	if !v.endpoint.discovered {
		s.hostOrder = append(s.hostOrder, host)
		v.endpoint.baseWeight, v.balance.weight, v.stats.meanLatencyMs = listed, listed, s.fleet.medianLatencyMs
		if s.discovery.snapshotReceived && started <= 0 {
			started = s.nowMs
		}
	}
	if phase != v.endpoint.state || started > 0 && started != v.endpoint.startedAtMs {
		v.endpoint.changedAtMs = s.nowMs
	}
	v.balance.weight *= listed / v.endpoint.baseWeight
	v.endpoint.discovered, v.endpoint.zone, v.endpoint.state, v.endpoint.baseWeight = true, zone, phase, listed
	if started > 0 && started != v.endpoint.startedAtMs {
		restarted := hostRecord{incarnation: v.incarnation, load: UnknownLoad}
		restarted.endpoint = endpointRecord{zone: zone, state: phase, discovered: true, baseWeight: listed, startedAtMs: started,
			changedAtMs: s.nowMs}
		restarted.balance.weight = listed
		restarted.stats.meanLatencyMs = s.fleet.medianLatencyMs
		restarted.publication.weight = v.publication.weight
		restarted.health.checkInFlight = v.health.checkInFlight
		*v = restarted
	}
}

// ObserveSnapshot notes that the entries which follow are the whole list.
func (s *Balancer) ObserveSnapshot(cached bool) {
	for i := range s.hosts {
		s.hosts[i].endpoint.state = Removed
	}
	if !cached {
		s.discovery.snapshotReceived, s.discovery.watchBackoffMs = true, 0
	}
}

// ObserveDelta notes that the entries which follow are changes.
func (s *Balancer) ObserveDelta() { s.discovery.watchBackoffMs = 0 }

// ObserveWatchFailure notes that a call for the list failed or that the list no longer sends its changes.
func (s *Balancer) ObserveWatchFailure() { s.discovery.watchFailed = true }

// watchEndpoints keeps the subscription where the list must be asked. A failed call is repeated after a wait that
// doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Balancer) watchEndpoints(w UpdateWriter) {
	if s.nextRoundAtMs < 0 {
		w.WatchEndpoints()
	}
	if s.discovery.watchFailed {
		s.discovery.watchFailed = false
		s.discovery.watchBackoffMs = math.Min(math.Max(2*s.discovery.watchBackoffMs, 250), 4000)
		s.schedule(s.discovery.watchBackoffMs*(0.5+s.random.next()), func(w UpdateWriter) { w.WatchEndpoints() })
		w.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", s.discovery.watchBackoffMs * 1.5, 0}}})
	}
}

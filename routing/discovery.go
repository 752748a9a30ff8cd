package routing

import "math"

// ObserveEndpoint notes an entry of the list. A new id or a new start time is a start; a weight of 0 says nothing.
func (s *Balancer) ObserveEndpoint(host, zone int, phase HostState, listed, started float64) {
	v := s.host(host)
	if listed <= 0 {
		listed = 1
	}
	if !v.discovered {
		s.hostOrder = append(s.hostOrder, host)
		v.baseWeight, v.weight, v.meanLatencyMs = listed, listed, s.medianLatencyMs
		if s.snapshotReceived && started <= 0 {
			started = s.nowMs
		}
	}
	if phase != v.state || started > 0 && started != v.startedAtMs {
		v.changedAtMs = s.nowMs
	}
	v.weight *= listed / v.baseWeight
	v.discovered, v.zone, v.state, v.baseWeight = true, zone, phase, listed
	if started > 0 && started != v.startedAtMs {
		*v = hostRecord{zone: zone, state: phase, discovered: true, baseWeight: listed, startedAtMs: started, weight: listed,
			meanLatencyMs: s.medianLatencyMs, published: v.published, load: UnknownLoad, checkInFlight: v.checkInFlight, recoveringSinceMs: neverMs, changedAtMs: s.nowMs, incarnation: v.incarnation}
	}
}

// ObserveSnapshot notes that the entries which follow are the whole list.
func (s *Balancer) ObserveSnapshot(cached bool) {
	for i := range s.hosts {
		s.hosts[i].state = Removed
	}
	if !cached {
		s.snapshotReceived, s.watchBackoffMs = true, 0
	}
}

// ObserveDelta notes that the entries which follow are changes.
func (s *Balancer) ObserveDelta() { s.watchBackoffMs = 0 }

// ObserveWatchFailure notes that a call for the list failed or that the list no longer sends its changes.
func (s *Balancer) ObserveWatchFailure() { s.watchFailed = true }

// watchEndpoints keeps the subscription where the list must be asked. A failed call is repeated after a wait that
// doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Balancer) watchEndpoints(w UpdateWriter) {
	if s.nextRoundAtMs < 0 {
		w.WatchEndpoints()
	}
	if s.watchFailed {
		s.watchFailed = false
		s.watchBackoffMs = math.Min(math.Max(2*s.watchBackoffMs, 250), 4000)
		s.schedule(s.watchBackoffMs*(0.5+s.jitter()), func(w UpdateWriter) { w.WatchEndpoints() })
		w.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", s.watchBackoffMs * 1.5, 0}}})
	}
}

package routing

import "math"

// ObserveEndpoint notes an entry of the list. A new id or a new start time is a start; a weight of 0 says nothing.
func (s *Balancer) ObserveEndpoint(host, zone int, phase HostState, listed, started float64) {
	v := s.server(host)
	if listed <= 0 {
		listed = 1
	}
	if !v.seen {
		s.order = append(s.order, host)
		v.listed, v.weight, v.r = listed, listed, s.median
		if s.listKnown && started <= 0 {
			started = s.now
		}
	}
	if phase != v.phase || started > 0 && started != v.started {
		v.since = s.now
	}
	v.weight *= listed / v.listed
	v.seen, v.zone, v.phase, v.listed = true, zone, phase, listed
	if started > 0 && started != v.started {
		*v = server{zone: zone, phase: phase, seen: true, listed: listed, started: started, weight: listed,
			r: s.median, told: v.told, load: UnknownLoad, probing: v.probing, back: longAgo, since: s.now, life: v.life}
	}
}

// ObserveSnapshot notes that the entries which follow are the whole list.
func (s *Balancer) ObserveSnapshot(cached bool) {
	for i := range s.servers {
		s.servers[i].phase = Removed
	}
	if !cached {
		s.listKnown, s.askWait = true, 0
	}
}

// ObserveDelta notes that the entries which follow are changes.
func (s *Balancer) ObserveDelta() { s.askWait = 0 }

// ObserveWatchFailure notes that a call for the list failed or that the list no longer sends its changes.
func (s *Balancer) ObserveWatchFailure() { s.askFailed = true }

// follow keeps the subscription where the list must be asked. A failed call is repeated after a wait that
// doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Balancer) follow(w UpdateWriter) {
	if s.wakeAt < 0 {
		w.WatchEndpoints()
	}
	if s.askFailed {
		s.askFailed = false
		s.askWait = math.Min(math.Max(2*s.askWait, 250), 4000)
		s.add(s.askWait*(0.5+s.chance()), func(w UpdateWriter) { w.WatchEndpoints() })
		w.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", s.askWait * 1.5, 0}}})
	}
}

package state

import "barleysail/state/statepb"

// ShiftTimes adds an offset to the instants at which figures were recorded, to convert them from a monotonic clock to
// the wall clock. Instants that come from outside the controller, such as the starts of hosts and the ends of
// overrides, are already wall clock times and do not change.
func ShiftTimes(s *statepb.State, offsetMs float64) {
	s.At += offsetMs
	for _, host := range s.Hosts {
		host.At += offsetMs
	}
	for _, proxy := range s.Proxies {
		proxy.At += offsetMs
	}
	if s.Fleet != nil {
		s.Fleet.At += offsetMs
	}
}

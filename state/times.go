package state

import (
	"barleysail/state/statepb"
)

// ShiftTimes moves the times at which things were so, as from a clock that only advances to that of the wall. Times that others
// told, as starts and ends, are the wall's already.
func ShiftTimes(s *statepb.State, by float64) {
	s.At += by
	for _, h := range s.Hosts {
		h.At += by
	}
	for _, p := range s.Proxies {
		p.At += by
	}
	if s.Fleet != nil {
		s.Fleet.At += by
	}
}

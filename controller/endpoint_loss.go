package controller

import (
	"fmt"
	"math"

	"barleysail/operator"
	"barleysail/routing"
)

// holdsEndpoints tells whether a list is held back for now.
func (s *Controller) holdsEndpoints(entries []Endpoint) bool {
	g := &s.validation
	if !g.enabled || !s.endpoints.known {
		return false
	}
	stays := map[string]bool{}
	for _, e := range entries {
		stays[e.Host] = e.State == routing.Ready
	}
	ready, lost, confirmed := 0, 0, 0
	for _, e := range s.endpoints.received {
		if e.State != routing.Ready {
			continue
		}
		if ready++; stays[e.Host] {
			continue
		}
		lost++
		if set, ok := s.overrides.Override(e.Host); ok && set.State != operator.Listed {
			confirmed++
		} else if x, ok := s.balancer.Explain(s.hostIndex.IndexOf[e.Host]); ok && x.ConsecutiveFailures > 0 {
			confirmed++
		}
	}
	was := g.heldEndpoints != nil
	if !g.endpointLoss.Observe(s.nowMs, ready, lost, confirmed) {
		if was {
			s.recordEvent("guard", fmt.Sprintf("the list is believed: %d of %d ready hosts are lost, %d of them confirmed", lost, ready, confirmed))
		}
		g.heldEndpoints = nil
		return false
	}
	if !was {
		g.report.ListHolds++
		s.recordEvent("guard", fmt.Sprintf("the list is held back: %d of %d ready hosts are lost at once, %d of them confirmed", lost, ready, confirmed))
	}
	g.heldEndpoints = append([]Endpoint{}, entries...)
	return true
}

// recheckHeldEndpoints looks again at a list that is held back: its hold may be over, or those lost confirmed.
func (s *Controller) recheckHeldEndpoints() {
	g := &s.validation
	if g.heldEndpoints == nil {
		return
	}
	if entries := g.heldEndpoints; !s.holdsEndpoints(entries) {
		s.acceptEndpoints(entries)
	}
}

func (g *tableValidation) nextMs() float64 {
	if g.heldEndpoints == nil {
		return math.Inf(1)
	}
	at, _ := g.endpointLoss.HeldUntil()
	return at
}

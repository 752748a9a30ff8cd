package controller

import (
	"fmt"
	"maps"
	"math"

	"barleysail/guard"
	"barleysail/operator"
	"barleysail/routing"
)

// tableValidation has the guard look at the tables, and at lists that lose many hosts at once.
type tableValidation struct {
	enabled          bool
	limits           guard.Limits
	repair           RepairSettings
	endpointLoss     *guard.EndpointLossGuard
	heldEndpoints    []Endpoint    // a list that is held back
	hosts            []guard.Host  // by index
	hostsChanged     bool          // since it looked
	routes           []guard.Route // with what is asked of each, and the shared tables among them
	sharedTables     []int
	demandSummedMs   float64 // when that was summed up
	hasSubsetTables  bool    // some have tables of their own
	lastRunMs        float64 // when it looked last
	repairingSinceMs float64 // since when it refuses
	invalidSinceMs   float64 // since when what it serves is not sound
	invalidReported  bool    // that this is so for long
	report           ValidationReport
}

// RepairSettings says what the guard does about what it finds, besides telling.
type RepairSettings struct {
	Enabled         bool // tables are mended before they are published
	SurviveZoneLoss bool // also for what would come with the loss of a zone
}

// ValidationReport is what the guard found since the steward began.
type ValidationReport struct {
	On        bool            `json:"on"`
	Refuses   bool            `json:"refuses"`  // by its settings
	Refusing  bool            `json:"refusing"` // what is published differs from what was decided
	Refused   int             `json:"refused"`  // so often that began
	ForMs     float64         `json:"for_ms"`   // since it began
	Left      []guard.Finding `json:"left"`     // in what is published in its place
	Looked    int             `json:"looked"`   // so often
	Found     map[string]int  `json:"found"`    // by check, when it began to be so
	Standing  []guard.Finding `json:"standing"`
	ListHeld  bool            `json:"list_held"`
	ListHolds int             `json:"list_holds"`
}

// EnableValidation switches the guard on. Findings in tables are told in events and by GuardReport; a list that loses too much
// is held back for a time.
func (s *Controller) EnableValidation(l guard.Limits, refuse RepairSettings, list guard.EndpointLossLimits) {
	list.HoldMs = math.Min(list.HoldMs, s.drainGraceMs/2) // a removal is never held past its grace
	s.validation = tableValidation{enabled: true, limits: l, repair: refuse, endpointLoss: guard.NewEndpointLossGuard(list), hosts: s.validation.hosts,
		report: ValidationReport{On: true, Refuses: refuse.Enabled, Found: map[string]int{}}}
}

// ValidationReport tells what the guard found.
func (s *Controller) ValidationReport() ValidationReport {
	r := s.validation.report
	r.Found, r.ListHeld = maps.Clone(r.Found), s.validation.heldEndpoints != nil
	r.Standing, r.Left = jsonFindings(r.Standing), jsonFindings(r.Left)
	if r.Refusing {
		r.ForMs = s.nowMs - s.validation.repairingSinceMs
	}
	return r
}

// jsonFindings are findings without what JSON cannot hold.
func jsonFindings(found []guard.Finding) []guard.Finding {
	all := append([]guard.Finding{}, found...)
	for i, f := range all {
		if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
			all[i].Value = 0
		}
	}
	return all
}

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

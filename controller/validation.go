package controller

import (
	"fmt"
	"maps"
	"math"

	"barleysail/guard"
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

// validationIntervalMs ms the tables are looked at though none changed, since the demand may have; more often while the guard
// refuses, so that what it held back goes on in steps.
const (
	validationIntervalMs = 10000.0
	repairIntervalMs     = 1000.0
	invalidReportDelayMs = 10000.0 // that no sound table was found for so long
)

// validateRound has the guard look at the tables of the present round, and where it refuses puts the nearest sound ones in
// their place.
func (s *Controller) validateRound() {
	g := &s.validation
	every := validationIntervalMs
	if g.report.Refusing {
		every = repairIntervalMs
	}
	if !g.enabled || !g.hostsChanged && len(s.tables.changed) == 0 && len(s.tables.reassigned) == 0 && s.nowMs < g.lastRunMs+every {
		return
	}
	g.lastRunMs = s.nowMs
	v, shared := s.validationView()
	if len(v.Routes) == 0 {
		return
	}
	g.report.Looked++
	found := guard.Check(v, g.limits)
	before := map[string]bool{}
	for _, f := range g.report.Standing {
		before[f.Check+f.Subject] = true
	}
	for _, f := range found {
		if !before[f.Check+f.Subject] {
			g.report.Found[f.Check]++
			s.recordEvent("guard", f.String())
		}
	}
	g.report.Standing = found
	if !g.repair.Enabled {
		return
	}
	limits := g.limits
	limits.SurviveZoneLoss = limits.SurviveZoneLoss && g.repair.SurviveZoneLoss
	rows, left, why := [][]float64(nil), []guard.Finding(nil), guard.Finding{}
	for _, f := range found {
		if f.Check != guard.OverCapacityWithoutZone || limits.SurviveZoneLoss {
			why = f
			if rows = s.reuseRepair(v, shared, limits); rows == nil {
				rows, left = guard.Repair(v, limits)
			}
			break
		}
	}
	refused := 0
	for i, number := range shared {
		row := v.Routes[i].Decided
		if rows != nil {
			row = rows[i]
		}
		refused += s.publishRepaired(v, s.tables.table(number), number, v.Routes[i].Decided, row)
	}
	s.reportRepair(refused, left, why)
}

// reportRepair notes and tells when the guard begins to put other tables in the place of those decided, and when it ends.
func (s *Controller) reportRepair(lines int, left []guard.Finding, why guard.Finding) {
	g := &s.validation
	if was := g.report.Refusing; lines > 0 && !was {
		g.repairingSinceMs = s.nowMs
		g.report.Refused++
		s.logMode(fmt.Sprintf("guard refuses: %v; %d lines are others, %d findings left", why, lines, len(left)))
	} else if lines == 0 && was {
		s.logMode(fmt.Sprintf("guard refuses nothing again, after %.0f ms", s.nowMs-g.repairingSinceMs))
	}
	g.report.Refusing, g.report.Left = lines > 0, left
	if len(left) == 0 {
		g.invalidReported, g.invalidSinceMs = false, s.nowMs
	} else if !g.invalidReported && s.nowMs >= g.invalidSinceMs+invalidReportDelayMs {
		g.invalidReported = true
		s.logMode(fmt.Sprintf("guard finds no sound table for %.0f ms, the least bad one is served: %v", s.nowMs-g.invalidSinceMs, left[0]))
	}
}

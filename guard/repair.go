package guard

import (
	"math"
	"slices"
)

// shiftFractions are the fractions of the largest allowed traffic shift that Repair tries. A smaller one is used only
// where it leaves less severe findings.
var shiftFractions = []float64{1, 0.75, 0.5, 0.25, 0.1}

// Repair returns the nearest valid rows of weights, one for each route, and the findings that remain. Valid decided
// rows are returned unchanged. Otherwise Repair returns the candidate with the least severe findings. The candidates
// are: the decided rows without invalid weights and hosts that are not ready; the same with the load above each limit
// moved to hosts with headroom; the latter closer to equal utilization; and a step from the published rows toward the
// best of these. Read-only routes keep their rows.
//
// Every repaired row has three properties: a host that is not ready has no weight; a host without weight in the
// decided row has none, unless a demand would otherwise have no host; and the share of a host that is warming up is
// at most the decided one. So Repair delays no removal, and gives no host more traffic in its slow start.
func Repair(view *View, limits Limits) (rows [][]float64, remaining []Finding) {
	rows = view.decidedRows()
	remaining = Check(view, limits)
	if len(remaining) == 0 {
		return rows, nil
	}
	r := newRepairer(view, limits)
	cleaned := r.cleanedRows()
	r.keepIfBetter(cleaned)
	relieved := view.withDecided(cleaned)
	r.relieveOverloadedHosts(relieved)
	r.keepIfBetter(relieved.decidedRows())
	if limits.SurviveZoneLoss && r.hasRemaining(OverCapacityWithoutZone) {
		r.equalizeUtilization(relieved)
	}
	if limits.MaxTrafficShift > 0 && r.hasRemaining(TrafficJump) {
		for _, fraction := range shiftFractions {
			r.keepIfBetter(r.limitShift(r.best, fraction*limits.MaxTrafficShift))
		}
	}
	return r.best, r.remaining
}

// decidedRows returns the decided rows of all routes.
func (v *View) decidedRows() (rows [][]float64) {
	for i := range v.Routes {
		rows = append(rows, v.Routes[i].Decided)
	}
	return rows
}

// withDecided returns the view with other rows in place of the decided ones. It copies those that may be repaired, so
// the caller may change them.
func (v *View) withDecided(rows [][]float64) *View {
	view := &View{Hosts: v.Hosts, Routes: slices.Clone(v.Routes)}
	for i := range view.Routes {
		route := &view.Routes[i]
		route.Decided = rows[i]
		if !route.ReadOnly {
			route.Decided = slices.Clone(rows[i])
		}
	}
	return view
}

// repairer keeps the best candidate of a repair.
type repairer struct {
	view             *View
	limits           Limits
	capacityMultiple float64     // of its capacity that a host may be given
	best             [][]float64 // rows with the least severe findings so far
	remaining        []Finding   // findings of the best rows
	severity         float64     // total severity of the remaining findings
}

// newRepairer returns a repairer without a candidate. The decided rows are not a candidate, since they may hold
// invalid weights and hosts that are not ready.
func newRepairer(view *View, limits Limits) *repairer {
	return &repairer{
		view:             view,
		limits:           limits,
		capacityMultiple: newChecker(view, limits).capacityMultiple(noZone),
		severity:         math.Inf(1),
	}
}

// hasRemaining reports whether the best rows have a finding of that check.
func (r *repairer) hasRemaining(check string) bool {
	return slices.ContainsFunc(r.remaining, func(finding Finding) bool { return finding.Check == check })
}

// keepIfBetter makes the rows the best candidate if their findings are less severe.
func (r *repairer) keepIfBetter(rows [][]float64) {
	findings := Check(r.view.withDecided(rows), r.limits)
	severity := totalSeverity(findings)
	if severity < r.severity {
		r.best = rows
		r.remaining = findings
		r.severity = severity
	}
}

// loadLimit returns the work in ms per ms that a host may be given: by its capacity, and while it is warming up by its
// slow-start limit. It is infinite if both are unknown.
func (r *repairer) loadLimit(host *Host) float64 {
	limit := math.Inf(1)
	if host.Capacity > 0 && r.limits.CapacityMultiple > 0 {
		limit = host.Capacity * r.capacityMultiple
	}
	if host.isWarmingUp() && host.SlowStartLimit > 0 {
		limit = math.Min(limit, host.SlowStartLimit)
	}
	return limit
}

// cleanedRows returns the decided rows without invalid weights and hosts that are not ready. A demand that then has no
// host gets the warm hosts, in proportion to their capacities.
func (r *repairer) cleanedRows() [][]float64 {
	view := r.view.withDecided(r.view.decidedRows())
	for i := range view.Routes {
		route := &view.Routes[i]
		if route.ReadOnly {
			continue
		}
		view.dropInvalid(route)
		for j := range route.Demands {
			demand := &route.Demands[j]
			if !view.hasHostFor(route, demand) {
				view.addWarmHosts(route, demand)
			}
		}
	}
	return view.decidedRows()
}

// dropInvalid sets the weights to 0 that are invalid or of hosts that are not ready.
func (v *View) dropInvalid(route *Route) {
	for i, weight := range route.Decided {
		if !isValidWeight(weight) || !v.Hosts[i].Ready {
			route.Decided[i] = 0
		}
	}
}

// addWarmHosts gives weight to all warm hosts that may take a demand, in proportion to their capacities and 1 on
// average. A host of unknown capacity gets a weight of 1.
func (v *View) addWarmHosts(route *Route, demand *Demand) {
	hosts := v.warmHostsFor(demand)
	capacity := 0.0
	for _, i := range hosts {
		capacity += v.Hosts[i].Capacity
	}
	for _, i := range hosts {
		route.Decided[i] = 1
		if capacity > 0 && v.Hosts[i].Capacity > 0 {
			route.Decided[i] = v.Hosts[i].Capacity * float64(len(hosts)) / capacity
		}
	}
}

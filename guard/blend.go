package guard

import "math"

// blendFractions are the fractions of the way to equal utilization that equalizeUtilization tries.
var blendFractions = []float64{0.25, 0.5, 0.75, 1}

// equalizeUtilization tries rows that are closer to weights in proportion to the capacities of the warm hosts. Equal
// utilization leaves the most headroom when a zone is lost.
func (r *repairer) equalizeUtilization(view *View) {
	for _, fraction := range blendFractions {
		blended := view.withDecided(view.decidedRows())
		for i := range blended.Routes {
			route := &blended.Routes[i]
			if !route.ReadOnly {
				blended.blendByCapacity(route, fraction)
			}
		}
		r.keepIfBetter(blended.decidedRows())
	}
}

// blendByCapacity moves the weights of a route's warm hosts a fraction of the way to weights in proportion to their
// capacities. Their sum does not change.
func (v *View) blendByCapacity(route *Route, fraction float64) {
	weightSum := 0.0
	capacity := 0.0
	for i, weight := range route.Decided {
		if weight > 0 && v.Hosts[i].isWarmWithCapacity() {
			weightSum += weight
			capacity += v.Hosts[i].Capacity
		}
	}
	for i, weight := range route.Decided {
		if weight > 0 && v.Hosts[i].isWarmWithCapacity() {
			route.Decided[i] = weight + fraction*(weightSum*v.Hosts[i].Capacity/capacity-weight)
		}
	}
}

func (h *Host) isWarmWithCapacity() bool { return h.isWarm() && h.Capacity > 0 }

// limitShift returns rows between the published rows and the target rows, such that at most the fraction maxShift of
// each route's traffic moves.
func (r *repairer) limitShift(target [][]float64, maxShift float64) [][]float64 {
	view := r.view.withDecided(target)
	c := newChecker(view, r.limits)
	for i := range view.Routes {
		route := &view.Routes[i]
		if route.ReadOnly || route.Published == nil {
			continue
		}
		shift := c.trafficShift(route)
		if shift > maxShift {
			view.blendFromPublished(route, maxShift/shift)
		}
	}
	return view.decidedRows()
}

// blendFromPublished moves the decided row to a fraction of the way from the published shares to the decided ones. A
// host without weight in the decided row keeps none, and one that is warming up gets at most its decided share; the
// warm hosts take the difference. The row does not change if no warm host has weight in it.
func (v *View) blendFromPublished(route *Route, fraction float64) {
	publishedSum := v.readyWeight(route.Published)
	decidedSum := v.readyWeight(route.Decided)
	if publishedSum <= 0 || decidedSum <= 0 {
		return
	}
	row := make([]float64, len(route.Decided))
	warmShare := 0.0
	warmingUpShare := 0.0
	for i, weight := range route.Decided {
		host := &v.Hosts[i]
		if weight <= 0 || !host.Ready {
			continue
		}
		published := validOrZero(route.Published[i]) / publishedSum
		decided := weight / decidedSum
		row[i] = published + fraction*(decided-published)
		if host.isWarmingUp() {
			row[i] = math.Min(row[i], decided)
			warmingUpShare += row[i]
		} else {
			warmShare += row[i]
		}
	}
	if warmShare <= 0 {
		return
	}
	for i := range row {
		if v.Hosts[i].isWarm() {
			row[i] *= (1 - warmingUpShare) / warmShare
		}
		row[i] *= decidedSum // the sum of the weights does not change
	}
	route.Decided = row
}

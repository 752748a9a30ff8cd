package guard

import "math"

// blendParts are the fractions of the way to equal utilisation that are tried.
var blendParts = []float64{0.25, 0.5, 0.75, 1}

// evenOut tries rows nearer to weights by the capacities of the warm hosts. Equal utilisation leaves most headroom when
// a zone is lost.
func (r *repairer) evenOut(view *View) {
	for _, part := range blendParts {
		blended := view.withDecided(view.decided())
		for i := range blended.Routes {
			route := &blended.Routes[i]
			if !route.ReadOnly {
				blended.blendByCapacity(route, part)
			}
		}
		r.keepIfBetter(blended.decided())
	}
}

// blendByCapacity moves the weights of a route's warm hosts a part of the way to weights by their capacities. Their sum
// stays.
func (v *View) blendByCapacity(route *Route, part float64) {
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
			route.Decided[i] = weight + part*(weightSum*v.Hosts[i].Capacity/capacity-weight)
		}
	}
}

func (h *Host) isWarmWithCapacity() bool { return h.isWarm() && h.Capacity > 0 }

// limitShift returns rows on the way from the published rows to the target rows, at which at most maxShift of each
// route's traffic has moved.
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
	return view.decided()
}

// blendFromPublished sets the decided row a part of the way from the published shares to the decided ones. A host that
// the decided row leaves out stays out, and one that is warming up gets no more than its decided share; the warm hosts
// take up the difference. The row stays as it is if no warm host has weight in it.
func (v *View) blendFromPublished(route *Route, part float64) {
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
		row[i] = published + part*(decided-published)
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
		row[i] *= decidedSum // the sum of the weights stays
	}
	route.Decided = row
}

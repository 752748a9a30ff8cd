package guard

import (
	"math"
	"sort"
)

const (
	// targetLoadFraction is the fraction of its limit to which a host's load is reduced, so that demand can grow a
	// little before the row must be published again.
	targetLoadFraction = 0.97
	// maxReliefPasses bounds the passes over all hosts. They end earlier when one moves nothing.
	maxReliefPasses = 8
	// maxTargetLoad is the target load of a host without a limit, in ms per ms.
	maxTargetLoad = 1e9
)

// relieveOverloadedHosts moves the work above each host's limit to the warm hosts of the same route with the most
// headroom, those of its zone first, so that few weight entries change. Where a route has no headroom, the work is not
// moved. It changes the decided rows of the view.
func (r *repairer) relieveOverloadedHosts(view *View) {
	c := newChecker(view, r.limits)
	for range maxReliefPasses {
		loads := c.hostLoads(noZone)
		if !r.runReliefPass(view, loads) {
			return
		}
	}
}

// runReliefPass visits all hosts once, and reports whether any work was moved. It updates loads.
func (r *repairer) runReliefPass(view *View, loads []float64) (moved bool) {
	for host := range view.Hosts {
		limit := r.loadLimit(&view.Hosts[host])
		if loads[host] <= limit {
			continue
		}
		excess := 1 - limit*targetLoadFraction/loads[host]
		for i := range view.Routes {
			route := &view.Routes[i]
			if !route.ReadOnly && route.Decided[host] > 0 && r.shiftLoad(route, host, excess, loads) {
				moved = true
			}
		}
	}
	return moved
}

// shiftLoad moves a fraction of a host's work in a route to hosts with headroom, and reports whether any was moved.
// It updates loads.
func (r *repairer) shiftLoad(route *Route, from int, fraction float64, loads []float64) (moved bool) {
	weightSum := r.view.readyWeight(route.Decided)
	work := route.totalWork()
	if work <= 0 || weightSum <= 0 {
		return false
	}
	unplaced := route.Decided[from] * fraction * work / weightSum
	for _, to := range r.recipients(route, from, loads) {
		amount := math.Min(unplaced, r.headroom(to, loads))
		unplaced -= amount
		if amount <= 0 {
			continue
		}
		moved = true
		loads[to] += amount
		loads[from] -= amount
		weight := amount * weightSum / work
		route.Decided[to] += weight
		route.Decided[from] -= weight
	}
	return moved
}

// recipients returns the hosts of a route that can take work from another: warm ones with headroom, first those of the
// same zone, then by the most headroom.
func (r *repairer) recipients(route *Route, from int, loads []float64) (hosts []int) {
	for i, weight := range route.Decided {
		host := &r.view.Hosts[i]
		isCandidate := i != from && weight > 0 && host.Ready && host.isWarm()
		if isCandidate && loads[i] < r.loadLimit(host)*targetLoadFraction {
			hosts = append(hosts, i)
		}
	}
	inSameZone := func(host int) bool { return r.view.Hosts[host].Zone == r.view.Hosts[from].Zone }
	sort.SliceStable(hosts, func(i, j int) bool {
		a, b := hosts[i], hosts[j]
		if inSameZone(a) != inSameZone(b) {
			return inSameZone(a)
		}
		return r.headroom(a, loads) > r.headroom(b, loads)
	})
	return hosts
}

// headroom returns the work in ms per ms that a host can still be given.
func (r *repairer) headroom(host int, loads []float64) float64 {
	target := r.loadLimit(&r.view.Hosts[host]) * targetLoadFraction
	return math.Min(target, maxTargetLoad) - loads[host]
}

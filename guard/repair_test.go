package guard

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// checkRepairedRow checks the properties that every repaired row must have: a read-only row is unchanged; all weights
// are valid; a host that is not ready has no weight; a host without weight in the decided row has none, unless a demand
// had no host; and a host that is warming up has at most its decided share.
func checkRepairedRow(t *rapid.T, view *View, index int, row []float64) {
	t.Helper()
	route := &view.Routes[index]
	if route.ReadOnly {
		if !sameRows([][]float64{row}, [][]float64{route.Decided}) {
			t.Fatalf("got the read-only row %v, want the decided one %v", row, route.Decided)
		}
		return
	}
	const largestWeight = 1e9
	const roundingError = 1e-9
	mayAddHosts := hasDemandWithoutHost(view, route)
	hadReadyHost := countReadyHosts(view, route.Decided) > 0
	for i, weight := range row {
		host := &view.Hosts[i]
		before := weightShare(view, route.Decided, i)
		after := weightShare(view, row, i)
		problem := ""
		switch {
		case math.IsNaN(weight) || weight < 0 || weight > largestWeight:
			problem = fmt.Sprintf("has the weight %g, want one from 0 to %g", weight, largestWeight)
		case weight > 0 && !host.Ready:
			problem = fmt.Sprintf("is not ready and has the weight %g, want 0", weight)
		case weight > 0 && !(route.Decided[i] > 0) && !mayAddHosts:
			problem = fmt.Sprintf("has the weight %g, want 0 as in the decided row", weight)
		case weight > 0 && host.SlowStartFactor < 1 && hadReadyHost && after > before*(1+roundingError):
			problem = fmt.Sprintf("is warming up and has a share of %.3f, want at most %.3f", after, before)
		}
		if problem != "" {
			t.Fatalf("row %d: host %s %s\nview %+v\nrow %v", index, host.Name, problem, view, row)
		}
	}
}

// givesTraffic reports whether a weight is a finite number above 0.
func givesTraffic(weight float64) bool { return weight > 0 && !math.IsInf(weight, 1) }

// countReadyHosts returns the number of ready hosts with weight in a row.
func countReadyHosts(view *View, row []float64) (hosts int) {
	for i, weight := range row {
		if givesTraffic(weight) && view.Hosts[i].Ready {
			hosts++
		}
	}
	return hosts
}

// hasDemandWithoutHost reports whether no host with weight in the decided row may take some demand.
func hasDemandWithoutHost(view *View, route *Route) bool {
	for _, demand := range route.Demands {
		hosts := 0
		for i, weight := range route.Decided {
			host := &view.Hosts[i]
			isAllowed := !demand.ZoneLocal || host.Zone == demand.Zone
			if givesTraffic(weight) && host.Ready && isAllowed {
				hosts++
			}
		}
		if hosts == 0 {
			return true
		}
	}
	return false
}

// weightShare returns the fraction of the weight of a row's ready hosts that a host has, NaN if there is none.
func weightShare(view *View, row []float64, host int) float64 {
	sum := 0.0
	for i, weight := range row {
		if givesTraffic(weight) && view.Hosts[i].Ready {
			sum += weight
		}
	}
	return row[host] / sum
}

// TestRepeatedRepairSettles checks that repairs in sequence, each published before the next, converge to weights
// without findings while the decided weights stay the same, and that none moves more traffic than the limit.
func TestRepeatedRepairSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &View{Routes: []Route{{Demands: []Demand{{Class: "sheet", Zone: "a", Work: 4}}}}}
		limits := Limits{
			CapacityMultiple: 1,
			MaxTrafficShift:  rapid.SampledFrom([]float64{0.1, 0.3}).Draw(t, "max traffic shift"),
		}
		route := &view.Routes[0]
		for i := range 6 {
			zone := []string{"a", "b"}[i%2]
			view.Hosts = append(view.Hosts, warmHost(fmt.Sprint("h", i), zone, 2))
			route.Published = append(route.Published, 1)
		}
		for range 3 {
			route.Decided = nil
			for range view.Hosts {
				weight := rapid.Float64Range(0.05, 3).Draw(t, "weight")
				route.Decided = append(route.Decided, weight)
			}
			publishUntilSettled(t, view, limits)
		}
	})
}

// publishUntilSettled repairs and publishes the view's route until the published weights are valid and stay the same.
func publishUntilSettled(t *rapid.T, view *View, limits Limits) {
	t.Helper()
	const maxUpdates = 40
	const roundingError = 1e-6
	route := &view.Routes[0]
	for range maxUpdates {
		rows, remaining := Repair(view, limits)
		shift := shiftTo(view, limits, rows[0])
		if shift > limits.MaxTrafficShift+roundingError {
			t.Fatalf("one update moves %g of the traffic, want at most %g", shift, limits.MaxTrafficShift)
		}
		previous := route.Published
		route.Published = rows[0]
		if len(remaining) == 0 && shiftTo(view, limits, previous) < roundingError {
			return
		}
	}
	t.Fatalf("weights are %v after %d updates, want valid and unchanged ones; decided %v",
		route.Published, maxUpdates, route.Decided)
}

// shiftTo returns the fraction of the first route's traffic that a row would move.
func shiftTo(view *View, limits Limits, row []float64) float64 {
	changed := view.withDecided([][]float64{row})
	return newChecker(changed, limits).trafficShift(&changed.Routes[0])
}

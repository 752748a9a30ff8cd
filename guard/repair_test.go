package guard

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// checkRepairedRow checks what must hold of a repaired row whatever else is wrong: a read-only row is unchanged; the
// weights are numbers; no host that is not ready has weight, and none that the decided row leaves out unless a demand
// had no host; and no host that is warming up has a larger share than decided.
func checkRepairedRow(t *rapid.T, view *View, index int, row []float64) {
	t.Helper()
	route := &view.Routes[index]
	if route.ReadOnly {
		if !sameRows([][]float64{row}, [][]float64{route.Decided}) {
			t.Fatal("a read-only row was changed")
		}
		return
	}
	const largestWeight = 1e9
	const roundingError = 1e-9
	mayAddHosts := hasDemandWithoutHost(view, route)
	hadReadyHost := countReadyHosts(view, route.Decided) > 0
	for i, weight := range row {
		host := &view.Hosts[i]
		before := share(view, route.Decided, i)
		after := share(view, row, i)
		problem := ""
		switch {
		case math.IsNaN(weight) || weight < 0 || weight > largestWeight:
			problem = "has a weight that is no number"
		case weight > 0 && !host.Ready:
			problem = "is not ready and has weight"
		case weight > 0 && !(route.Decided[i] > 0) && !mayAddHosts:
			problem = "has weight and was left out of the decided row"
		case weight > 0 && host.SlowStartFactor < 1 && hadReadyHost && after > before*(1+roundingError):
			problem = fmt.Sprintf("is warming up and has a share of %.3f, decided %.3f", after, before)
		}
		if problem != "" {
			t.Fatalf("row %d: %s %s\n%+v\n%v", index, host.Name, problem, view, row)
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
			inReach := !demand.ZoneLocal || host.Zone == demand.Zone
			if givesTraffic(weight) && host.Ready && inReach {
				hosts++
			}
		}
		if hosts == 0 {
			return true
		}
	}
	return false
}

// share returns the fraction of the weight of a row's ready hosts that a host has, NaN if there is none.
func share(view *View, row []float64, host int) float64 {
	sum := 0.0
	for i, weight := range row {
		if givesTraffic(weight) && view.Hosts[i].Ready {
			sum += weight
		}
	}
	return row[host] / sum
}

// TestRepeatedRepairSettles checks that repairs in sequence, each published before the next, come to rest without a
// finding once the decided weights stay the same, and that none moves more traffic than the limit.
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
			t.Fatalf("moved %g of the traffic at once", shift)
		}
		previous := route.Published
		route.Published = rows[0]
		if len(remaining) == 0 && shiftTo(view, limits, previous) < roundingError {
			return
		}
	}
	t.Fatalf("after %d updates the weights are %v, decided %v", maxUpdates, route.Published, route.Decided)
}

// shiftTo returns the fraction of the first route's traffic that a row would move.
func shiftTo(view *View, limits Limits, row []float64) float64 {
	changed := view.withDecided([][]float64{row})
	return newChecker(changed, limits).trafficShift(&changed.Routes[0])
}

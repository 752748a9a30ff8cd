package guard

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// This file computes the findings a second time, in the simplest way, as the reference for Check. It uses the types
// and the names of the checks of the code under test, but calls no function of the package. It sums in the order of the
// hosts, as the package does, because a sum in another order may round to the other side of a limit.

// noZoneLost is the lost zone where no zone is lost.
const noZoneLost = ""

// referenceFindings lists the findings of a view's decided weights as "check: subject", sorted.
func referenceFindings(view *View, limits Limits) []string {
	var findings []string
	for _, route := range view.Routes {
		findings = append(findings, referenceInvalidWeights(view, route)...)
		findings = append(findings, referenceDemandsWithoutHost(view, route)...)
		if limits.MaxTrafficShift > 0 && route.Published != nil {
			findings = append(findings, referenceTrafficJump(view, route, limits.MaxTrafficShift)...)
		}
	}
	if limits.CapacityMultiple > 0 {
		findings = append(findings, referenceOverloads(view, limits)...)
	}
	sort.Strings(findings)
	return findings
}

// referenceIsWeight reports whether a weight is finite and at least 0.
func referenceIsWeight(weight float64) bool {
	if math.IsNaN(weight) || math.IsInf(weight, 0) {
		return false
	}
	return weight >= 0
}

// referenceInvalidWeights finds weights that are negative, infinite or NaN.
func referenceInvalidWeights(view *View, route Route) []string {
	var findings []string
	first := route.Demands[0]
	for i, host := range view.Hosts {
		if !referenceIsWeight(route.Decided[i]) {
			findings = append(findings, fmt.Sprintf("%s: %s in %s at %s", InvalidWeight, first.Class, first.Zone, host.Name))
		}
	}
	return findings
}

// referenceDemandsWithoutHost finds demands that no host with weight may take, although a warm host may.
func referenceDemandsWithoutHost(view *View, route Route) []string {
	var findings []string
	for _, demand := range route.Demands {
		hostsWithWeight := 0
		warmHosts := 0
		for i, host := range view.Hosts {
			if !host.Ready {
				continue
			}
			if demand.ZoneLocal && host.Zone != demand.Zone {
				continue
			}
			if referenceIsWeight(route.Decided[i]) && route.Decided[i] != 0 {
				hostsWithWeight++
			}
			if host.SlowStartFactor >= 1 {
				warmHosts++
			}
		}
		if hostsWithWeight == 0 && warmHosts > 0 {
			findings = append(findings, fmt.Sprintf("%s: %s in %s", NoHost, demand.Class, demand.Zone))
		}
	}
	return findings
}

// referenceTrafficJump finds a traffic shift of the route above the limit: half the distance between the shares.
func referenceTrafficJump(view *View, route Route, limit float64) []string {
	before := referenceShares(view, route.Published)
	after := referenceShares(view, route.Decided)
	if before == nil || after == nil {
		return nil
	}
	distance := 0.0
	for i := range before {
		distance += math.Abs(after[i] - before[i])
	}
	const roundingError = 1e-9
	if distance/2 <= limit+roundingError {
		return nil
	}
	first := route.Demands[0]
	return []string{fmt.Sprintf("%s: %s in %s", TrafficJump, first.Class, first.Zone)}
}

// referenceShares returns the fraction of a row's weight that each ready host has, nil if none has any.
func referenceShares(view *View, row []float64) []float64 {
	total := 0.0
	for i, host := range view.Hosts {
		if host.Ready && referenceIsWeight(row[i]) {
			total += row[i]
		}
	}
	if total == 0 {
		return nil
	}
	shares := make([]float64, len(row))
	for i, host := range view.Hosts {
		if host.Ready && referenceIsWeight(row[i]) {
			shares[i] = row[i] / total
		}
	}
	return shares
}

// referenceOverloads finds hosts that are given too much load, with all zones and without the one that carries the
// most.
func referenceOverloads(view *View, limits Limits) []string {
	var findings []string
	loads := referenceLoads(view, noZoneLost)
	multiple := referenceCapacityMultiple(view, limits, noZoneLost)
	for i, host := range view.Hosts {
		if host.Capacity > 0 && loads[i] > host.Capacity*multiple {
			findings = append(findings, OverCapacity+": "+host.Name)
		}
		if host.SlowStartFactor < 1 && host.SlowStartLimit > 0 && loads[i] > host.SlowStartLimit {
			findings = append(findings, OverSlowStartBudget+": "+host.Name)
		}
	}
	if !limits.SurviveZoneLoss {
		return findings
	}
	lost, found := referenceHeaviestZone(view, loads)
	if !found {
		return findings
	}
	loads = referenceLoads(view, lost)
	multiple = referenceCapacityMultiple(view, limits, lost)
	for i, host := range view.Hosts {
		if host.Zone != lost && host.Capacity > 0 && loads[i] > host.Capacity*multiple {
			findings = append(findings, OverCapacityWithoutZone+": "+host.Name)
		}
	}
	return findings
}

// referenceIsAvailable reports whether a host is ready and outside the lost zone.
func referenceIsAvailable(host Host, lostZone string) bool {
	if !host.Ready {
		return false
	}
	return lostZone == noZoneLost || host.Zone != lostZone
}

// referenceWork returns the work of a route's demands.
func referenceWork(route Route) float64 {
	work := 0.0
	for _, demand := range route.Demands {
		work += demand.Work
	}
	return work
}

// referenceLoads returns the work that each host is given once a zone is lost: every route's work, split by the weights
// of the available hosts.
func referenceLoads(view *View, lostZone string) []float64 {
	loads := make([]float64, len(view.Hosts))
	for _, route := range view.Routes {
		total := 0.0
		for i, host := range view.Hosts {
			if referenceIsAvailable(host, lostZone) && referenceIsWeight(route.Decided[i]) {
				total += route.Decided[i]
			}
		}
		if total == 0 {
			continue
		}
		workPerWeight := referenceWork(route) / total
		for i, host := range view.Hosts {
			if referenceIsAvailable(host, lostZone) && referenceIsWeight(route.Decided[i]) {
				loads[i] += route.Decided[i] * workPerWeight
			}
		}
	}
	return loads
}

// referenceCapacityMultiple returns the multiple of its capacity that a host may be given: the configured one, or 1.1
// times what its fair share would be if that is more.
func referenceCapacityMultiple(view *View, limits Limits, lostZone string) float64 {
	work := 0.0
	for _, route := range view.Routes {
		work += referenceWork(route)
	}
	capacity := 0.0
	for _, host := range view.Hosts {
		if referenceIsAvailable(host, lostZone) {
			capacity += host.Capacity * host.SlowStartFactor
		}
	}
	if capacity == 0 {
		return math.Inf(1)
	}
	return max(limits.CapacityMultiple, 1.1*work/capacity)
}

// referenceHeaviestZone returns the zone whose hosts carry the most load, of equal ones the first by name, and whether
// any zone carries load.
func referenceHeaviestZone(view *View, loads []float64) (heaviest string, found bool) {
	loadByZone := map[string]float64{}
	var zones []string
	for i, host := range view.Hosts {
		if loads[i] <= 0 {
			continue
		}
		if !slices.Contains(zones, host.Zone) {
			zones = append(zones, host.Zone)
		}
		loadByZone[host.Zone] += loads[i]
	}
	sort.Strings(zones)
	for _, zone := range zones {
		if !found || loadByZone[zone] > loadByZone[heaviest] {
			heaviest = zone
			found = true
		}
	}
	return heaviest, found
}

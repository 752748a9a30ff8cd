package controller

import (
	"maps"
	"math"
	"slices"

	"barleysail/routing"
	"barleysail/solver"
)

const (
	// deadlineLatencyMultiple is the deadline of a request as a multiple of its mean latency, the same as the
	// balancer assumes.
	deadlineLatencyMultiple = 3.2

	// minWorkMs replaces the mean work of a class whose work is not known.
	minWorkMs = 1e-3
)

// fleetDemand returns the recent demand by class and zone in requests per second. It is scaled to the whole fleet by
// the ratio of the proxies that are connected.
func (c *Controller) fleetDemand() map[string]map[string]float64 {
	share := c.connectedShare()
	demand := map[string]map[string]float64{}
	for i, class := range c.classes {
		byZone := map[string]float64{}
		for _, session := range c.sessions.byIndex {
			if session != nil {
				byZone[c.deployment.Zones[session.zone]] += session.requestRates[i] / share
			}
		}
		demand[class.Name] = byZone
	}
	return demand
}

// solverProblem returns the solver's problem for the ready hosts of the endpoint list and the recent demand. It returns
// nil if there is no demand or no host, or if a host has no cores given, which hostWithoutCores then names.
func (c *Controller) solverProblem() (problem *solver.Problem, hostWithoutCores string) {
	problem = &solver.Problem{
		Zones:         c.deployment.Zones,
		Demand:        c.fleetDemand(),
		Objective:     solver.Objective{TotalWeight: 1},
		DeadlineMeans: deadlineLatencyMultiple,
		Proxies:       map[string]int{},
	}
	for _, session := range c.sessions.byIndex {
		if session != nil {
			problem.Proxies[c.deployment.Zones[session.zone]]++
		}
	}
	for _, host := range slices.Sorted(maps.Keys(c.endpoints.effective)) {
		endpoint := c.endpoints.effective[host]
		if endpoint.State != routing.Ready {
			continue
		}
		if endpoint.Cores == 0 {
			return nil, host
		}
		problem.Hosts = append(problem.Hosts, solver.Host{
			Name:         host,
			Zone:         endpoint.Zone,
			Cores:        endpoint.Cores,
			Speed:        endpoint.speed(),
			WarmFraction: 1,
		})
	}
	totalDemand := 0.0
	for _, class := range c.classes {
		for _, zone := range c.deployment.Zones {
			totalDemand += problem.Demand[class.Name][zone]
		}
		problem.Classes = append(problem.Classes, solver.Class{
			Name:      class.Name,
			Earnings:  class.PriorityWeight,
			WorkMs:    math.Max(class.MeanWorkMs, minWorkMs),
			ZoneLocal: class.ZoneLocal,
		})
	}
	if totalDemand == 0 || len(problem.Hosts) == 0 {
		return nil, ""
	}
	return problem, ""
}

// ListedProblem returns the solver's problem for the endpoint list and the recent demand, nil if a host has no cores
// given or there is no demand.
func (c *Controller) ListedProblem() *solver.Problem {
	problem, _ := c.solverProblem()
	return problem
}

// CurrentProblem returns the solver's problem for the endpoint list and the recent demand, nil as for ListedProblem,
// and the published tables of the proxies, pooled by zone. The caller can measure the gap between them and the optimal
// tables by Problem.Measure, which may take long and needs no lock.
func (c *Controller) CurrentProblem() (problem *solver.Problem, tables solver.Tables) {
	problem = c.ListedProblem()
	if problem == nil {
		return nil, tables
	}
	pool := solver.NewTableAggregator()
	for _, session := range c.sessions.byIndex {
		if session == nil || len(session.versions) == 0 {
			continue
		}
		zone := c.deployment.Zones[session.zone]
		for _, class := range session.newest().tables.classes {
			pool.Add(class.name, zone, class.policy.admissionRatio, class.weights)
		}
	}
	return problem, pool.Tables()
}

// weights yields the hosts of the table with their weights.
func (t *classTable) weights(yield func(host string, weight float64) bool) {
	for _, entry := range t.entries {
		if !yield(entry.host, entry.weight) {
			return
		}
	}
}

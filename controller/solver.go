package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/solver"
)

// solverWeights computes, if enabled, the base weights, from which the balancer starts and to which it returns. They
// are in proportion to the capacity of each host, so that the shared table leads to the same utilization of all hosts.
// New weights are applied rarely, and only if they gain more under the recent demand than their updates cost. While it
// is disabled, the weights of the endpoint list apply.
type solverWeights struct {
	enabled          bool
	intervalMs       float64
	minGain          float64 // smallest gain of the objective, from 0 to 1, for which new weights are applied
	nextRunMs        float64
	byHost           map[string]float64 // a host without an entry has its weight from the endpoint list
	hostWithoutCores string             // host without cores that was last logged; empty: none
}

// EnableSolver enables solver weights. They are computed every intervalMs, and applied if the objective, from 0 to 1,
// gains at least minGain.
func (c *Controller) EnableSolver(intervalMs, minGain float64) {
	c.solver = solverWeights{
		enabled:    true,
		intervalMs: intervalMs,
		minGain:    minGain,
		nextRunMs:  math.Inf(-1),
		byHost:     map[string]float64{},
	}
}

func (w *solverWeights) nextMs() float64 {
	if !w.enabled {
		return math.Inf(1)
	}
	return w.nextRunMs
}

// baseWeight returns the base weight of an entry for the balancer: that of an override, of the solver, or of the list.
func (c *Controller) baseWeight(endpoint Endpoint) float64 {
	weight, solved := c.solver.byHost[endpoint.Host]
	if solved && !c.overrides.store.HasWeight(endpoint.Host) {
		return weight
	}
	return endpoint.Weight
}

// minWeightChange is the smallest relative change of a weight that is sent to the proxies.
const minWeightChange = 0.01

// renewSolverWeights computes the solver weights when they are due, and applies them if the gain exceeds the cost.
func (c *Controller) renewSolverWeights() {
	weights := &c.solver
	if !weights.enabled || c.nowMs < weights.nextRunMs {
		return
	}
	weights.nextRunMs = c.nowMs + weights.intervalMs
	problem, hostWithoutCores := c.solverProblem()
	if hostWithoutCores != "" && hostWithoutCores != weights.hostWithoutCores {
		c.effects.Log("no solver weights: host " + hostWithoutCores + " states no cores")
	}
	weights.hostWithoutCores = hostWithoutCores
	if problem == nil {
		return
	}
	solved := capacityWeights(problem)
	before := problem.Evaluate(uniformTables(problem, c.baseWeights()))
	after := problem.Evaluate(uniformTables(problem, solved))
	changed := c.hostsWithChangedWeight(solved)
	if after-before < math.Max(weights.minGain, c.updateCost(len(changed))) {
		return
	}
	c.effects.Log(fmt.Sprintf("solver weights applied: objective %.4f to %.4f", before, after))
	c.applySolverWeights(solved, changed)
}

// applySolverWeights passes the solver weights of hosts to the balancer, and drops those of hosts that are not listed.
func (c *Controller) applySolverWeights(solved map[string]float64, hosts []string) {
	c.balancer.ObserveDelta()
	for _, host := range hosts {
		endpoint := c.endpoints.effective[host]
		c.solver.byHost[host] = solved[host]
		c.balancer.ObserveEndpoint(c.hostIndex.Index(host), c.zoneIndex[endpoint.Zone], endpoint.State, solved[host],
			endpoint.StartedMs)
	}
	maps.DeleteFunc(c.solver.byHost, func(host string, _ float64) bool { return !c.HasEndpoint(host) })
	if len(hosts) > 0 {
		c.requestRound()
	}
}

// updateCost returns the cost of sending changed weights to all connected proxies, as a ratio of the objective. It is
// the cost of the channel, in proportion to the part of its rate that the updates use until weights may change again.
func (c *Controller) updateCost(changedWeights int) float64 {
	channel := &c.channel
	entries := float64(len(c.sessions.byProxy)) * (float64(changedWeights) + channel.messageOverhead)
	return channel.cost * entries / math.Max(channel.entriesPerMs*c.solver.intervalMs, minDivisor)
}

// hostsWithChangedWeight returns the hosts, by name, whose weights have changed enough to be sent.
func (c *Controller) hostsWithChangedWeight(solved map[string]float64) []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(solved)) {
		old := c.baseWeight(c.endpoints.effective[host])
		if math.Abs(solved[host]-old) > minWeightChange*old {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// capacityWeights returns a weight for each host of a problem, in proportion to its capacity and 1 on average.
func capacityWeights(problem *solver.Problem) map[string]float64 {
	total := 0.0
	for _, host := range problem.Hosts {
		total += problem.HostCapacity(host)
	}
	weights := map[string]float64{}
	for _, host := range problem.Hosts {
		weights[host.Name] = roundWeight(problem.HostCapacity(host) / total * float64(len(problem.Hosts)))
	}
	return weights
}

// baseWeights returns the weights that the balancer now has for the hosts of the endpoint list.
func (c *Controller) baseWeights() map[string]float64 {
	weights := map[string]float64{}
	for host, endpoint := range c.endpoints.effective {
		weight := c.baseWeight(endpoint)
		if weight == 0 { // not given
			weight = 1
		}
		weights[host] = weight
	}
	return weights
}

// uniformTables returns tables with the same weights for all classes and zones, like the balancer's shared table.
func uniformTables(problem *solver.Problem, weights map[string]float64) solver.Tables {
	tables := solver.Tables{Weights: map[string]map[string]map[string]float64{}}
	for _, class := range problem.Classes {
		byZone := map[string]map[string]float64{}
		for _, zone := range problem.Zones {
			byZone[zone] = weights
		}
		tables.Weights[class.Name] = byZone
	}
	return tables
}

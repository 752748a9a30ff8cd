package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/solver"
)

// solverWeights decides, where it is enabled, on the base weights that the balancer starts from and drifts back to: by
// the capacity of each host, so that the one shared table loads all hosts alike. The weights are renewed slowly, and
// only when they would gain more under the recent demand than the updates cost. While it is off, the weights of the
// endpoint list stand.
type solverWeights struct {
	enabled          bool
	intervalMs       float64
	minGain          float64 // of the result, from 0 to 1
	nextRunMs        float64
	byHost           map[string]float64 // a host without an entry has its weight from the endpoint list
	hostWithoutCores string             // as last logged; empty: none
}

// EnableSolver switches solver weights on. They are computed every intervalMs, and take effect where the result gains
// minGain by them.
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

// baseWeight is the weight that the balancer is given for an entry: that of an override, of the solver, or of the list.
func (c *Controller) baseWeight(endpoint Endpoint) float64 {
	weight, solved := c.solver.byHost[endpoint.Host]
	if solved && !c.overrides.store.HasWeight(endpoint.Host) {
		return weight
	}
	return endpoint.Weight
}

// minWeightChange is the least change of a weight, relative to it, that is sent to the proxies.
const minWeightChange = 0.01

// renewSolverWeights computes the solver weights when they are due, and puts them into effect where that pays.
func (c *Controller) renewSolverWeights() {
	weights := &c.solver
	if !weights.enabled || c.nowMs < weights.nextRunMs {
		return
	}
	weights.nextRunMs = c.nowMs + weights.intervalMs
	problem, hostWithoutCores := c.solverProblem()
	if hostWithoutCores != "" && hostWithoutCores != weights.hostWithoutCores {
		c.effects.Log("no solved weights: " + hostWithoutCores + " tells no cores")
	}
	weights.hostWithoutCores = hostWithoutCores
	if problem == nil {
		return
	}
	solved := capacityWeights(problem)
	before := problem.Earn(uniformTables(problem, c.baseWeights()))
	after := problem.Earn(uniformTables(problem, solved))
	changed := c.changedWeights(solved)
	if after-before < math.Max(weights.minGain, c.updateCost(len(changed))) {
		return
	}
	c.effects.Log(fmt.Sprintf("solved weights renewed: result %.4f to %.4f", before, after))
	c.applySolverWeights(solved, changed)
}

// applySolverWeights gives the weights of hosts to the balancer, and drops those of hosts that are no longer listed.
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

// updateCost is what sending changed weights to all connected proxies costs of the result, until weights may change
// again: the channel's cost, by the part of its rate that the updates take.
func (c *Controller) updateCost(changedWeights int) float64 {
	channel := &c.channel
	entries := float64(len(c.sessions.byProxy)) * (float64(changedWeights) + channel.messageOverhead)
	return channel.cost * entries / math.Max(channel.entriesPerMs*c.solver.intervalMs, minDivisor)
}

// changedWeights are the hosts, by name, whose weights have changed enough to be sent.
func (c *Controller) changedWeights(solved map[string]float64) []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(solved)) {
		old := c.baseWeight(c.endpoints.effective[host])
		if math.Abs(solved[host]-old) > minWeightChange*old {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// capacityWeights gives each host of a problem a weight in proportion to its capacity, 1 on average.
func capacityWeights(problem *solver.Problem) map[string]float64 {
	total := 0.0
	for _, host := range problem.Hosts {
		total += problem.HostCap(host)
	}
	weights := map[string]float64{}
	for _, host := range problem.Hosts {
		weights[host.Name] = roundWeight(problem.HostCap(host) / total * float64(len(problem.Hosts)))
	}
	return weights
}

// baseWeights are the weights that the balancer now has for the hosts of the endpoint list.
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

// uniformTables are tables with the same weights for all classes and zones, as the shared table of the balancer is.
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

package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/solver"
)

// solverWeights decides, where an operator switched it on, on the listed weights that the module starts from and drifts
// back to: by the cap of each host, so that the one table fills all hosts alike. They are renewed slowly, and only
// when what the demand lately heard would earn more by them is worth the orders. Off, the list's own weights stand.
type solverWeights struct {
	enabled          bool
	intervalMs       float64
	minGain          float64
	nextRunMs        float64            // the next look
	byHost           map[string]float64 // by host; a host without one has the list's
	hostWithoutCores string             // the host that tells no cores, as logged
}

// EnableSolver switches solved weights on: looked at so often (ms), renewed for so much of the result.
func (s *Controller) EnableSolver(every, least float64) {
	s.solver = solverWeights{enabled: true, intervalMs: every, minGain: least, nextRunMs: math.Inf(-1), byHost: map[string]float64{}}
}

func (v *solverWeights) nextMs() float64 {
	if !v.enabled {
		return math.Inf(1)
	}
	return v.nextRunMs
}

// baseWeight is what the module is told as a host's listed weight.
func (s *Controller) baseWeight(e Endpoint) float64 {
	if w, ok := s.solver.byHost[e.Host]; ok && !s.overrides.HasWeight(e.Host) {
		return w
	}
	return e.Weight
}

// minWeightChange is a change of a weight that is passed on.
const minWeightChange = 0.01

// renewSolverWeights looks whether the solved weights are worth telling.
func (s *Controller) renewSolverWeights() {
	v := &s.solver
	if !v.enabled || s.nowMs < v.nextRunMs {
		return
	}
	v.nextRunMs = s.nowMs + v.intervalMs
	p, lacks := s.solverProblem()
	if lacks != "" && lacks != v.hostWithoutCores {
		s.effects.Log("no solved weights: " + lacks + " tells no cores")
	}
	if v.hostWithoutCores = lacks; p == nil {
		return
	}
	fresh := s.capacityWeights(p)
	now, then := p.Earn(s.uniformTables(p, s.baseWeights())), p.Earn(s.uniformTables(p, fresh))
	if then-now < math.Max(v.minGain, s.updateCost(fresh)) {
		return
	}
	s.effects.Log(fmt.Sprintf("solved weights renewed: result %.4f to %.4f", now, then))
	s.balancer.ObserveDelta()
	changed := s.changedWeights(fresh)
	for _, host := range changed {
		e := s.endpoints.effective[host]
		v.byHost[host] = fresh[host]
		s.balancer.ObserveEndpoint(s.hostIndex.Index(host), s.zoneIndex[e.Zone], e.State, fresh[host], e.StartedMs)
	}
	maps.DeleteFunc(v.byHost, func(host string, _ float64) bool { _, ok := s.endpoints.effective[host]; return !ok })
	if len(changed) > 0 {
		s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
	}
}

// updateCost is what telling other weights costs of the result until they may be told anew: lines for all joined proxies,
// at the channel's price for its usual pace.
func (s *Controller) updateCost(fresh map[string]float64) float64 {
	lines := float64(len(s.sessions.byProxy)) * (float64(len(s.changedWeights(fresh))) + s.channel.messageOverhead)
	return s.channel.cost * lines / math.Max(s.channel.entriesPerMs*s.solver.intervalMs, 1e-9)
}

// changedWeights are the hosts whose weights are other enough to be told anew, by name.
func (s *Controller) changedWeights(fresh map[string]float64) (hosts []string) {
	for _, host := range slices.Sorted(maps.Keys(fresh)) {
		if old := s.baseWeight(s.endpoints.effective[host]); math.Abs(fresh[host]-old) > minWeightChange*old {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// capacityWeights gives each ready host a weight by its cap, 1 on average.
func (s *Controller) capacityWeights(p *solver.Problem) map[string]float64 {
	all := 0.0
	for _, h := range p.Hosts {
		all += p.HostCap(h)
	}
	weights := map[string]float64{}
	for _, h := range p.Hosts {
		weights[h.Name] = round6(p.HostCap(h) / all * float64(len(p.Hosts)))
	}
	return weights
}

// baseWeights are those of the ready hosts as the module has them from the list.
func (s *Controller) baseWeights() map[string]float64 {
	all := map[string]float64{}
	for host, e := range s.endpoints.effective {
		if all[host] = s.baseWeight(e); all[host] == 0 {
			all[host] = 1 // a weight of 0 says nothing
		}
	}
	return all
}

// uniformTables are tables that hold the same weights for all classes and zones, as the design's one table does.
func (s *Controller) uniformTables(p *solver.Problem, weights map[string]float64) solver.Tables {
	t := solver.Tables{Weights: map[string]map[string]map[string]float64{}}
	for _, c := range p.Classes {
		t.Weights[c.Name] = map[string]map[string]float64{}
		for _, z := range p.Zones {
			t.Weights[c.Name][z] = weights
		}
	}
	return t
}

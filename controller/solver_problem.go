package controller

import (
	"maps"
	"math"
	"slices"

	"barleysail/routing"
	"barleysail/solver"
)

// deadlineMeans is the deadline d in mean times of a transaction, as the module has it.
const deadlineMeans = 3.2

// fleetDemand is what the proxies lately told, by class and zone, for the whole fleet: the joined ones are a part of it.
func (s *Controller) fleetDemand() map[string]map[string]float64 {
	share, all := s.connectedShare(), map[string]map[string]float64{}
	for k, c := range s.classes {
		by := map[string]float64{}
		for _, m := range s.sessions.byIndex {
			if m != nil {
				by[s.deployment.Zones[m.zone]] += m.requestRates[k] / share
			}
		}
		all[c.Name] = by
	}
	return all
}

// solverProblem is the fleet as listed, with the demand that the proxies lately told. Without any there is none, nor with
// a host that tells no cores, which it names.
func (s *Controller) solverProblem() (p *solver.Problem, lacks string) {
	p = &solver.Problem{Zones: s.deployment.Zones, Demand: s.fleetDemand(), Goal: solver.Goal{Whole: 1},
		Deadline: deadlineMeans, Proxies: map[string]int{}}
	for _, m := range s.sessions.byIndex {
		if m != nil {
			p.Proxies[s.deployment.Zones[m.zone]]++
		}
	}
	for _, host := range slices.Sorted(maps.Keys(s.endpoints.effective)) {
		e := s.endpoints.effective[host]
		if e.State != routing.Ready {
			continue
		}
		if e.Cores == 0 {
			return nil, host
		}
		p.Hosts = append(p.Hosts, solver.Host{Name: host, Zone: e.Zone, Cores: e.Cores, Speed: e.speed(), Warm: 1})
	}
	total := 0.0
	for _, c := range s.classes {
		for _, z := range s.deployment.Zones {
			total += p.Demand[c.Name][z]
		}
		p.Classes = append(p.Classes, solver.Class{Name: c.Name, Earnings: c.PriorityWeight, Work: math.Max(c.MeanWorkMs, 1e-3), Local: c.ZoneLocal})
	}
	if total == 0 || len(p.Hosts) == 0 {
		return nil, ""
	}
	return p, ""
}

// ListedProblem gives the solver's problem for the fleet as listed and the demand lately heard, nil where there is none: a
// host tells no cores, or no demand was heard.
func (s *Controller) ListedProblem() *solver.Problem {
	p, lacks := s.solverProblem()
	if lacks != "" {
		return nil
	}
	return p
}

// CurrentProblem gives the fleet as listed with the demand lately heard, and the tables that the proxies now have, put
// together by zone; p is nil where hosts tell no cores or no demand was heard. The caller can measure the gap between
// them by p.Measure, which may take long and needs no lock.
func (s *Controller) CurrentProblem() (p *solver.Problem, t solver.Tables) {
	if p = s.ListedProblem(); p == nil {
		return nil, t
	}
	pool := solver.NewPool()
	for _, m := range s.sessions.byIndex {
		if m == nil || len(m.versions) == 0 {
			continue
		}
		for _, c := range m.versions[len(m.versions)-1].tables.classes {
			pool.Add(c.name, s.deployment.Zones[m.zone], c.policy.admissionRatio, func(yield func(string, float64) bool) {
				for _, l := range c.entries {
					if !yield(l.host, l.weight) {
						return
					}
				}
			})
		}
	}
	return p, pool.Tables()
}

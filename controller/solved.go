package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/routing"
	"barleysail/solver"
)

// solved decides, where an operator switched it on, on the listed weights that the module starts from and drifts
// back to: by the cap of each host, so that the one table fills all hosts alike. They are renewed slowly, and only
// when what the demand lately heard would earn more by them is worth the orders. Off, the list's own weights stand.
type solved struct {
	on      bool
	every   float64
	least   float64
	at      float64            // the next look
	weights map[string]float64 // by host; a host without one has the list's
	lacks   string             // the host that tells no cores, as logged
}

// EnableSolver switches solved weights on: looked at so often (ms), renewed for so much of the result.
func (s *Controller) EnableSolver(every, least float64) {
	s.solved = solved{on: true, every: every, least: least, at: math.Inf(-1), weights: map[string]float64{}}
}

func (v *solved) next() float64 {
	if !v.on {
		return math.Inf(1)
	}
	return v.at
}

// weight is what the module is told as a host's listed weight.
func (s *Controller) weight(e Endpoint) float64 {
	if w, ok := s.solved.weights[e.Host]; ok && !s.book.HasWeight(e.Host) {
		return w
	}
	return e.Weight
}

// deadlineMeans is the deadline d in mean times of a transaction, as the module has it.
const deadlineMeans = 3.2

// renewedPart is a change of a weight that is passed on.
const renewedPart = 0.01

// renew looks whether the solved weights are worth telling.
func (s *Controller) renew() {
	v := &s.solved
	if !v.on || s.now < v.at {
		return
	}
	v.at = s.now + v.every
	p, lacks := s.problem()
	if lacks != "" && lacks != v.lacks {
		s.out.Log("no solved weights: " + lacks + " tells no cores")
	}
	if v.lacks = lacks; p == nil {
		return
	}
	fresh := s.byCaps(p)
	now, then := p.Earn(s.shared(p, s.weights())), p.Earn(s.shared(p, fresh))
	if then-now < math.Max(v.least, s.orders(fresh)) {
		return
	}
	s.out.Log(fmt.Sprintf("solved weights renewed: result %.4f to %.4f", now, then))
	s.module.ObserveDelta()
	changed := s.changed(fresh)
	for _, host := range changed {
		e := s.list.entries[host]
		v.weights[host] = fresh[host]
		s.module.ObserveEndpoint(s.hosts.Index(host), s.zone[e.Zone], e.State, fresh[host], e.StartedMs)
	}
	maps.DeleteFunc(v.weights, func(host string, _ float64) bool { _, ok := s.list.entries[host]; return !ok })
	if len(changed) > 0 {
		s.round.soon(s.now, s.polls.MinRoundIntervalMs)
	}
}

// orders is what telling other weights costs of the result until they may be told anew: lines for all joined proxies,
// at the channel's price for its usual pace.
func (s *Controller) orders(fresh map[string]float64) float64 {
	lines := float64(len(s.members.byName)) * (float64(len(s.changed(fresh))) + s.channel.head)
	return s.channel.price * lines / math.Max(s.channel.pace*s.solved.every, 1e-9)
}

// changed are the hosts whose weights are other enough to be told anew, by name.
func (s *Controller) changed(fresh map[string]float64) (hosts []string) {
	for _, host := range slices.Sorted(maps.Keys(fresh)) {
		if old := s.weight(s.list.entries[host]); math.Abs(fresh[host]-old) > renewedPart*old {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// demand is what the proxies lately told, by class and zone, for the whole fleet: the joined ones are a part of it.
func (s *Controller) demand() map[string]map[string]float64 {
	share, all := s.joinedShare(), map[string]map[string]float64{}
	for k, c := range s.classes {
		by := map[string]float64{}
		for _, m := range s.members.byIndex {
			if m != nil {
				by[s.fleet.Zones[m.zone]] += m.rates[k] / share
			}
		}
		all[c.Name] = by
	}
	return all
}

// problem is the fleet as listed, with the demand that the proxies lately told. Without any there is none, nor with
// a host that tells no cores, which it names.
func (s *Controller) problem() (p *solver.Problem, lacks string) {
	p = &solver.Problem{Zones: s.fleet.Zones, Demand: s.demand(), Goal: solver.Goal{Whole: 1},
		Deadline: deadlineMeans, Proxies: map[string]int{}}
	for _, m := range s.members.byIndex {
		if m != nil {
			p.Proxies[s.fleet.Zones[m.zone]]++
		}
	}
	for _, host := range slices.Sorted(maps.Keys(s.list.entries)) {
		e := s.list.entries[host]
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
		for _, z := range s.fleet.Zones {
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
	p, lacks := s.problem()
	if lacks != "" {
		return nil
	}
	return p
}

// byCaps gives each ready host a weight by its cap, 1 on average.
func (s *Controller) byCaps(p *solver.Problem) map[string]float64 {
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

// weights are those of the ready hosts as the module has them from the list.
func (s *Controller) weights() map[string]float64 {
	all := map[string]float64{}
	for host, e := range s.list.entries {
		if all[host] = s.weight(e); all[host] == 0 {
			all[host] = 1 // a weight of 0 says nothing
		}
	}
	return all
}

// shared are tables that hold the same weights for all classes and zones, as the design's one table does.
func (s *Controller) shared(p *solver.Problem, weights map[string]float64) solver.Tables {
	t := solver.Tables{Weights: map[string]map[string]map[string]float64{}}
	for _, c := range p.Classes {
		t.Weights[c.Name] = map[string]map[string]float64{}
		for _, z := range p.Zones {
			t.Weights[c.Name][z] = weights
		}
	}
	return t
}

// CurrentProblem gives the fleet as listed with the demand lately heard, and the tables that the proxies now have, put
// together by zone; p is nil where hosts tell no cores or no demand was heard. The caller can measure the gap between
// them by p.Measure, which may take long and needs no lock.
func (s *Controller) CurrentProblem() (p *solver.Problem, t solver.Tables) {
	if p = s.ListedProblem(); p == nil {
		return nil, t
	}
	pool := solver.NewPool()
	for _, m := range s.members.byIndex {
		if m == nil || len(m.versions) == 0 {
			continue
		}
		for _, c := range m.versions[len(m.versions)-1].view.classes {
			pool.Add(c.name, s.fleet.Zones[m.zone], c.level.share, func(yield func(string, float64) bool) {
				for _, l := range c.lines {
					if !yield(l.host, l.weight) {
						return
					}
				}
			})
		}
	}
	return p, pool.Tables()
}

package replay

import (
	"maps"
	"math"
	"slices"

	"barleysail/solver"
)

// demand of a window, by class and zone of the proxies.
type demand map[string]map[string]float64

// came counts a transaction for the demand of the present window.
func (e *engine) came(class, zone string) {
	if e.demand == nil {
		e.demand = demand{}
	}
	if e.demand[class] == nil {
		e.demand[class] = map[string]float64{}
	}
	e.demand[class][zone]++
}

// sample measures, at the end of each window, how far the proxies' tables are from the best for the hosts as the
// model has them then: one that hangs or is dead has no cores, a slow one a part of its speed.
func (e *engine) sample() {
	e.sampled += windowLength
	e.dues.Schedule(e.sampled+windowLength, e.sample)
	came := e.demand
	e.demand = demand{}
	if len(came) == 0 || len(e.listed) == 0 {
		return
	}
	p := &solver.Problem{Demand: came, Goal: solver.Goal{Whole: 1}}
	for _, by := range came {
		for zone := range by {
			by[zone] *= 1000 / windowLength
		}
	}
	zones := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(e.listed)) {
		h := e.listed[name]
		fit := e.scan.model.Parameters(name)
		answers, _ := e.scan.model.Liveness(name, e.now)
		x := solver.Host{Name: name, Zone: h.zone, Speed: 1 / math.Max(e.scan.model.SlowdownFactor(name, e.now)*fit.ServiceTimeFactor, 1e-6), Warm: 1,
			Draining: !h.ready}
		if answers {
			x.Cores = float64(fit.Cores)
		}
		p.Hosts = append(p.Hosts, x)
		zones[h.zone] = true
	}
	for _, q := range e.proxies {
		zones[q.zone] = true
	}
	p.Zones = slices.Sorted(maps.Keys(zones))
	for _, c := range e.set.Classes {
		if by := came[c.Name]; len(by) > 0 {
			p.Classes = append(p.Classes, solver.Class{Name: c.Name, Earnings: c.PriorityWeight, Work: e.scan.model.BaseServiceTime(c.Name), Local: c.ZoneLocal})
		}
	}
	if g, err := p.Measure(e.standing()); err == nil {
		e.out.OptimalityGaps = append(e.out.OptimalityGaps, g.Best-g.Result)
	}
}

// standing are the proxies' tables, put together by zone.
func (e *engine) standing() solver.Tables {
	pool := solver.NewPool()
	for _, name := range slices.Sorted(maps.Keys(e.proxies)) {
		q := e.proxies[name]
		for class, table := range q.tables {
			pool.Add(class, q.zone, table.AdmissionRatio, func(yield func(string, float64) bool) {
				for i, host := range table.Hosts {
					if !yield(host, table.Weights[i]) {
						return
					}
				}
			})
		}
	}
	return pool.Tables()
}

// MeanGap of a day's windows.
func (o *Outcome) MeanOptimalityGap() float64 {
	if len(o.OptimalityGaps) == 0 {
		return 0
	}
	return sum(o.OptimalityGaps) / float64(len(o.OptimalityGaps))
}

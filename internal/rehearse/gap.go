package rehearse

import (
	"fmt"
	"io"
	"math"

	"barleysail/solver"
)

// gaps follows how far the forwarders' tables are from the best there is, sampled as the day goes on. The best knows
// each host's true state, as no steward does, so a trouble shows as a gap until it is found out.
type gaps struct {
	n           int
	sum, worst  float64
	worstAt     float64
	worstClass  string
	unmeasured  error
	samplesOver int
	samples     []sample
}

type sample struct{ at, gap float64 } // s from the day's start

// sampleGap measures the tables as they stand.
func (d *day) sampleGap(passed float64) {
	p, tables := d.problem(), d.tables()
	g, err := p.Measure(tables)
	if err != nil {
		d.gaps.unmeasured = err
		return
	}
	gap := g.BestValue - g.ObjectiveValue
	d.gaps.n++
	d.gaps.samples = append(d.gaps.samples, sample{passed, gap})
	d.gaps.sum += gap
	if len(g.Overloaded) > 0 {
		d.gaps.samplesOver++
	}
	if gap > d.gaps.worst {
		d.gaps.worst, d.gaps.worstAt = gap, passed
		for class, best := range g.BestServedShare {
			if lost := best - g.ServedShare[class]; d.gaps.worstClass == "" || lost > g.BestServedShare[d.gaps.worstClass]-g.ServedShare[d.gaps.worstClass] {
				d.gaps.worstClass = class
			}
		}
	}
}

// problem is the fleet as it truly is now: what hangs or is down has no capacity, what is slow or cold a part.
func (d *day) problem() *solver.Problem {
	c := d.config
	p := &solver.Problem{Zones: c.Zones, Demand: map[string]map[string]float64{}, Objective: solver.Objective{TotalWeight: *c.Goal.Whole,
		WorstClassWeight: *c.Goal.WorstClass}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		cores, speed := h.Able()
		p.Hosts = append(p.Hosts, solver.Host{Name: h.Address, Zone: h.zone, Cores: cores, Speed: speed, WarmFraction: 1,
			Draining: h.draining || !h.listed})
	}
	forwarders, total := map[string]float64{}, 0.0
	for _, g := range d.script.Forwarders {
		forwarders[g.Zone] += float64(g.Count)
		total += float64(g.Count)
	}
	for _, k := range c.Classes {
		for _, t := range d.script.Traffic {
			if t.Class != k.Name {
				continue
			}
			p.Classes = append(p.Classes, solver.Class{Name: k.Name, Earnings: *k.Earnings, WorkMs: t.WorkMs, ZoneLocal: k.Local})
			p.Demand[k.Name] = map[string]float64{}
			for zone, n := range forwarders {
				p.Demand[k.Name][zone] = t.Rate * n / total
			}
		}
	}
	return p
}

// tables are the forwarders' own, put together by zone: each forwarder gets the same traffic.
func (d *day) tables() solver.Tables {
	pool := solver.NewTableAggregator()
	for _, f := range d.forwarders {
		for class, table := range f.Client.Tables() {
			pool.Add(class, f.Zone(), table.AdmissionRatio, func(yield func(string, float64) bool) {
				for _, h := range table.Hosts {
					if !yield(h.Address, h.Weight) {
						return
					}
				}
			})
		}
	}
	return pool.Tables()
}

func (g *gaps) print(out io.Writer) {
	switch {
	case g.unmeasured != nil:
		fmt.Fprintf(out, "gap to the best tables: not measured: %v\n", g.unmeasured)
	case g.n > 0:
		fmt.Fprintf(out, "gap to the best tables for the hosts' true state: mean %.4f; worst %.4f at %.0f s", g.sum/float64(g.n), g.worst,
			g.worstAt)
		if g.worstClass != "" {
			fmt.Fprintf(out, ", most of it in %s", g.worstClass)
		}
		fmt.Fprintf(out, "; hosts sent more than they can do in %d of %d samples\n", g.samplesOver, g.n)
	}
}

// mean of the gaps from one time up to another, and how many there are.
func (g *gaps) mean(from, to float64) (mean float64, n int) {
	for _, s := range g.samples {
		if s.at >= from && s.at < to {
			mean, n = mean+s.gap, n+1
		}
	}
	return mean / math.Max(float64(n), 1), n
}

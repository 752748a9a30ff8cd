package guard

import (
	"math"
	"slices"
	"sort"
)

// severities weighs findings against each other, so that mending one never pays with a worse one.
var severities = map[string]float64{NotANumber: 1e9, NoHost: 1e9, OverSlowStartBudget: 1e6, TrafficJump: 1e3, OverCapacity: 1, OverCapacityWithoutZone: 1e-3}

func totalSeverity(found []Finding) (sum float64) {
	for _, f := range found {
		sum += severities[f.Check]
	}
	return sum
}

// Repair gives the nearest sound rows: those decided where they are; else those with the least taken off and added that
// passes, as much of the way to them from the published ones as may move at once. Fixed rows stay as they are.
//
// Three things hold of whatever it gives: a host that drains, is gone or withdrawn has no weight; a host that the decided
// row leaves out has none, unless nobody in that row could take a use otherwise; and a cold host's share is no more than
// decided. So no removal is held back, and no cold host gets more. left are the findings of what it gives.
func Repair(v *View, l Limits) (rows [][]float64, left []Finding) {
	rows = v.decided()
	if left = Check(v, l); len(left) == 0 {
		return rows, nil
	}
	m := &repairer{view: v, limits: l, best: rows, remaining: left, capacityMultiple: newChecker(v, l).capacityMultiple(noZone)}
	first := m.cleaned()
	m.severity = math.Inf(1) // what may not stay is out of all that follow, be it no fewer findings
	m.keepIfBetter(first)
	within := v.withDecided(first)
	m.relieve(within.Routes)
	m.keepIfBetter(within.decided())
	if l.SurviveZoneLoss && m.hasRemaining(OverCapacityWithoutZone) {
		m.evenOut(within)
	}
	if l.MaxTrafficShift > 0 && m.hasRemaining(TrafficJump) {
		for _, part := range []float64{1, 0.75, 0.5, 0.25, 0.1} {
			m.keepIfBetter(m.limitShift(m.best, part*l.MaxTrafficShift))
		}
	}
	return m.best, m.remaining
}

func (v *View) decided() (rows [][]float64) {
	for i := range v.Routes {
		rows = append(rows, v.Routes[i].Decided)
	}
	return rows
}

// withDecided is the view with other rows in place of those decided, which the caller may change.
func (v *View) withDecided(rows [][]float64) *View {
	w := &View{Hosts: v.Hosts, Routes: slices.Clone(v.Routes)}
	for i := range w.Routes {
		if w.Routes[i].Decided = rows[i]; !w.Routes[i].ReadOnly {
			w.Routes[i].Decided = slices.Clone(rows[i])
		}
	}
	return w
}

type repairer struct {
	view     *View
	limits     Limits
	best  [][]float64
	remaining  []Finding
	capacityMultiple  float64 // of its cap a host may be given
	severity float64 // gravity of what is left
}

func (m *repairer) hasRemaining(check string) bool {
	return slices.ContainsFunc(m.remaining, func(f Finding) bool { return f.Check == check })
}

// keepIfBetter keeps rows that have less wrong with them than the best so far.
func (m *repairer) keepIfBetter(rows [][]float64) {
	found := Check(m.view.withDecided(rows), m.limits)
	if g := totalSeverity(found); g < m.severity {
		m.best, m.remaining, m.severity = rows, found, g
	}
}

// cleaned are the decided rows without what is no number or may not stay, and with warm hosts by their caps where a
// use would have none.
func (m *repairer) cleaned() [][]float64 {
	w := m.view.withDecided(m.view.decided())
	c := newChecker(w, m.limits)
	for i := range w.Routes {
		r := &w.Routes[i]
		if r.ReadOnly {
			continue
		}
		for h, x := range r.Decided {
			if !isValidWeight(x) || !w.Hosts[h].Ready {
				r.Decided[h] = 0
			}
		}
		for _, u := range r.Demands {
			if c.hasHostFor(r, u) {
				continue
			}
			all, n := 0.0, 0.0
			for h := range w.Hosts {
				if u.allows(&w.Hosts[h]) && w.Hosts[h].SlowStartFactor >= 1 {
					all, n = all+w.Hosts[h].Capacity, n+1
				}
			}
			for h := range w.Hosts {
				if x := &w.Hosts[h]; u.allows(x) && x.SlowStartFactor >= 1 {
					if r.Decided[h] = 1; all > 0 && x.Capacity > 0 {
						r.Decided[h] = x.Capacity * n / all
					}
				}
			}
		}
	}
	return w.decided()
}

// loadLimit is what a host may be given: its cap, or if it is cold its budget.
func (m *repairer) loadLimit(h *Host) float64 {
	limit := math.Inf(1)
	if h.Capacity > 0 && m.limits.CapacityMultiple > 0 {
		limit = h.Capacity * m.capacityMultiple
	}
	if h.SlowStartFactor < 1 && h.SlowStartLimit > 0 {
		limit = math.Min(limit, h.SlowStartLimit)
	}
	return limit
}

// targetFill is how far under its limit a host is brought, so that what is asked can grow a little before the row is told anew.
const targetFill = 0.97

// maxReliefPasses over all hosts until what is moved on overloads nobody.
const maxReliefPasses = 8

// relieve takes off each host what is over its limit and gives it to the roomiest warm hosts of the same row, those of
// its zone first: few lines change. Where the rows have no room the rest stays.
func (m *repairer) relieve(rows []Route) {
	c := newChecker(&View{Hosts: m.view.Hosts, Routes: rows}, m.limits)
	for range maxReliefPasses {
		load, moved := c.hostLoads(noZone), false
		for h := range m.view.Hosts {
			limit := m.loadLimit(&m.view.Hosts[h])
			if load[h] <= limit {
				continue
			}
			part := 1 - limit*targetFill/load[h]
			for i := range rows {
				if r := &rows[i]; !r.ReadOnly && r.Decided[h] > 0 {
					moved = m.shiftLoad(r, h, part, load) || moved
				}
			}
		}
		if !moved {
			return
		}
	}
}

// shiftLoad takes a part of a host's weight in a row and deals it to others with room, whose loads it brings up to date.
func (m *repairer) shiftLoad(r *Route, from int, part float64, load []float64) bool {
	sum, asked := m.view.readyWeight(r.Decided), r.totalWork()
	if asked <= 0 || sum <= 0 {
		return false
	}
	var to []int
	for h, w := range r.Decided {
		if x := &m.view.Hosts[h]; h != from && w > 0 && x.Ready && x.SlowStartFactor >= 1 && load[h] < m.loadLimit(x)*targetFill {
			to = append(to, h)
		}
	}
	near := func(h int) bool { return m.view.Hosts[h].Zone == m.view.Hosts[from].Zone }
	room := func(h int) float64 { return math.Min(m.loadLimit(&m.view.Hosts[h])*targetFill, 1e9) - load[h] }
	sort.SliceStable(to, func(i, j int) bool {
		if a, b := near(to[i]), near(to[j]); a != b {
			return a
		}
		return room(to[i]) > room(to[j])
	})
	rest, moved := r.Decided[from]*part*asked/sum, false // as work
	for _, h := range to {
		x := math.Min(rest, room(h))
		if rest -= x; x > 0 {
			moved = true
			load[h], load[from] = load[h]+x, load[from]-x
			r.Decided[h], r.Decided[from] = r.Decided[h]+x*sum/asked, r.Decided[from]-x*sum/asked
		}
	}
	return moved
}

// blendParts are the parts of the way to equal busy parts that are tried.
var blendParts = []float64{0.25, 0.5, 0.75, 1}

// evenOut goes towards shares by the caps of the warm hosts, which leave most when a zone is lost.
func (m *repairer) evenOut(v *View) {
	for _, part := range blendParts {
		w := v.withDecided(v.decided())
		for i := range w.Routes {
			r := &w.Routes[i]
			if r.ReadOnly {
				continue
			}
			sum, caps := 0.0, 0.0
			for h, x := range r.Decided {
				if k := &w.Hosts[h]; x > 0 && k.SlowStartFactor >= 1 && k.Capacity > 0 {
					sum, caps = sum+x, caps+k.Capacity
				}
			}
			for h, x := range r.Decided {
				if k := &w.Hosts[h]; x > 0 && k.SlowStartFactor >= 1 && k.Capacity > 0 {
					r.Decided[h] = x + part*(sum*k.Capacity/caps-x)
				}
			}
		}
		m.keepIfBetter(w.decided())
	}
}

// limitShift goes from the published rows towards others until so much has moved. What those leave out is out, and a cold
// host gets no more than they give it.
func (m *repairer) limitShift(to [][]float64, most float64) [][]float64 {
	w := m.view.withDecided(to)
	c := newChecker(w, m.limits)
	for i := range w.Routes {
		r := &w.Routes[i]
		if r.ReadOnly || r.Published == nil {
			continue
		}
		moved := c.trafficShift(r)
		was, is := w.readyWeight(r.Published), w.readyWeight(r.Decided)
		if moved <= most || was <= 0 || is <= 0 {
			continue
		}
		part, row := most/moved, make([]float64, len(r.Decided))
		warm, cold := 0.0, 0.0
		for h, x := range r.Decided {
			if x <= 0 || !w.Hosts[h].Ready {
				continue
			}
			a, b := 0.0, x/is
			if isValidWeight(r.Published[h]) {
				a = r.Published[h] / was
			}
			if row[h] = a + part*(b-a); w.Hosts[h].SlowStartFactor < 1 {
				row[h] = math.Min(row[h], b)
				cold += row[h]
			} else {
				warm += row[h]
			}
		}
		for h := range row { // the weights' usual size, and the cold hosts' shares as they are
			if w.Hosts[h].SlowStartFactor >= 1 && warm > 0 {
				row[h] *= (1 - cold) / warm
			}
			row[h] *= is
		}
		if warm > 0 {
			r.Decided = row
		}
	}
	return w.decided()
}

package guard

import (
	"math"
	"slices"
	"sort"
)

// grave weighs findings against each other, so that mending one never pays with a worse one.
var grave = map[string]float64{Number: 1e9, Empty: 1e9, Cold: 1e6, Jump: 1e3, Over: 1, Spare: 1e-3}

func gravity(found []Finding) (sum float64) {
	for _, f := range found {
		sum += grave[f.Check]
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
	rows = v.next()
	if left = Check(v, l); len(left) == 0 {
		return rows, nil
	}
	m := &mender{v: v, l: l, best: rows, left: left, over: newChecker(v, l).over(none)}
	first := m.cleaned()
	m.fewer = math.Inf(1) // what may not stay is out of all that follow, be it no fewer findings
	m.try(first)
	within := v.with(first)
	m.relieve(within.Rows)
	m.try(within.next())
	if l.Spare && m.has(Spare) {
		m.even(within)
	}
	if l.Jump > 0 && m.has(Jump) {
		for _, part := range []float64{1, 0.75, 0.5, 0.25, 0.1} {
			m.try(m.step(m.best, part*l.Jump))
		}
	}
	return m.best, m.left
}

func (v *View) next() (rows [][]float64) {
	for i := range v.Rows {
		rows = append(rows, v.Rows[i].Next)
	}
	return rows
}

// with is the view with other rows in place of those decided, which the caller may change.
func (v *View) with(rows [][]float64) *View {
	w := &View{Hosts: v.Hosts, Rows: slices.Clone(v.Rows)}
	for i := range w.Rows {
		if w.Rows[i].Next = rows[i]; !w.Rows[i].Fixed {
			w.Rows[i].Next = slices.Clone(rows[i])
		}
	}
	return w
}

type mender struct {
	v     *View
	l     Limits
	best  [][]float64
	left  []Finding
	over  float64 // of its cap a host may be given
	fewer float64 // gravity of what is left
}

func (m *mender) has(check string) bool {
	return slices.ContainsFunc(m.left, func(f Finding) bool { return f.Check == check })
}

// try keeps rows that have less wrong with them than the best so far.
func (m *mender) try(rows [][]float64) {
	found := Check(m.v.with(rows), m.l)
	if g := gravity(found); g < m.fewer {
		m.best, m.left, m.fewer = rows, found, g
	}
}

// cleaned are the decided rows without what is no number or may not stay, and with warm hosts by their caps where a
// use would have none.
func (m *mender) cleaned() [][]float64 {
	w := m.v.with(m.v.next())
	c := newChecker(w, m.l)
	for i := range w.Rows {
		r := &w.Rows[i]
		if r.Fixed {
			continue
		}
		for h, x := range r.Next {
			if !good(x) || !w.Hosts[h].Ready {
				r.Next[h] = 0
			}
		}
		for _, u := range r.Uses {
			if c.able(r, u) {
				continue
			}
			all, n := 0.0, 0.0
			for h := range w.Hosts {
				if u.may(&w.Hosts[h]) && w.Hosts[h].Warmth >= 1 {
					all, n = all+w.Hosts[h].Cap, n+1
				}
			}
			for h := range w.Hosts {
				if x := &w.Hosts[h]; u.may(x) && x.Warmth >= 1 {
					if r.Next[h] = 1; all > 0 && x.Cap > 0 {
						r.Next[h] = x.Cap * n / all
					}
				}
			}
		}
	}
	return w.next()
}

// limit is what a host may be given: its cap, or if it is cold its budget.
func (m *mender) limit(h *Host) float64 {
	limit := math.Inf(1)
	if h.Cap > 0 && m.l.Over > 0 {
		limit = h.Cap * m.over
	}
	if h.Warmth < 1 && h.Most > 0 {
		limit = math.Min(limit, h.Most)
	}
	return limit
}

// under is how far under its limit a host is brought, so that what is asked can grow a little before the row is told anew.
const under = 0.97

// passes over all hosts until what is moved on overloads nobody.
const passes = 8

// relieve takes off each host what is over its limit and gives it to the roomiest warm hosts of the same row, those of
// its zone first: few lines change. Where the rows have no room the rest stays.
func (m *mender) relieve(rows []Row) {
	c := newChecker(&View{Hosts: m.v.Hosts, Rows: rows}, m.l)
	for range passes {
		load, moved := c.loads(none), false
		for h := range m.v.Hosts {
			limit := m.limit(&m.v.Hosts[h])
			if load[h] <= limit {
				continue
			}
			part := 1 - limit*under/load[h]
			for i := range rows {
				if r := &rows[i]; !r.Fixed && r.Next[h] > 0 {
					moved = m.unload(r, h, part, load) || moved
				}
			}
		}
		if !moved {
			return
		}
	}
}

// unload takes a part of a host's weight in a row and deals it to others with room, whose loads it brings up to date.
func (m *mender) unload(r *Row, from int, part float64, load []float64) bool {
	sum, asked := m.v.sum(r.Next), r.asked()
	if asked <= 0 || sum <= 0 {
		return false
	}
	var to []int
	for h, w := range r.Next {
		if x := &m.v.Hosts[h]; h != from && w > 0 && x.Ready && x.Warmth >= 1 && load[h] < m.limit(x)*under {
			to = append(to, h)
		}
	}
	near := func(h int) bool { return m.v.Hosts[h].Zone == m.v.Hosts[from].Zone }
	room := func(h int) float64 { return math.Min(m.limit(&m.v.Hosts[h])*under, 1e9) - load[h] }
	sort.SliceStable(to, func(i, j int) bool {
		if a, b := near(to[i]), near(to[j]); a != b {
			return a
		}
		return room(to[i]) > room(to[j])
	})
	rest, moved := r.Next[from]*part*asked/sum, false // as work
	for _, h := range to {
		x := math.Min(rest, room(h))
		if rest -= x; x > 0 {
			moved = true
			load[h], load[from] = load[h]+x, load[from]-x
			r.Next[h], r.Next[from] = r.Next[h]+x*sum/asked, r.Next[from]-x*sum/asked
		}
	}
	return moved
}

// evens are the parts of the way to equal busy parts that are tried.
var evens = []float64{0.25, 0.5, 0.75, 1}

// even goes towards shares by the caps of the warm hosts, which leave most when a zone is lost.
func (m *mender) even(v *View) {
	for _, part := range evens {
		w := v.with(v.next())
		for i := range w.Rows {
			r := &w.Rows[i]
			if r.Fixed {
				continue
			}
			sum, caps := 0.0, 0.0
			for h, x := range r.Next {
				if k := &w.Hosts[h]; x > 0 && k.Warmth >= 1 && k.Cap > 0 {
					sum, caps = sum+x, caps+k.Cap
				}
			}
			for h, x := range r.Next {
				if k := &w.Hosts[h]; x > 0 && k.Warmth >= 1 && k.Cap > 0 {
					r.Next[h] = x + part*(sum*k.Cap/caps-x)
				}
			}
		}
		m.try(w.next())
	}
}

// step goes from the published rows towards others until so much has moved. What those leave out is out, and a cold
// host gets no more than they give it.
func (m *mender) step(to [][]float64, most float64) [][]float64 {
	w := m.v.with(to)
	c := newChecker(w, m.l)
	for i := range w.Rows {
		r := &w.Rows[i]
		if r.Fixed || r.Now == nil {
			continue
		}
		moved := c.moved(r)
		was, is := w.sum(r.Now), w.sum(r.Next)
		if moved <= most || was <= 0 || is <= 0 {
			continue
		}
		part, row := most/moved, make([]float64, len(r.Next))
		warm, cold := 0.0, 0.0
		for h, x := range r.Next {
			if x <= 0 || !w.Hosts[h].Ready {
				continue
			}
			a, b := 0.0, x/is
			if good(r.Now[h]) {
				a = r.Now[h] / was
			}
			if row[h] = a + part*(b-a); w.Hosts[h].Warmth < 1 {
				row[h] = math.Min(row[h], b)
				cold += row[h]
			} else {
				warm += row[h]
			}
		}
		for h := range row { // the weights' usual size, and the cold hosts' shares as they are
			if w.Hosts[h].Warmth >= 1 && warm > 0 {
				row[h] *= (1 - cold) / warm
			}
			row[h] *= is
		}
		if warm > 0 {
			r.Next = row
		}
	}
	return w.next()
}

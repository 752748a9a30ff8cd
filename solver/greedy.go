package solver

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/floats"
)

// greedy gives a basis to begin with: each demand, the one that earns most for its work first, fills the groups where
// it earns most for what it takes of their caps. It is a vertex of the programme near the best one, so the simplex
// method has little left to do; where it keeps a bound badly (least shares) the method begins from nothing.
func (m *programme) greedy() *Solution {
	by := map[[2]int][]int{}
	for i, x := range m.columns {
		by[[2]int{x.c, x.z}] = append(by[[2]int{x.c, x.z}], i)
	}
	type demand struct {
		columns []int
		gain    float64 // for the cap that it takes
	}
	worth := func(i int) float64 { return m.gain[i] / (m.usage(m.columns[i]) * m.groups[m.columns[i].g].cap) }
	dear := func(i int) float64 { return floats.Sum(m.groups[m.columns[i].g].factor) }
	var all []demand
	for c := range m.p.Classes {
		for z := range m.p.Zones {
			columns := by[[2]int{c, z}]
			if len(columns) == 0 {
				continue
			}
			sort.SliceStable(columns, func(i, j int) bool {
				a, b := worth(columns[i]), worth(columns[j])
				if math.Abs(a-b) > 1e-9*math.Abs(a) {
					return a > b
				}
				return dear(columns[i]) > dear(columns[j]) // leave the others' best groups to them
			})
			all = append(all, demand{columns, worth(columns[0])})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].gain > all[j].gain })
	y, left := make([]float64, len(m.gain)), make([]float64, len(m.groups))
	for g := range left {
		left[g] = 1
	}
	for _, d := range all {
		rest := 1.0
		for _, i := range d.columns {
			x := m.columns[i]
			y[i] = math.Min(rest, left[x.g]/m.usage(x))
			if m.gain[i] <= 0 {
				y[i] = 0
			}
			rest -= y[i]
			if left[x.g] -= y[i] * m.usage(x); left[x.g] < 1e-12 {
				left[x.g] = 0
			}
			if rest < 1e-12 {
				break
			}
		}
	}
	y[m.t] = 1
	if m.p.Objective.WorstClassWeight > 0 {
		for c := range m.p.Classes {
			if d := m.p.classDemand(c); d > 0 {
				in := 0.0
				for i, x := range m.columns {
					if x.c == c {
						in += y[i] * m.p.demand(x.c, x.z) / d
					}
				}
				y[m.t] = math.Min(y[m.t], in)
			}
		}
	}
	s := &Solution{}
	for j, v := range y {
		if v > 1e-12 {
			s.basis = append(s.basis, m.name(j))
		}
	}
	for i, row := range m.rows { // a row that is not full has its slack in the basis
		sum := 0.0
		for j, a := range row {
			sum += a * y[j]
		}
		if m.right[i]-sum > 1e-9 {
			s.basis = append(s.basis, m.name(len(m.gain)+i))
		}
	}
	return s
}

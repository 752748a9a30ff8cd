package solver

import "math"

// way from the proxies of a zone to a group: its price, for all of the group's cap, and whether it may be used.
type way struct {
	price  float64
	closed bool
}

// ways by zone and group.
type ways [][]way

func (w ways) closed(z, g int) bool { return w != nil && w[z][g].closed }

// connectsSingly hosts or fewer are each a group of their own where connections have a price; of more, alike ones
// are connected to together or not at all.
const connectsSingly = 64

// rounds of slope scaling, and nodes of the search after it.
const (
	slopeRounds = 8
	nodesMost   = 400
)

// connected solves where connections have a price. A way between a zone and a group is paid for once, however much
// goes over it, which no linear programme says. A good answer comes from slope scaling (Kim and Pardalos, "A solution
// approach to the fixed charge network flow problem using a dynamic slope scaling procedure", 1999): each way is priced
// by what went over it last, until nothing changes. From there branch and bound: a way is paid for or closed, and the
// rest is priced as if each paid for the used part only, which earns at least as much as can be. The search ends after
// nodesMost programmes at the latest; Bound then tells what could be missing.
func (p *Problem) connected(last *Solution) (*Solution, error) {
	c := &connecting{p: p, last: last, groups: p.groups()}
	c.fixed = make([][]float64, len(p.Zones))
	for z, zone := range p.Zones {
		c.fixed[z] = make([]float64, len(c.groups))
		for g := range c.groups {
			c.fixed[z][g] = p.Objective.ConnectionCost * float64(p.Proxies[zone]) * float64(len(c.groups[g].hosts))
		}
	}
	if err := c.scale(); err != nil {
		return nil, err
	}
	bound, err := c.search()
	if err != nil {
		return nil, err
	}
	c.best.UpperBound = math.Max(bound, c.best.ObjectiveValue)
	return c.best, nil
}

// connecting is a search for the ways that are worth their price.
type connecting struct {
	p      *Problem
	groups []group
	fixed  [][]float64 // price of a way, by zone and group
	last   *Solution
	best   *Solution
}

// relaxed gives the ways with each at its price for all of the group's cap.
func (c *connecting) relaxed() ways {
	w := make(ways, len(c.fixed))
	for z := range w {
		w[z] = make([]way, len(c.groups))
		for g := range w[z] {
			w[z][g].price = c.fixed[z][g]
		}
	}
	return w
}

// solve solves at given prices, and keeps the answer if it is the best so far.
func (c *connecting) solve(w ways) (*Solution, error) {
	s, err := c.p.solve(c.last, w)
	if err != nil {
		return nil, err
	}
	if c.best == nil || s.ObjectiveValue > c.best.ObjectiveValue+1e-12 {
		c.best = s
	}
	return s, nil
}

// scale prices the ways by their use until nothing changes.
func (c *connecting) scale() error {
	w := c.relaxed()
	for range slopeRounds {
		s, err := c.solve(w)
		if err != nil {
			return err
		}
		moved := false
		for z := range w {
			for g := range w[z] {
				if u := s.used[z][g]; u > 1e-9 {
					next := c.fixed[z][g] / u
					moved = moved || math.Abs(next-w[z][g].price) > 1e-9*next
					w[z][g].price = next
				}
			}
		}
		if !moved {
			break
		}
	}
	return nil
}

// node of the search: which ways are paid for and which are closed, and what can be earned there at most.
type node struct {
	ways  ways
	paid  [][]bool
	bound float64
}

// search branches on the way whose price is paid least of, depth first, and gives what no answer can be above.
func (c *connecting) search() (bound float64, err error) {
	paid := make([][]bool, len(c.fixed))
	for z := range paid {
		paid[z] = make([]bool, len(c.groups))
	}
	open := []node{{c.relaxed(), paid, math.Inf(1)}}
	for n := 0; len(open) > 0 && n < nodesMost; n++ {
		x := open[len(open)-1]
		open = open[:len(open)-1]
		if x.bound <= c.best.ObjectiveValue+1e-9 {
			continue
		}
		s, err := c.solve(x.ways)
		if err != nil {
			return 0, err
		}
		x.bound = s.linear
		at, unpaid, usedThere := [2]int{}, 1e-9, 0.0
		for z := range x.ways {
			for g, u := range s.used[z] {
				if x.paid[z][g] {
					x.bound -= c.fixed[z][g]
					continue
				}
				x.bound -= c.fixed[z][g] * u
				if rest := c.fixed[z][g] * (1 - u); u > 1e-9 && rest > unpaid {
					at, unpaid, usedThere = [2]int{z, g}, rest, u
				}
			}
		}
		if x.bound <= c.best.ObjectiveValue+1e-9 || unpaid <= 1e-9 {
			continue
		}
		without, with := x.branch(at, false), x.branch(at, true)
		if usedThere > 0.5 {
			open = append(open, without, with)
		} else {
			open = append(open, with, without)
		}
	}
	bound = math.Inf(-1)
	for _, x := range open {
		bound = math.Max(bound, x.bound)
	}
	return bound, nil
}

// branch gives the node in which a way is paid for, or closed.
func (x node) branch(at [2]int, pay bool) node {
	n := node{make(ways, len(x.ways)), make([][]bool, len(x.paid)), x.bound}
	for z := range x.ways {
		n.ways[z], n.paid[z] = append([]way(nil), x.ways[z]...), append([]bool(nil), x.paid[z]...)
	}
	n.ways[at[0]][at[1]] = way{closed: !pay}
	n.paid[at[0]][at[1]] = pay
	return n
}

// connections counts what an answer's ways cost.
func (m *programme) connections(s *Solution, y []float64) {
	s.used = make([][]float64, len(m.p.Zones))
	for z := range s.used {
		s.used[z] = make([]float64, len(m.groups))
	}
	for i, x := range m.columns {
		s.used[x.z][x.g] += math.Max(y[i], 0) * m.usage(x)
	}
	if m.p.Objective.ConnectionCost == 0 {
		return
	}
	for z, zone := range m.p.Zones {
		for g, u := range s.used[z] {
			if u > 1e-9 {
				s.Connections += m.p.Proxies[zone] * len(m.groups[g].hosts)
			}
		}
	}
}

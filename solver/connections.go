package solver

import "math"

// arc leads from the proxies of a zone to a group.
type arc struct {
	cost   float64 // in units of the objective, if the zone uses all of the group's capacity; else in proportion
	closed bool    // carries no requests
}

// arcs are indexed by zone and group. Nil stands for open arcs without cost.
type arcs [][]arc

func (a arcs) closed(zone, group int) bool { return a != nil && a[zone][group].closed }

// maxSeparateHosts is the largest fleet in which each host is a group of its own if connections have a cost. In larger
// fleets the proxies of a zone connect to all hosts of a group of equal hosts or to none.
const maxSeparateHosts = 64

const (
	maxSlopeRounds = 8   // linear programs of the slope scaling
	maxSearchNodes = 400 // linear programs of branch and bound
)

// solveWithConnectionCosts solves a problem with a cost of connections. The cost of an arc is fixed: it is due once
// the arc carries any requests, which a linear program cannot express. Slope scaling (Kim and Pardalos, "A solution
// approach to the fixed charge network flow problem using a dynamic slope scaling procedure", 1999) finds a good
// solution: each arc costs in proportion to its use, at the rate at which its last use would have paid the fixed cost,
// until the costs no longer change. Branch and bound follows: each node pays for or closes some arcs, and for the
// others counts only the part of the cost that corresponds to their use, which gives an upper bound. The search stops
// after maxSearchNodes linear programs; the solution's UpperBound then shows how far it may be from the optimum.
func (p *Problem) solveWithConnectionCosts(earlier *Solution) (*Solution, error) {
	search := &connectionSearch{problem: p, earlier: earlier, groups: p.groups()}
	search.fixedCosts = make([][]float64, len(p.Zones))
	for z, zone := range p.Zones {
		search.fixedCosts[z] = make([]float64, len(search.groups))
		for g := range search.groups {
			search.fixedCosts[z][g] = p.Objective.ConnectionCost * float64(p.Proxies[zone]) *
				float64(len(search.groups[g].hosts))
		}
	}
	if err := search.scaleSlopes(); err != nil {
		return nil, err
	}
	bound, err := search.branchAndBound()
	if err != nil {
		return nil, err
	}
	search.best.UpperBound = math.Max(bound, search.best.ObjectiveValue)
	return search.best, nil
}

// connectionSearch searches for the arcs that are worth their fixed cost.
type connectionSearch struct {
	problem    *Problem
	groups     []group
	fixedCosts [][]float64 // of the arcs, by zone and group
	earlier    *Solution   // to start from; may be nil
	best       *Solution
}

// relaxedArcs returns open arcs whose cost is in proportion to their use, up to the fixed cost at full use.
func (s *connectionSearch) relaxedArcs() arcs {
	relaxed := make(arcs, len(s.fixedCosts))
	for z := range relaxed {
		relaxed[z] = make([]arc, len(s.groups))
		for g := range relaxed[z] {
			relaxed[z][g].cost = s.fixedCosts[z][g]
		}
	}
	return relaxed
}

// solve solves the linear program with the given arcs, and keeps the solution if it is the best so far.
func (s *connectionSearch) solve(arcs arcs) (*Solution, error) {
	solution, err := s.problem.solve(s.earlier, arcs)
	if err != nil {
		return nil, err
	}
	if s.best == nil || solution.ObjectiveValue > s.best.ObjectiveValue+minGain {
		s.best = solution
	}
	return solution, nil
}

// scaleSlopes sets the cost of each arc by its last use until the costs no longer change.
func (s *connectionSearch) scaleSlopes() error {
	arcs := s.relaxedArcs()
	for range maxSlopeRounds {
		solution, err := s.solve(arcs)
		if err != nil {
			return err
		}
		changed := false
		for z := range arcs {
			for g := range arcs[z] {
				if use := solution.groupUtilization[z][g]; use > minPositive {
					cost := s.fixedCosts[z][g] / use
					changed = changed || math.Abs(cost-arcs[z][g].cost) > minPositive*cost
					arcs[z][g].cost = cost
				}
			}
		}
		if !changed {
			break
		}
	}
	return nil
}

// node is a node of the search tree.
type node struct {
	arcs  arcs
	paid  [][]bool // by zone and group: whether the fixed cost of the arc is paid
	bound float64  // upper bound of the objective value below this node
}

// branchAndBound searches depth first, and branches on the arc with the largest unpaid part of its fixed cost. It
// returns an upper bound of the nodes that are left when it stops.
func (s *connectionSearch) branchAndBound() (bound float64, err error) {
	paid := make([][]bool, len(s.fixedCosts))
	for z := range paid {
		paid[z] = make([]bool, len(s.groups))
	}
	open := []node{{s.relaxedArcs(), paid, math.Inf(1)}}
	for count := 0; len(open) > 0 && count < maxSearchNodes; count++ {
		current := open[len(open)-1]
		open = open[:len(open)-1]
		if current.bound <= s.best.ObjectiveValue+minPositive {
			continue
		}
		solution, err := s.solve(current.arcs)
		if err != nil {
			return 0, err
		}
		current.bound = solution.linearObjective
		branchArc, maxUnpaid, branchArcUse := [2]int{}, minPositive, 0.0
		for z := range current.arcs {
			for g, use := range solution.groupUtilization[z] {
				if current.paid[z][g] {
					current.bound -= s.fixedCosts[z][g]
					continue
				}
				current.bound -= s.fixedCosts[z][g] * use
				if unpaid := s.fixedCosts[z][g] * (1 - use); use > minPositive && unpaid > maxUnpaid {
					branchArc, maxUnpaid, branchArcUse = [2]int{z, g}, unpaid, use
				}
			}
		}
		if current.bound <= s.best.ObjectiveValue+minPositive || maxUnpaid <= minPositive {
			continue
		}
		without, with := current.branch(branchArc, false), current.branch(branchArc, true)
		if branchArcUse > 0.5 { // the last node is searched first
			open = append(open, without, with)
		} else {
			open = append(open, with, without)
		}
	}
	bound = math.Inf(-1)
	for _, unsearched := range open {
		bound = math.Max(bound, unsearched.bound)
	}
	return bound, nil
}

// branch returns a child node in which the arc at (zone, group) is paid or else closed.
func (n node) branch(at [2]int, pay bool) node {
	child := node{make(arcs, len(n.arcs)), make([][]bool, len(n.paid)), n.bound}
	for z := range n.arcs {
		child.arcs[z], child.paid[z] = append([]arc(nil), n.arcs[z]...), append([]bool(nil), n.paid[z]...)
	}
	child.arcs[at[0]][at[1]] = arc{closed: !pay}
	child.paid[at[0]][at[1]] = pay
	return child
}

// countConnections sets the use of the groups from each zone and, if they have a cost, the number of connections.
func (l *linearProgram) countConnections(s *Solution, values []float64) {
	s.groupUtilization = make([][]float64, len(l.problem.Zones))
	for z := range s.groupUtilization {
		s.groupUtilization[z] = make([]float64, len(l.groups))
	}
	for j, column := range l.columns {
		s.groupUtilization[column.zone][column.group] += math.Max(values[j], 0) * l.capacityUse(column)
	}
	if l.problem.Objective.ConnectionCost == 0 {
		return
	}
	for z, zone := range l.problem.Zones {
		for g, use := range s.groupUtilization[z] {
			if use > minPositive {
				s.Connections += l.problem.Proxies[zone] * len(l.groups[g].hosts)
			}
		}
	}
}

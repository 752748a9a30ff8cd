package solver

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/floats"
)

// greedySolution returns a basis to start the simplex method from. It takes the demands in the order of their earnings
// for the capacity that they use, from the highest, and lets each fill the groups where it earns most for that
// capacity. The result is a vertex of the program near the optimal one, so that few pivots are left. If it is
// infeasible, as it may be with minimum admission ratios, the simplex method starts from the slacks.
func (l *linearProgram) greedySolution() *Solution {
	columnsOf := map[[2]int][]int{} // by class and zone
	for j, column := range l.columns {
		columnsOf[[2]int{column.class, column.zone}] = append(columnsOf[[2]int{column.class, column.zone}], j)
	}
	type demand struct {
		columns []int
		gain    float64 // of the best column, for its capacity use
	}
	gain := func(j int) float64 {
		return l.objective[j] / (l.capacityUse(l.columns[j]) * l.groups[l.columns[j].group].capacity)
	}
	totalWorkFactor := func(j int) float64 { return floats.Sum(l.groups[l.columns[j].group].workFactors) }
	var demands []demand
	for c := range l.problem.Classes {
		for z := range l.problem.Zones {
			columns := columnsOf[[2]int{c, z}]
			if len(columns) == 0 {
				continue
			}
			sort.SliceStable(columns, func(i, j int) bool {
				a, b := gain(columns[i]), gain(columns[j])
				if math.Abs(a-b) > minPositive*math.Abs(a) {
					return a > b
				}
				// Groups that are slow for the other classes come first, which leaves the fast ones to those.
				return totalWorkFactor(columns[i]) > totalWorkFactor(columns[j])
			})
			demands = append(demands, demand{columns, gain(columns[0])})
		}
	}
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].gain > demands[j].gain })
	values, freeCapacity := make([]float64, len(l.objective)), make([]float64, len(l.groups))
	for g := range freeCapacity {
		freeCapacity[g] = 1
	}
	for _, demand := range demands {
		unserved := 1.0
		for _, j := range demand.columns {
			column := l.columns[j]
			values[j] = math.Min(unserved, freeCapacity[column.group]/l.capacityUse(column))
			if l.objective[j] <= 0 {
				values[j] = 0
			}
			unserved -= values[j]
			if freeCapacity[column.group] -= values[j] * l.capacityUse(column); freeCapacity[column.group] < minFraction {
				freeCapacity[column.group] = 0
			}
			if unserved < minFraction {
				break
			}
		}
	}
	values[l.worstClassColumn] = 1
	if l.problem.Objective.WorstClassWeight > 0 {
		for c := range l.problem.Classes {
			if classDemand := l.problem.classDemand(c); classDemand > 0 {
				admissionRatio := 0.0
				for j, column := range l.columns {
					if column.class == c {
						admissionRatio += values[j] * l.problem.demand(column.class, column.zone) / classDemand
					}
				}
				values[l.worstClassColumn] = math.Min(values[l.worstClassColumn], admissionRatio)
			}
		}
	}
	solution := &Solution{}
	for j, value := range values {
		if value > minFraction {
			solution.basis = append(solution.basis, l.variableName(j))
		}
	}
	for i, row := range l.rows { // the slack of a row that doesn't bind is in the basis
		sum := 0.0
		for j, coefficient := range row {
			sum += coefficient * values[j]
		}
		if l.rightHandSides[i]-sum > minPositive {
			solution.basis = append(solution.basis, l.variableName(len(l.objective)+i))
		}
	}
	return solution
}

package solver

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solution is the solution of a problem. Zones are those of the proxies.
type Solution struct {
	// ObjectiveValue is the value of the objective after costs, at most TotalWeight + WorstClassWeight.
	ObjectiveValue     float64                                  `json:"Result"`
	EarningsPerS       float64                                  `json:"Earned"`
	DemandEarningsPerS float64                                  `json:"Asked"`   // if all demand were served
	AdmissionRatio     map[string]float64                       `json:"Share"`   // by class
	ZoneAdmissionRatio map[string]map[string]float64            `json:"ZoneIn"`  // by class and zone
	Weights            map[string]map[string]map[string]float64 `json:"Weights"` // by class, zone and host; sum to 1
	Utilization        map[string]float64                       `json:"Load"`    // by host, of its HostCapacity
	// DualPrice is the gain in earnings per second for one more core like the present ones, by host.
	DualPrice     map[string]float64 `json:"Price"`
	CrossZoneRate float64            `json:"Crossing"` // requests per second to hosts in other zones
	// Connections is the number of connections from proxies to hosts, 0 if they cost nothing.
	Connections int `json:"Connections"`
	// UpperBound is a value that no solution's objective exceeds. It is set if connections have a cost.
	UpperBound float64 `json:"Bound"`
	// WorstCaseLossPerS is the loss of earnings per second in the worst case of uncertain capacities.
	WorstCaseLossPerS float64 `json:"AtRisk"`

	basis            []string    // names of the variables above 0, to start the simplex method from
	linearObjective  float64     // the objective value before the cost of connections
	groupUtilization [][]float64 // by zone and group: fraction of the group's capacity in use from the zone

	// UnmetMinimums describes the minimum admission ratios for which there is not enough capacity.
	UnmetMinimums []string `json:"Unmet"`
}

// unmetPenalty is the cost of an unmet minimum admission ratio. It exceeds any gain in the objective value, which is
// about 1, so that a minimum is only missed if it cannot be met.
const unmetPenalty = 1000.0

// Tolerances for rounding errors. The program is scaled so that its right-hand sides are 1.
const (
	simplexTolerance = 1e-10 // of reduced costs
	minPositive      = 1e-9  // variables, pivots and differences of objective values up to this count as 0
	minFraction      = 1e-12 // smaller fractions of a demand, and smaller loads, are ignored
	ratioTolerance   = 1e-6  // of sums of weights, admission ratios and utilizations in a solution

	// maxCondition is the condition number above which a basis matrix counts as singular.
	maxCondition = 1e12
)

// column is a variable of the program: the fraction of the demand of a class in a zone that is sent to a group.
type column struct{ class, zone, group int }

// linearProgram is a linear program in equality form. Its variables are, in this order: those of the columns, the
// worst class's admission ratio, with uncertain capacities theta and the pi of each group, and a slack for each row.
type linearProgram struct {
	problem              *Problem
	groups               []group
	arcs                 arcs
	columns              []column
	rows                 [][]float64 // coefficients by row and variable, without the slacks
	rightHandSides       []float64   // by row
	objective            []float64   // coefficients by variable, without the slacks
	capacityRows         []int       // by group
	minimumClasses       []int       // class of each row of a minimum admission ratio; these rows are the last
	firstMinimumRow      int
	demandEarnings       float64 // earnings per second if all demand were served
	demandRate           float64 // requests per second
	worstClassColumn     int     // index of the variable t
	meanHostEarningsPerS float64 // earnings per second of the mean capacity of a host; set if capacities are uncertain
}

// Solve returns an optimal solution. Among solutions of equal value it always returns the same one, which prefers
// hosts in the proxy's own zone and loads equal hosts in proportion to their capacities.
func (p *Problem) Solve() (*Solution, error) { return p.SolveFrom(nil) }

// SolveFrom does the same as Solve, starting from an earlier solution of this or a similar problem. The more similar
// the problems, the sooner it is done. A solution that is not feasible for this problem is ignored.
func (p *Problem) SolveFrom(earlier *Solution) (*Solution, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Objective.ConnectionCost > 0 {
		return p.solveWithConnectionCosts(earlier)
	}
	return p.solve(earlier, nil)
}

// solve solves the linear program. Arcs may be nil, which leaves all arcs open at no cost.
func (p *Problem) solve(earlier *Solution, arcs arcs) (*Solution, error) {
	program := p.linearProgram(arcs)
	values, duals, err := program.optimize(earlier)
	if err != nil {
		return nil, err
	}
	solution := program.solution(values, duals)
	for j, value := range values {
		if value > minPositive {
			solution.basis = append(solution.basis, program.variableName(j))
		}
	}
	return solution, nil
}

// variableName returns the name of a variable, which is the same in all programs with the same classes, zones and
// groups: y for a column, more for the worst class's admission ratio, theta and the pi, and slack for a slack.
func (l *linearProgram) variableName(j int) string {
	variables := len(l.objective)
	switch {
	case j < len(l.columns):
		column := l.columns[j]
		return fmt.Sprintf("y %d %d %s", column.class, column.zone, l.groups[column.group].key)
	case j < variables:
		return fmt.Sprintf("more %d", j-len(l.columns))
	}
	return fmt.Sprintf("slack %d", j-variables)
}

// linearProgram returns the linear program of a problem. Arcs may be nil.
func (p *Problem) linearProgram(arcs arcs) *linearProgram {
	program := &linearProgram{problem: p, groups: p.groups(), arcs: arcs}
	for c, class := range p.Classes {
		for z := range p.Zones {
			program.demandEarnings, program.demandRate = program.demandEarnings+class.Earnings*p.demand(c, z),
				program.demandRate+p.demand(c, z)
		}
	}
	for c, class := range p.Classes {
		for z := range p.Zones {
			for g := range program.groups {
				if p.demand(c, z) > 0 && (!class.ZoneLocal || program.groups[g].zone == z) && !program.arcs.closed(z, g) {
					program.columns = append(program.columns, column{c, z, g})
				}
			}
		}
	}
	program.setObjective()
	program.worstClassColumn = len(program.columns)
	variables := program.worstClassColumn + 1
	if p.uncertain() {
		variables += 1 + len(program.groups)
	}
	demandRows := map[[2]int]int{}
	for j, column := range program.columns {
		key := [2]int{column.class, column.zone}
		row, ok := demandRows[key]
		if !ok {
			row = program.addRow(variables, 1)
			demandRows[key] = row
		}
		program.rows[row][j] = 1
	}
	for g := range program.groups {
		row := program.addRow(variables, 1)
		program.capacityRows = append(program.capacityRows, row)
		for j, column := range program.columns {
			if column.group == g {
				program.rows[row][j] = program.capacityUse(column)
			}
		}
	}
	program.addWorstClassRows(variables)
	if p.uncertain() {
		program.addUncertainty(variables)
	}
	program.firstMinimumRow = len(program.rows)
	for c, class := range p.Classes {
		if class.MinAdmissionRatio > 0 && program.problem.classDemand(c) > 0 {
			row := program.addRow(variables, class.MinAdmissionRatio)
			program.minimumClasses = append(program.minimumClasses, c)
			for j, column := range program.columns {
				if column.class == c {
					program.rows[row][j] = p.demand(column.class, column.zone) / program.problem.classDemand(c)
				}
			}
		}
	}
	return program
}

// capacityUse returns the fraction of its group's capacity that a column uses at value 1.
func (l *linearProgram) capacityUse(column column) float64 {
	group := &l.groups[column.group]
	return l.problem.Classes[column.class].WorkMs / msPerSecond * group.workFactors[column.class] *
		l.problem.demand(column.class, column.zone) / group.capacity
}

// addRow adds a row of zeros and returns its index.
func (l *linearProgram) addRow(variables int, rightHandSide float64) int {
	l.rows, l.rightHandSides = append(l.rows, make([]float64, variables)), append(l.rightHandSides, rightHandSide)
	return len(l.rows) - 1
}

// crossZonePenalty is the fraction of its objective coefficient that a column to another zone loses, so that of
// solutions of equal value the one with less traffic across zones is optimal.
const crossZonePenalty = 1e-7

// setObjective sets the objective's coefficients of the columns and the worst class's admission ratio.
func (l *linearProgram) setObjective() {
	objective := l.problem.Objective
	for _, column := range l.columns {
		rate, coefficient := l.problem.demand(column.class, column.zone), 0.0
		if l.demandEarnings > 0 {
			coefficient = objective.TotalWeight * l.problem.Classes[column.class].Earnings * rate / l.demandEarnings
		}
		if l.groups[column.group].zone != column.zone {
			coefficient -= objective.CrossZoneCost*rate/l.demandRate + crossZonePenalty*math.Abs(coefficient)
		}
		if l.arcs != nil {
			coefficient -= l.arcs[column.zone][column.group].cost * l.capacityUse(column)
		}
		l.objective = append(l.objective, coefficient)
	}
	l.objective = append(l.objective, objective.WorstClassWeight)
}

// addWorstClassRows limits t to the admission ratio of each class.
func (l *linearProgram) addWorstClassRows(variables int) {
	if l.problem.Objective.WorstClassWeight == 0 {
		l.rows[l.addRow(variables, 1)][l.worstClassColumn] = 1 // the simplex method needs a bound, though t earns nothing
		return
	}
	for c := range l.problem.Classes {
		classDemand := l.problem.classDemand(c)
		if classDemand == 0 {
			continue
		}
		row := l.addRow(variables, 0)
		l.rows[row][l.worstClassColumn] = 1
		for j, column := range l.columns {
			if column.class == c {
				l.rows[row][j] = -l.problem.demand(column.class, column.zone) / classDemand
			}
		}
	}
	l.rows[l.addRow(variables, 1)][l.worstClassColumn] = 1
}

// addUncertainty subtracts the loss that occurs when the hosts that matter most have their lowest capacity. Theta is
// the loss common to each of them, and pi the further loss of each host of a group, in units of the mean capacity of
// a host.
func (l *linearProgram) addUncertainty(variables int) {
	p, hosts, totalCapacity := l.problem, 0, 0.0
	for _, group := range l.groups {
		hosts, totalCapacity = hosts+len(group.hosts), totalCapacity+group.capacity
	}
	if hosts == 0 || l.demandEarnings == 0 {
		l.objective = append(l.objective, make([]float64, variables-len(l.objective))...)
		return
	}
	meanCapacity := totalCapacity / float64(hosts)
	l.meanHostEarningsPerS = meanCapacity * l.demandEarnings / (p.meanWorkMs() / msPerSecond * l.demandRate)
	lossCost := p.Objective.TotalWeight * l.meanHostEarningsPerS / l.demandEarnings
	l.objective = append(l.objective, -lossCost*float64(p.Uncertainty.DegradedHosts))
	for g, group := range l.groups {
		l.objective = append(l.objective, -lossCost*float64(len(group.hosts)))
		hostCount := float64(len(group.hosts))
		row := l.addRow(variables, (1-p.Uncertainty.Spread)*group.capacity/hostCount/meanCapacity)
		for j, column := range l.columns {
			if column.group == g {
				l.rows[row][j] = p.Classes[column.class].WorkMs / msPerSecond * group.workFactors[column.class] *
					p.demand(column.class, column.zone) / hostCount / meanCapacity
			}
		}
		l.rows[row][l.worstClassColumn+1], l.rows[row][l.worstClassColumn+2+g] = -1, -1
	}
}

// uncertain reports whether the capacities are uncertain.
func (p *Problem) uncertain() bool {
	return p.Uncertainty.Spread > 0 && p.Uncertainty.DegradedHosts > 0
}

// optimize solves the program by gonum's simplex method and computes the dual prices of the rows. Without a usable
// earlier solution the initial basis has the slack of each row, and for a minimum admission ratio the artificial
// variable with the penalty.
func (l *linearProgram) optimize(earlier *Solution) (values, duals []float64, err error) {
	variables, rows := len(l.objective), len(l.rows)
	minimumRows := rows - l.firstMinimumRow
	matrix := mat.NewDense(rows, variables+rows+minimumRows, nil)
	costs, slackBasis := make([]float64, variables+rows+minimumRows), make([]int, rows)
	for i, row := range l.rows {
		for j, coefficient := range row {
			matrix.Set(i, j, coefficient)
		}
		if i < l.firstMinimumRow {
			matrix.Set(i, variables+i, 1)
			slackBasis[i] = variables + i
		} else {
			artificial := variables + rows + i - l.firstMinimumRow
			matrix.Set(i, variables+i, -1) // the surplus over the minimum
			matrix.Set(i, artificial, 1)
			costs[artificial], slackBasis[i] = unmetPenalty, artificial
		}
	}
	for j, coefficient := range l.objective {
		costs[j] = -coefficient
	}
	if earlier == nil && !l.problem.uncertain() {
		earlier = l.greedySolution()
	}
	var optimum []float64
	err = errors.New("no earlier solution")
	if initial := l.initialBasis(earlier, matrix); initial != nil {
		_, optimum, err = lp.Simplex(costs, matrix, l.rightHandSides, simplexTolerance, initial)
	}
	if err != nil {
		_, optimum, err = lp.Simplex(costs, matrix, l.rightHandSides, simplexTolerance, slackBasis)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("solving the linear program: %w", err)
	}
	duals, err = l.dualPrices(optimum, matrix, costs)
	return optimum[:variables+rows+minimumRows], duals, err
}

// initialBasis returns the basis of an earlier solution, completed with slacks. It returns nil if that is not a basis
// of this program, or not a feasible one.
func (l *linearProgram) initialBasis(earlier *Solution, matrix *mat.Dense) []int {
	if earlier == nil || len(earlier.basis) == 0 {
		return nil
	}
	rows, variables := matrix.Dims()
	inBasis := make(map[string]bool, len(earlier.basis))
	for _, name := range earlier.basis {
		inBasis[name] = true
	}
	var candidates []int
	for j := range variables {
		if inBasis[l.variableName(j)] {
			candidates = append(candidates, j)
		}
	}
	for i := range rows {
		candidates = append(candidates, len(l.objective)+i)
	}
	basis := independentColumns(matrix, candidates)
	if len(basis) != rows {
		return nil
	}
	basisMatrix := mat.NewDense(rows, rows, nil)
	for k, j := range basis {
		for i := range rows {
			basisMatrix.Set(i, k, matrix.At(i, j))
		}
	}
	var factors mat.LU
	factors.Factorize(basisMatrix)
	var values mat.VecDense
	if factors.Cond() > maxCondition ||
		factors.SolveVecTo(&values, false, mat.NewVecDense(rows, l.rightHandSides)) != nil {
		return nil
	}
	for i := range rows {
		if values.AtVec(i) < 0 {
			return nil
		}
	}
	return basis
}

// independentColumns returns the candidates, in order, without those that depend linearly on earlier ones. It finds
// them by Gaussian elimination.
func independentColumns(matrix *mat.Dense, candidates []int) []int {
	rows, _ := matrix.Dims()
	var independent []int
	var reduced [][]float64 // the independent columns; each is 1 in its pivot row and 0 in those of earlier ones
	var pivots []int
	for _, j := range candidates {
		if len(independent) == rows {
			break
		}
		if slices.Contains(independent, j) {
			continue
		}
		column := mat.Col(nil, j, matrix)
		for k, earlier := range reduced {
			if factor := column[pivots[k]]; factor != 0 {
				floats.AddScaled(column, -factor, earlier)
			}
		}
		pivot := 0
		for i := range column {
			if math.Abs(column[i]) > math.Abs(column[pivot]) {
				pivot = i
			}
		}
		if math.Abs(column[pivot]) < minPositive {
			continue
		}
		floats.Scale(1/column[pivot], column)
		independent, reduced, pivots = append(independent, j), append(reduced, column), append(pivots, pivot)
	}
	return independent
}

// dualPrices returns the dual price of each row. The prices solve B'u = c for the basis matrix B, since the reduced
// costs of basic variables are 0. If fewer variables are above 0 than there are rows (a degenerate solution), it
// returns the prices with the smallest norm.
func (l *linearProgram) dualPrices(values []float64, matrix *mat.Dense, costs []float64) ([]float64, error) {
	rows := len(l.rows)
	var basic []int
	for j, value := range values {
		if value > minPositive {
			basic = append(basic, j)
		}
	}
	transposedBasis := mat.NewDense(len(basic), rows, nil)
	basicGains := mat.NewVecDense(len(basic), nil)
	for k, j := range basic {
		for i := range rows {
			transposedBasis.Set(k, i, matrix.At(i, j))
		}
		basicGains.SetVec(k, -costs[j])
	}
	var svd mat.SVD
	if len(basic) == 0 || !svd.Factorize(transposedBasis, mat.SVDThin) {
		return make([]float64, rows), nil
	}
	var duals mat.VecDense
	rank := 0
	for _, singularValue := range svd.Values(nil) {
		if singularValue > minPositive*svd.Values(nil)[0] {
			rank++
		}
	}
	svd.SolveVecTo(&duals, basicGains, rank)
	prices := make([]float64, rows)
	for i := range prices {
		prices[i] = math.Max(duals.AtVec(i), 0)
	}
	return prices, nil
}

// solution converts the values of the variables and the dual prices of the rows to a solution of the problem.
func (l *linearProgram) solution(values, duals []float64) *Solution {
	p := l.problem
	s := &Solution{DemandEarningsPerS: l.demandEarnings, AdmissionRatio: map[string]float64{},
		ZoneAdmissionRatio: map[string]map[string]float64{}, Weights: map[string]map[string]map[string]float64{},
		Utilization: map[string]float64{}, DualPrice: map[string]float64{}}
	served := make([][]float64, len(p.Classes)) // by class and zone: fraction of the demand
	for c, class := range p.Classes {
		served[c] = make([]float64, len(p.Zones))
		s.Weights[class.Name], s.ZoneAdmissionRatio[class.Name] = map[string]map[string]float64{}, map[string]float64{}
		s.AdmissionRatio[class.Name] = 1
	}
	groupLoads, crossZoneRate := make([]float64, len(l.groups)), 0.0
	for j, column := range l.columns {
		fraction := math.Max(values[j], 0)
		served[column.class][column.zone] += fraction
		rate := fraction * p.demand(column.class, column.zone)
		groupLoads[column.group] += rate * p.Classes[column.class].WorkMs / msPerSecond *
			l.groups[column.group].workFactors[column.class]
		s.EarningsPerS += rate * p.Classes[column.class].Earnings
		if l.groups[column.group].zone != column.zone {
			crossZoneRate += rate
		}
	}
	for j, column := range l.columns {
		weight := values[j] / math.Max(served[column.class][column.zone], 1e-300) // the limit avoids a division by 0
		if values[j] > minFraction {
			l.addWeights(s, column, weight)
		}
	}
	for c, class := range p.Classes {
		admitted, classDemand := 0.0, l.problem.classDemand(c)
		for z, zone := range p.Zones {
			if rate := p.demand(c, z); rate > 0 {
				s.ZoneAdmissionRatio[class.Name][zone] = math.Min(served[c][z], 1)
				admitted += served[c][z] * rate
			}
		}
		if classDemand > 0 {
			s.AdmissionRatio[class.Name] = math.Min(admitted/classDemand, 1)
		}
	}
	for g, group := range l.groups {
		for i, host := range group.hosts {
			s.Utilization[p.Hosts[host].Name] = groupLoads[g] / group.capacity
			if p.Objective.TotalWeight > 0 {
				s.DualPrice[p.Hosts[host].Name] = duals[l.capacityRows[g]] / group.capacity * l.demandEarnings /
					p.Objective.TotalWeight * group.capacities[i] / p.Hosts[host].Cores
			}
		}
	}
	s.CrossZoneRate = crossZoneRate
	l.countConnections(s, values)
	if p.uncertain() {
		s.WorstCaseLossPerS = l.meanHostEarningsPerS * float64(p.Uncertainty.DegradedHosts) * values[l.worstClassColumn+1]
		for g, group := range l.groups {
			s.WorstCaseLossPerS += l.meanHostEarningsPerS * float64(len(group.hosts)) * values[l.worstClassColumn+2+g]
		}
	}
	s.ObjectiveValue = s.evaluate(p, l.demandRate)
	for _, c := range l.minimumClasses {
		if class := p.Classes[c]; s.AdmissionRatio[class.Name] < class.MinAdmissionRatio-ratioTolerance {
			s.UnmetMinimums = append(s.UnmetMinimums, fmt.Sprintf(
				"class %s: a least share of %.3f is asked for, %.3f is the most there is room for", class.Name,
				class.MinAdmissionRatio, s.AdmissionRatio[class.Name]))
		}
	}
	return s
}

// evaluate returns the objective value of a solution, and sets its linear part.
func (s *Solution) evaluate(p *Problem, demandRate float64) float64 {
	worst := 1.0
	for c, class := range p.Classes {
		if p.classDemand(c) > 0 {
			worst = math.Min(worst, s.AdmissionRatio[class.Name])
		}
	}
	value := p.Objective.WorstClassWeight * worst
	if s.DemandEarningsPerS > 0 {
		value += p.Objective.TotalWeight * s.EarningsPerS / s.DemandEarningsPerS
	}
	if demandRate > 0 {
		value -= p.Objective.CrossZoneCost * s.CrossZoneRate / demandRate
	}
	s.linearObjective = value
	return value - p.Objective.ConnectionCost*float64(s.Connections)
}

// addWeights splits the weight of a column among the hosts of its group in proportion to their capacities.
func (l *linearProgram) addWeights(s *Solution, column column, weight float64) {
	class, zone := l.problem.Classes[column.class].Name, l.problem.Zones[column.zone]
	weights := s.Weights[class][zone]
	if weights == nil {
		weights = map[string]float64{}
		s.Weights[class][zone] = weights
	}
	group := l.groups[column.group]
	for i, host := range group.hosts {
		weights[l.problem.Hosts[host].Name] += weight * group.capacities[i] / group.capacity
	}
}

// ErrInfeasible reports that a solution violates a constraint of its problem.
var ErrInfeasible = errors.New("the solution is infeasible")

// Verify checks that a solution meets the constraints of the problem. It uses only the solution's weights and
// admission ratios.
func (p *Problem) Verify(s *Solution) error {
	loads, capacities, names, hosts := map[string]float64{}, map[string]float64{}, []string{}, map[string]Host{}
	for _, host := range p.Hosts {
		capacities[host.Name], hosts[host.Name] = p.HostCapacity(host), host
		names = append(names, host.Name)
	}
	for c, class := range p.Classes {
		for z, zone := range p.Zones {
			sum, admitted := 0.0, p.demand(c, z)*s.ZoneAdmissionRatio[class.Name][zone]
			for host, weight := range s.Weights[class.Name][zone] {
				if weight < 0 || math.IsNaN(weight) {
					return fmt.Errorf("%w: weight %g of host %s for class %s in zone %s, want 0 or more", ErrInfeasible,
						weight, host, class.Name, zone)
				}
				sum += weight
				loads[host] += weight * admitted * class.WorkMs / msPerSecond * hosts[host].workFactor(class.Name)
			}
			if admitted > minPositive && math.Abs(sum-1) > ratioTolerance {
				return fmt.Errorf("%w: the weights for class %s in zone %s sum to %g, want 1", ErrInfeasible,
					class.Name, zone, sum)
			}
		}
	}
	sort.Strings(names)
	for _, host := range names {
		if loads[host] > capacities[host]*(1+ratioTolerance)+minFraction {
			return fmt.Errorf("%w: load %g of host %s exceeds its capacity %g", ErrInfeasible, loads[host], host,
				capacities[host])
		}
	}
	return nil
}

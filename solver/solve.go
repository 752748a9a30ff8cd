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

// Solution of a problem.
type Solution struct {
	ObjectiveValue     float64                                  `json:"Result"` // of the goal, with prices taken off; at most Whole + WorstClass
	EarningsPerS       float64                                  `json:"Earned"` // earnings a second
	DemandEarningsPerS float64                                  `json:"Asked"`
	AdmissionRatio     map[string]float64                       `json:"Share"`    // let in, by class
	ZoneAdmissionRatio map[string]map[string]float64            `json:"ZoneIn"`   // let in, by class and zone of the proxies
	Weights            map[string]map[string]map[string]float64 `json:"Weights"`  // by class, zone of the proxies and host; they sum to 1
	Utilization        map[string]float64                       `json:"Load"`     // of each host's cap that is used
	DualPrice          map[string]float64                       `json:"Price"`    // of each host's cap: earnings a second that one more core like its own would bring
	CrossZoneRate      float64                                  `json:"Crossing"` // transactions a second that cross zones
	// Connections that the proxies keep, where they have a price.
	Connections       int         `json:"Connections"`
	UpperBound        float64     `json:"Bound"`  // what no answer's result is above, where connections have a price
	WorstCaseLossPerS float64     `json:"AtRisk"` // with doubt: earnings a second lost when the worst comes
	basis             []string    // names of the programme's variables that are above 0
	linear            float64     // the result but for connections
	used              [][]float64 // part of each group's cap that is used from each zone
	UnmetMinimums     []string    `json:"Unmet"` // least shares that the caps do not leave room for, with what they get
}

// penalty of a least share that is not met, against a result of about 1: large enough to be paid only where there is
// no other way.
const penalty = 1000.0

// tolerance of the simplex method; the programme is scaled so that its right sides are 1.
const tolerance = 1e-10

// column is a variable: the part of a demand that goes to a group.
type column struct{ c, z, g int }

// programme is the linear programme in equality form, with a slack for each row.
type programme struct {
	p       *Problem
	groups  []group
	ways    ways
	columns []column
	rows    [][]float64 // by row, over columns and t
	right   []float64
	gain    []float64 // of each column and t
	caps    []int     // row of each group's cap
	least   []int     // class of each row of a least share, after all others
	first   int       // of them
	asked   float64
	total   float64 // transactions a second
	t       int     // index of the worst class's share
	unit    float64 // with doubt: earnings a second of a mean host's cap
}

// Solve finds what earns most. Of several that earn the same it always gives the same one, with near hosts before
// far ones and hosts alike in proportion to their caps.
func (p *Problem) Solve() (*Solution, error) { return p.SolveFrom(nil) }

// SolveFrom does the same beginning from an earlier answer, to this problem or to one like it; the nearer the
// problems, the sooner it is done. Where the earlier answer is no help it begins from nothing.
func (p *Problem) SolveFrom(last *Solution) (*Solution, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Objective.ConnectionCost > 0 {
		return p.connected(last)
	}
	return p.solve(last, nil)
}

// solve does it at given prices of ways between zones and groups, none where nil.
func (p *Problem) solve(last *Solution, ways ways) (*Solution, error) {
	m := p.programme(ways)
	y, dual, err := m.run(last)
	if err != nil {
		return nil, err
	}
	s := m.read(y, dual)
	for j, v := range y {
		if v > 1e-9 {
			s.basis = append(s.basis, m.name(j))
		}
	}
	return s, nil
}

// name of a variable, the same in any programme over the same classes, zones and kinds of hosts.
func (m *programme) name(j int) string {
	n := len(m.gain)
	switch {
	case j < len(m.columns):
		x := m.columns[j]
		return fmt.Sprintf("y %d %d %s", x.c, x.z, m.groups[x.g].key)
	case j < n:
		return fmt.Sprintf("more %d", j-len(m.columns))
	}
	return fmt.Sprintf("slack %d", j-n)
}

func (p *Problem) programme(ways ways) *programme {
	m := &programme{p: p, groups: p.groups(), ways: ways}
	for c, k := range p.Classes {
		for z := range p.Zones {
			m.asked, m.total = m.asked+k.Earnings*p.demand(c, z), m.total+p.demand(c, z)
		}
	}
	for c, k := range p.Classes {
		for z := range p.Zones {
			for g := range m.groups {
				if p.demand(c, z) > 0 && (!k.ZoneLocal || m.groups[g].zone == z) && !m.ways.closed(z, g) {
					m.columns = append(m.columns, column{c, z, g})
				}
			}
		}
	}
	m.gains()
	m.t = len(m.columns)
	n := m.t + 1
	if p.doubted() {
		n += 1 + len(m.groups)
	}
	demand := map[[2]int]int{}
	for i, x := range m.columns {
		key := [2]int{x.c, x.z}
		r, ok := demand[key]
		if !ok {
			r = m.row(n, 1)
			demand[key] = r
		}
		m.rows[r][i] = 1
	}
	for g := range m.groups {
		r := m.row(n, 1)
		m.caps = append(m.caps, r)
		for i, x := range m.columns {
			if x.g == g {
				m.rows[r][i] = m.usage(x)
			}
		}
	}
	m.worst(n)
	if p.doubted() {
		m.doubt(n)
	}
	m.first = len(m.rows)
	for c, k := range p.Classes {
		if k.MinAdmissionRatio > 0 && m.p.classDemand(c) > 0 {
			r := m.row(n, k.MinAdmissionRatio)
			m.least = append(m.least, c)
			for i, x := range m.columns {
				if x.c == c {
					m.rows[r][i] = p.demand(x.c, x.z) / m.p.classDemand(c)
				}
			}
		}
	}
	return m
}

// usage is the part of its group's cap that a variable takes when it is 1.
func (m *programme) usage(x column) float64 {
	g := &m.groups[x.g]
	return m.p.Classes[x.c].WorkMs / 1000 * g.factor[x.c] * m.p.demand(x.c, x.z) / g.cap
}

func (m *programme) row(n int, right float64) int {
	m.rows, m.right = append(m.rows, make([]float64, n)), append(m.right, right)
	return len(m.rows) - 1
}

// nearer is the part of its gain by which a near group is preferred, so that equal answers are one.
const nearer = 1e-7

func (m *programme) gains() {
	goal := m.p.Objective
	for _, x := range m.columns {
		d, gain := m.p.demand(x.c, x.z), 0.0
		if m.asked > 0 {
			gain = goal.TotalWeight * m.p.Classes[x.c].Earnings * d / m.asked
		}
		if m.groups[x.g].zone != x.z {
			gain -= goal.CrossZoneCost*d/m.total + nearer*math.Abs(gain)
		}
		if m.ways != nil {
			gain -= m.ways[x.z][x.g].price * m.usage(x)
		}
		m.gain = append(m.gain, gain)
	}
	m.gain = append(m.gain, goal.WorstClassWeight)
}

// worst bounds t by the share of each class.
func (m *programme) worst(n int) {
	if m.p.Objective.WorstClassWeight == 0 {
		m.rows[m.row(n, 1)][m.t] = 1 // t has no worth, but the method wants it bounded
		return
	}
	for c := range m.p.Classes {
		d := m.p.classDemand(c)
		if d == 0 {
			continue
		}
		r := m.row(n, 0)
		m.rows[r][m.t] = 1
		for i, x := range m.columns {
			if x.c == c {
				m.rows[r][i] = -m.p.demand(x.c, x.z) / d
			}
		}
	}
	m.rows[m.row(n, 1)][m.t] = 1
}

// doubt takes the loss off that comes when the worst hosts are at their least. Theta is what every one of them
// loses, pi what those of a group lose beyond it, in units of the mean cap of a host.
func (m *programme) doubt(n int) {
	p, hosts, all := m.p, 0, 0.0
	for _, g := range m.groups {
		hosts, all = hosts+len(g.hosts), all+g.cap
	}
	if hosts == 0 || m.asked == 0 {
		m.gain = append(m.gain, make([]float64, n-len(m.gain))...)
		return
	}
	mean := all / float64(hosts)
	m.unit = mean * m.asked / (p.meanWork() / 1000 * m.total) // earnings a second of a mean host's cap
	worth := p.Objective.TotalWeight * m.unit / m.asked
	m.gain = append(m.gain, -worth*float64(p.Uncertainty.DegradedHosts))
	for i, g := range m.groups {
		m.gain = append(m.gain, -worth*float64(len(g.hosts)))
		each := float64(len(g.hosts))
		r := m.row(n, (1-p.Uncertainty.Spread)*g.cap/each/mean)
		for k, x := range m.columns {
			if x.g == i {
				m.rows[r][k] = p.Classes[x.c].WorkMs / 1000 * g.factor[x.c] * p.demand(x.c, x.z) / each / mean
			}
		}
		m.rows[r][m.t+1], m.rows[r][m.t+2+i] = -1, -1
	}
}

// doubted tells whether capacities are doubted at all.
func (p *Problem) doubted() bool { return p.Uncertainty.Spread > 0 && p.Uncertainty.DegradedHosts > 0 }

// run solves the programme by gonum's simplex method, and its dual for the prices of the caps. Slacks are a basis to
// begin with; a row of a least share begins with the variable that pays for not meeting it.
func (m *programme) run(last *Solution) (y, dual []float64, err error) {
	n, r := len(m.gain), len(m.rows)
	least := r - m.first
	a := mat.NewDense(r, n+r+least, nil)
	cost, basis := make([]float64, n+r+least), make([]int, r)
	for i, row := range m.rows {
		for j, x := range row {
			a.Set(i, j, x)
		}
		if i < m.first {
			a.Set(i, n+i, 1)
			basis[i] = n + i
		} else {
			unmet := n + r + i - m.first
			a.Set(i, n+i, -1) // what is over the least
			a.Set(i, unmet, 1)
			cost[unmet], basis[i] = penalty, unmet
		}
	}
	for j, g := range m.gain {
		cost[j] = -g
	}
	if last == nil && !m.p.doubted() {
		last = m.greedy()
	}
	var x []float64
	err = errors.New("no earlier answer")
	if begin := m.begin(last, a); begin != nil {
		_, x, err = lp.Simplex(cost, a, m.right, tolerance, begin)
	}
	if err != nil {
		_, x, err = lp.Simplex(cost, a, m.right, tolerance, basis)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("solving for the weights: %w", err)
	}
	dual, err = m.dual(x, n, a, cost)
	return x[:n+r+least], dual, err
}

// begin gives the basis of an earlier answer, filled up with slacks, if it is a basis of this programme and its
// answer keeps the bounds; else nil.
func (m *programme) begin(last *Solution, a *mat.Dense) []int {
	if last == nil || len(last.basis) == 0 {
		return nil
	}
	r, all := a.Dims()
	named := make(map[string]bool, len(last.basis))
	for _, name := range last.basis {
		named[name] = true
	}
	var wanted []int
	for j := range all {
		if named[m.name(j)] {
			wanted = append(wanted, j)
		}
	}
	for i := range r {
		wanted = append(wanted, len(m.gain)+i)
	}
	basis := independent(a, wanted)
	if len(basis) != r {
		return nil
	}
	b := mat.NewDense(r, r, nil)
	for k, j := range basis {
		for i := range r {
			b.Set(i, k, a.At(i, j))
		}
	}
	var lu mat.LU
	lu.Factorize(b)
	var x mat.VecDense
	if lu.Cond() > 1e12 || lu.SolveVecTo(&x, false, mat.NewVecDense(r, m.right)) != nil {
		return nil
	}
	for i := range r {
		if x.AtVec(i) < 0 {
			return nil
		}
	}
	return basis
}

// independent takes columns in order as long as they are linearly independent of those taken before, by elimination.
func independent(a *mat.Dense, wanted []int) []int {
	r, _ := a.Dims()
	var taken []int
	var done [][]float64 // columns taken, each 1 in its pivot's row, where those before it are 0
	var pivots []int
	for _, j := range wanted {
		if len(taken) == r {
			break
		}
		if slices.Contains(taken, j) {
			continue
		}
		column := mat.Col(nil, j, a)
		for k, d := range done {
			if f := column[pivots[k]]; f != 0 {
				floats.AddScaled(column, -f, d)
			}
		}
		pivot := 0
		for i := range column {
			if math.Abs(column[i]) > math.Abs(column[pivot]) {
				pivot = i
			}
		}
		if math.Abs(column[pivot]) < 1e-9 {
			continue
		}
		floats.Scale(1/column[pivot], column)
		taken, done, pivots = append(taken, j), append(done, column), append(pivots, pivot)
	}
	return taken
}

// dual gives the price of each row: the prices solve B'u = c for the basis B of the answer, since reduced costs of
// basic variables are 0. Where fewer variables are above 0 than there are rows (a degenerate answer) the least
// prices that fit are taken.
func (m *programme) dual(x []float64, n int, a *mat.Dense, cost []float64) ([]float64, error) {
	r := len(m.rows)
	var basic []int
	for j, v := range x {
		if v > 1e-9 {
			basic = append(basic, j)
		}
	}
	b := mat.NewDense(len(basic), r, nil)
	c := mat.NewVecDense(len(basic), nil)
	for k, j := range basic {
		for i := range r {
			b.Set(k, i, a.At(i, j))
		}
		c.SetVec(k, -cost[j])
	}
	var svd mat.SVD
	if len(basic) == 0 || !svd.Factorize(b, mat.SVDThin) {
		return make([]float64, r), nil
	}
	var u mat.VecDense
	rank := 0
	for _, s := range svd.Values(nil) {
		if s > 1e-9*svd.Values(nil)[0] {
			rank++
		}
	}
	svd.SolveVecTo(&u, c, rank)
	prices := make([]float64, r)
	for i := range prices {
		prices[i] = math.Max(u.AtVec(i), 0)
	}
	return prices, nil
}

// read makes the programme's answer a solution.
func (m *programme) read(y, dual []float64) *Solution {
	p := m.p
	s := &Solution{DemandEarningsPerS: m.asked, AdmissionRatio: map[string]float64{}, ZoneAdmissionRatio: map[string]map[string]float64{},
		Weights: map[string]map[string]map[string]float64{}, Utilization: map[string]float64{}, DualPrice: map[string]float64{}}
	served := make([][]float64, len(p.Classes))
	for c, k := range p.Classes {
		served[c] = make([]float64, len(p.Zones))
		s.Weights[k.Name], s.ZoneAdmissionRatio[k.Name] = map[string]map[string]float64{}, map[string]float64{}
		s.AdmissionRatio[k.Name] = 1
	}
	used, cross := make([]float64, len(m.groups)), 0.0
	for i, x := range m.columns {
		part := math.Max(y[i], 0)
		served[x.c][x.z] += part
		d := part * p.demand(x.c, x.z)
		used[x.g] += d * p.Classes[x.c].WorkMs / 1000 * m.groups[x.g].factor[x.c]
		s.EarningsPerS += d * p.Classes[x.c].Earnings
		if m.groups[x.g].zone != x.z {
			cross += d
		}
	}
	for i, x := range m.columns {
		if part := y[i] / math.Max(served[x.c][x.z], 1e-300); y[i] > 1e-12 {
			m.spread(s, x, part)
		}
	}
	for c, k := range p.Classes {
		in, d := 0.0, m.p.classDemand(c)
		for z, zone := range p.Zones {
			if x := p.demand(c, z); x > 0 {
				s.ZoneAdmissionRatio[k.Name][zone] = math.Min(served[c][z], 1)
				in += served[c][z] * x
			}
		}
		if d > 0 {
			s.AdmissionRatio[k.Name] = math.Min(in/d, 1)
		}
	}
	for g, grp := range m.groups {
		for i, h := range grp.hosts {
			s.Utilization[p.Hosts[h].Name] = used[g] / grp.cap
			if p.Objective.TotalWeight > 0 {
				s.DualPrice[p.Hosts[h].Name] = dual[m.caps[g]] / grp.cap * m.asked / p.Objective.TotalWeight * grp.caps[i] /
					p.Hosts[h].Cores
			}
		}
	}
	s.CrossZoneRate = cross
	m.connections(s, y)
	if p.doubted() {
		s.WorstCaseLossPerS = m.unit * float64(p.Uncertainty.DegradedHosts) * y[m.t+1]
		for i, g := range m.groups {
			s.WorstCaseLossPerS += m.unit * float64(len(g.hosts)) * y[m.t+2+i]
		}
	}
	s.ObjectiveValue = s.goal(p, m.total)
	for _, c := range m.least {
		if k := p.Classes[c]; s.AdmissionRatio[k.Name] < k.MinAdmissionRatio-1e-6 {
			s.UnmetMinimums = append(s.UnmetMinimums, fmt.Sprintf("class %s: a least share of %.3f is asked for, %.3f is the most there is room for", k.Name,
				k.MinAdmissionRatio, s.AdmissionRatio[k.Name]))
		}
	}
	return s
}

// goal is the result by the goal's weights and prices.
func (s *Solution) goal(p *Problem, total float64) float64 {
	worst := 1.0
	for c, k := range p.Classes {
		if p.classDemand(c) > 0 {
			worst = math.Min(worst, s.AdmissionRatio[k.Name])
		}
	}
	result := p.Objective.WorstClassWeight * worst
	if s.DemandEarningsPerS > 0 {
		result += p.Objective.TotalWeight * s.EarningsPerS / s.DemandEarningsPerS
	}
	if total > 0 {
		result -= p.Objective.CrossZoneCost * s.CrossZoneRate / total
	}
	s.linear = result
	return result - p.Objective.ConnectionCost*float64(s.Connections)
}

// spread gives a part of a demand to the hosts of a group by their caps.
func (m *programme) spread(s *Solution, x column, part float64) {
	class, zone := m.p.Classes[x.c].Name, m.p.Zones[x.z]
	w := s.Weights[class][zone]
	if w == nil {
		w = map[string]float64{}
		s.Weights[class][zone] = w
	}
	g := m.groups[x.g]
	for i, h := range g.hosts {
		w[m.p.Hosts[h].Name] += part * g.caps[i] / g.cap
	}
}

// ErrInfeasible tells that an answer does not keep the problem's bounds.
var ErrInfeasible = errors.New("the answer breaks a bound")

// Verify reckons a solution's bounds anew, from its weights and shares alone.
func (p *Problem) Verify(s *Solution) error {
	load, caps, names, hosts := map[string]float64{}, map[string]float64{}, []string{}, map[string]Host{}
	for _, h := range p.Hosts {
		caps[h.Name], hosts[h.Name] = p.HostCapacity(h), h
		names = append(names, h.Name)
	}
	for c, k := range p.Classes {
		for z, zone := range p.Zones {
			sum, d := 0.0, p.demand(c, z)*s.ZoneAdmissionRatio[k.Name][zone]
			for host, w := range s.Weights[k.Name][zone] {
				if w < 0 || math.IsNaN(w) {
					return fmt.Errorf("%w: %s has the weight %g", ErrInfeasible, host, w)
				}
				sum += w
				load[host] += w * d * k.WorkMs / 1000 * hosts[host].factor(k.Name)
			}
			if d > 1e-9 && math.Abs(sum-1) > 1e-6 {
				return fmt.Errorf("%w: the weights of %s in %s sum to %g", ErrInfeasible, k.Name, zone, sum)
			}
		}
	}
	sort.Strings(names)
	for _, h := range names {
		if load[h] > caps[h]*(1+1e-6)+1e-12 {
			return fmt.Errorf("%w: %s gets %g of %g", ErrInfeasible, h, load[h], caps[h])
		}
	}
	return nil
}

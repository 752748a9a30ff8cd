package solver

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// Change is a hypothetical change of a problem.
type Change struct {
	DrainHosts   []string
	LoseZones    []string // all hosts of these zones drain; their proxies stay
	DemandFactor float64  // 0: the demand doesn't change
	AddHosts     []Host
}

// With returns the problem after a change.
func (p *Problem) With(change Change) (*Problem, error) {
	changed := *p
	changed.Hosts = append(slices.Clone(p.Hosts), change.AddHosts...)
	for _, name := range change.DrainHosts {
		i := slices.IndexFunc(changed.Hosts, func(host Host) bool { return host.Name == name })
		if i < 0 {
			return nil, &FieldError{"drain", fmt.Sprintf("host %q is unknown", name)}
		}
		changed.Hosts[i].Draining = true
	}
	for _, zone := range change.LoseZones {
		if !slices.Contains(changed.Zones, zone) {
			return nil, &FieldError{"lose", fmt.Sprintf("zone %q is unknown", zone)}
		}
		for i := range changed.Hosts {
			changed.Hosts[i].Draining = changed.Hosts[i].Draining || changed.Hosts[i].Zone == zone
		}
	}
	if change.DemandFactor < 0 || math.IsNaN(change.DemandFactor) || math.IsInf(change.DemandFactor, 0) {
		return nil, &FieldError{"demand", fmt.Sprintf("factor %g must be finite and not negative", change.DemandFactor)}
	}
	if change.DemandFactor > 0 {
		changed.Demand = map[string]map[string]float64{}
		for class, byZone := range p.Demand {
			changed.Demand[class] = map[string]float64{}
			for zone, rate := range byZone {
				changed.Demand[class][zone] = rate * change.DemandFactor
			}
		}
	}
	return &changed, nil
}

// After returns the problem at a later time, when hosts have warmed up further.
func (p *Problem) After(ms float64) *Problem {
	later := *p
	later.Hosts = slices.Clone(p.Hosts)
	for i := range later.Hosts {
		host := &later.Hosts[i]
		if host.WarmUpMs <= 0 || host.WarmFraction >= 1 {
			continue
		}
		progress := math.Min(ms/host.WarmUpMs, 1)
		host.WarmFraction += (1 - host.WarmFraction) * progress
		host.WarmUpMs -= host.WarmUpMs * progress
	}
	return &later
}

// WarmUpStage is the solution at a time while hosts warm up.
type WarmUpStage struct {
	AtMs     float64 // from now
	Solution *Solution
}

// warmUpIntervals is the number of equal parts into which the stages divide the longest warm-up.
const warmUpIntervals = 4

// WarmUpStages solves the problem at equal intervals from now until all hosts are warm, each time starting from the
// solution of the stage before. It returns a single stage if no host is warming up.
func (p *Problem) WarmUpStages() ([]WarmUpStage, error) {
	longestMs := 0.0
	for _, host := range p.Hosts {
		if host.WarmFraction < 1 && !host.Draining {
			longestMs = math.Max(longestMs, host.WarmUpMs)
		}
	}
	var stages []WarmUpStage
	var previous *Solution
	for i := range warmUpIntervals + 1 {
		atMs := longestMs * float64(i) / warmUpIntervals
		solution, err := p.After(atMs).SolveFrom(previous)
		if err != nil {
			return nil, err
		}
		stages, previous = append(stages, WarmUpStage{atMs, solution}), solution
		if longestMs == 0 {
			break
		}
	}
	return stages, nil
}

// DrainPace limits how fast hosts can be drained: each change of a table entry is sent to every proxy over the control
// channel, which has a limited rate.
type DrainPace struct {
	Proxies         int
	EntriesPerS     float64 // rate of the channel
	MessageOverhead float64 // of a message besides its entries, in entries
	GraceMs         float64 // until a drained host gets no more requests
}

// DrainStep is a step of a drain plan. Its hosts can be drained at the same time.
type DrainStep struct {
	Hosts           []string
	AtMs            float64 // earliest start, from the start of the plan
	ObjectiveValue  float64 // after the step
	PeakUtilization float64 // highest utilization of a host after the step
}

// maxLoss is the largest loss of the objective value that counts as none.
const maxLoss = 1e-6

// PlanDrain returns the steps to drain hosts. A step has as many hosts as can be drained without a loss of the
// objective value, in the order of their loss. It starts once the messages of the step before are sent and its grace is
// over. When no further host can be drained without a loss, each of the others is a step of its own, in the order of
// their loss.
func (p *Problem) PlanDrain(hosts []string, pace DrainPace) ([]DrainStep, error) {
	current, err := p.With(Change{})
	if err != nil {
		return nil, err
	}
	remaining := slices.Clone(hosts)
	sort.Strings(remaining)
	initial, err := current.Solve()
	if err != nil {
		return nil, err
	}
	value, atMs := initial.ObjectiveValue, 0.0
	var steps []DrainStep
	for len(remaining) > 0 {
		step := DrainStep{AtMs: atMs}
		if atMs > 0 { // hosts have warmed up since the step before
			current = current.After(atMs - steps[len(steps)-1].AtMs)
			if solution, err := current.Solve(); err != nil {
				return nil, err
			} else if solution.ObjectiveValue > value {
				value = solution.ObjectiveValue
			}
		}
		for len(remaining) > 0 {
			name, solution, err := current.cheapestDrain(remaining)
			if err != nil {
				return nil, err
			}
			if solution.ObjectiveValue < value-maxLoss && len(step.Hosts) > 0 {
				break
			}
			step.Hosts = append(step.Hosts, name)
			step.ObjectiveValue, step.PeakUtilization = solution.ObjectiveValue, peakUtilization(solution)
			loss := solution.ObjectiveValue < value-maxLoss
			value = math.Min(value, solution.ObjectiveValue)
			remaining = slices.DeleteFunc(remaining, func(host string) bool { return host == name })
			if current, err = current.With(Change{DrainHosts: []string{name}}); err != nil {
				return nil, err
			}
			if loss {
				break
			}
		}
		steps = append(steps, step)
		entries := float64(pace.Proxies) * (float64(len(step.Hosts)) + pace.MessageOverhead)
		atMs += pace.GraceMs
		if pace.EntriesPerS > 0 {
			atMs += entries / pace.EntriesPerS * msPerSecond
		}
	}
	return steps, nil
}

// cheapestDrain returns the host whose drain leaves the highest objective value, and the solution without it. Among
// equal hosts it returns the first.
func (p *Problem) cheapestDrain(hosts []string) (name string, best *Solution, err error) {
	for _, host := range hosts {
		drained, err := p.With(Change{DrainHosts: []string{host}})
		if err != nil {
			return "", nil, err
		}
		solution, err := drained.Solve()
		if err != nil {
			return "", nil, err
		}
		if best == nil || solution.ObjectiveValue > best.ObjectiveValue+maxLoss {
			name, best = host, solution
		}
	}
	return name, best, nil
}

func peakUtilization(s *Solution) float64 {
	peak := 0.0
	for _, utilization := range s.Utilization {
		peak = math.Max(peak, utilization)
	}
	return peak
}

// BindingHosts returns the hosts that are at capacity, sorted by dual price from the highest.
func (s *Solution) BindingHosts() []string {
	var hosts []string
	for host, utilization := range s.Utilization {
		if utilization > 1-ratioTolerance {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := s.DualPrice[hosts[i]], s.DualPrice[hosts[j]]
		return a > b || a == b && hosts[i] < hosts[j]
	})
	return hosts
}

// Tables are routing tables, aggregated by zone of the proxies. The weights of a class and zone need not sum to 1.
type Tables struct {
	Weights        map[string]map[string]map[string]float64 // by class, zone and host
	AdmissionRatio map[string]float64                       // by class; absent: 1
}

// Gap is the difference between given tables and the optimal ones.
type Gap struct {
	ObjectiveValue   float64 `json:"result"`
	BestValue        float64 `json:"best"`
	EarningsPerS     float64 `json:"earned"`
	BestEarningsPerS float64 `json:"most"`
	// Overloaded is, by host above its capacity, the ratio of its load to the capacity.
	Overloaded map[string]float64 `json:"over,omitempty"`
	// WorkShift is, by host, the load with the optimal tables minus that with the given ones, in ms of work per ms.
	WorkShift       map[string]float64 `json:"shift,omitempty"`
	ServedShare     map[string]float64 `json:"served"`      // of the demand, by class
	BestServedShare map[string]float64 `json:"best_served"` // of the demand, by class
}

// Measure solves the problem and returns the gap between tables and the optimal ones.
func (p *Problem) Measure(tables Tables) (*Gap, error) {
	best, err := p.Solve()
	if err != nil {
		return nil, err
	}
	gap, loads := p.evaluate(tables)
	gap.BestValue, gap.BestEarningsPerS, gap.BestServedShare = best.ObjectiveValue, best.EarningsPerS, best.AdmissionRatio
	for _, host := range p.Hosts {
		shift := best.Utilization[host.Name]*p.HostCapacity(host) - loads[host.Name]
		if math.Abs(shift) > minPositive {
			gap.WorkShift[host.Name] = shift
		}
	}
	return gap, nil
}

// Evaluate returns the objective value of tables. It doesn't solve the problem, and so takes little time.
func (p *Problem) Evaluate(tables Tables) float64 {
	gap, _ := p.evaluate(tables)
	return gap.ObjectiveValue
}

// evaluate returns a gap without the values of the optimal tables, and the loads of hosts in ms of work per ms. A host
// above its capacity loses the same fraction of the requests of each class.
func (p *Problem) evaluate(tables Tables) (gap *Gap, loads map[string]float64) {
	gap = &Gap{Overloaded: map[string]float64{}, WorkShift: map[string]float64{}, ServedShare: map[string]float64{}}
	loads, flows := p.flows(tables)
	capacities := map[string]float64{}
	for _, host := range p.Hosts {
		capacities[host.Name] = p.HostCapacity(host)
		if loads[host.Name] > capacities[host.Name]*(1+minPositive) {
			gap.Overloaded[host.Name] = loads[host.Name] / math.Max(capacities[host.Name], minFraction)
		}
	}
	served, crossZoneRate, demandRate := map[string]float64{}, 0.0, 0.0
	for _, flow := range flows {
		fraction := 1.0
		if load := loads[flow.host]; load > capacities[flow.host] {
			fraction = capacities[flow.host] / load
		}
		served[flow.class] += flow.rate * fraction
		if flow.crossZone {
			crossZoneRate += flow.rate
		}
	}
	demandEarnings, worst := 0.0, 1.0
	for c, class := range p.Classes {
		classDemand := p.classDemand(c)
		demandRate, demandEarnings = demandRate+classDemand, demandEarnings+classDemand*class.Earnings
		gap.EarningsPerS += served[class.Name] * class.Earnings
		if classDemand > 0 {
			gap.ServedShare[class.Name] = served[class.Name] / classDemand
			worst = math.Min(worst, served[class.Name]/classDemand)
		}
	}
	gap.ObjectiveValue = p.Objective.WorstClassWeight * worst
	if demandEarnings > 0 {
		gap.ObjectiveValue += p.Objective.TotalWeight*gap.EarningsPerS/demandEarnings -
			p.Objective.CrossZoneCost*crossZoneRate/demandRate
	}
	return gap, loads
}

// flow is the traffic of a class from the proxies of a zone to a host, in requests per second.
type flow struct {
	class, host string
	rate        float64
	crossZone   bool
}

// flows returns the traffic that tables lead to, in a fixed order, and the load of each host in ms of work per ms.
func (p *Problem) flows(tables Tables) (loads map[string]float64, flows []flow) {
	loads = map[string]float64{}
	for c, class := range p.Classes {
		admissionRatio, ok := tables.AdmissionRatio[class.Name]
		if !ok {
			admissionRatio = 1
		}
		for z, zone := range p.Zones {
			weights, sum := tables.Weights[class.Name][zone], 0.0
			for _, host := range slices.Sorted(maps.Keys(weights)) { // a fixed order, for the same rounding
				sum += weights[host]
			}
			for _, host := range p.Hosts {
				weight := weights[host.Name]
				if weight <= 0 || sum <= 0 {
					continue
				}
				rate := p.demand(c, z) * math.Min(admissionRatio, 1) * weight / sum
				loads[host.Name] += rate * class.WorkMs / msPerSecond * host.workFactor(class.Name)
				flows = append(flows, flow{class.Name, host.Name, rate, host.Zone != zone})
			}
		}
	}
	return loads, flows
}

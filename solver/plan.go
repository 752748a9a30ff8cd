package solver

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// Change is a what-if question.
type Change struct {
	DrainHosts   []string // hosts
	LoseZones    []string // zones, with their hosts; their proxies stay
	DemandFactor float64  // times; 0: as it is
	AddHosts     []Host
}

// With gives the problem after a change.
func (p *Problem) With(c Change) (*Problem, error) {
	q := *p
	q.Hosts = append(slices.Clone(p.Hosts), c.AddHosts...)
	for _, name := range c.DrainHosts {
		i := slices.IndexFunc(q.Hosts, func(h Host) bool { return h.Name == name })
		if i < 0 {
			return nil, &FieldError{"drain", fmt.Sprintf("no host is named %q", name)}
		}
		q.Hosts[i].Draining = true
	}
	for _, zone := range c.LoseZones {
		if !slices.Contains(q.Zones, zone) {
			return nil, &FieldError{"lose", fmt.Sprintf("no zone is named %q", zone)}
		}
		for i := range q.Hosts {
			q.Hosts[i].Draining = q.Hosts[i].Draining || q.Hosts[i].Zone == zone
		}
	}
	if c.DemandFactor < 0 || math.IsNaN(c.DemandFactor) || math.IsInf(c.DemandFactor, 0) {
		return nil, &FieldError{"demand", fmt.Sprintf("%g times", c.DemandFactor)}
	}
	if c.DemandFactor > 0 {
		q.Demand = map[string]map[string]float64{}
		for class, by := range p.Demand {
			q.Demand[class] = map[string]float64{}
			for zone, d := range by {
				q.Demand[class][zone] = d * c.DemandFactor
			}
		}
	}
	return &q, nil
}

// After gives the problem as it is so many ms later, with cold hosts warmer by then.
func (p *Problem) After(ms float64) *Problem {
	q := *p
	q.Hosts = slices.Clone(p.Hosts)
	for i := range q.Hosts {
		h := &q.Hosts[i]
		if h.WarmUpMs <= 0 || h.WarmFraction >= 1 {
			continue
		}
		part := math.Min(ms/h.WarmUpMs, 1)
		h.WarmFraction += (1 - h.WarmFraction) * part
		h.WarmUpMs -= h.WarmUpMs * part
	}
	return &q
}

// WarmUpStage of warming: what is earned so many ms on.
type WarmUpStage struct {
	AtMs     float64
	Solution *Solution
}

// warmingStages of a plan, evenly over the longest warming.
const warmingStages = 4

// WarmUpStages solves along the hosts' warming, from now until the last of them is warm, each stage from the one before;
// a single stage where none is cold.
func (p *Problem) WarmUpStages() ([]WarmUpStage, error) {
	longest := 0.0
	for _, h := range p.Hosts {
		if h.WarmFraction < 1 && !h.Draining {
			longest = math.Max(longest, h.WarmUpMs)
		}
	}
	var all []WarmUpStage
	var last *Solution
	for i := range warmingStages + 1 {
		at := longest * float64(i) / warmingStages
		s, err := p.After(at).SolveFrom(last)
		if err != nil {
			return nil, err
		}
		all, last = append(all, WarmUpStage{at, s}), s
		if longest == 0 {
			break
		}
	}
	return all, nil
}

// DrainPace is what a change of the tables costs: each line goes to every proxy over the steward's channel.
type DrainPace struct {
	Proxies         int
	EntriesPerS     float64
	MessageOverhead float64 // lines that a message costs besides its own
	GraceMs         float64 // ms until a drained host is sent nothing more
}

// DrainStep of a plan: hosts that may be drained at once, when it may begin (ms after the plan's), and what is earned
// after it.
type DrainStep struct {
	Hosts           []string
	AtMs            float64
	ObjectiveValue  float64
	PeakUtilization float64 // the fullest host's, of its cap
}

// full is how much of the result a step may cost and still count as none.
const full = 1e-6

// PlanDrain orders hosts to be drained one after the other in steps: in each as many as leave all that was earned before,
// those that cost least first. A step waits until the one before is through the channel and its grace is over. Where
// no further host can go without a loss the rest follow one by one, dearest last.
func (p *Problem) PlanDrain(hosts []string, pace DrainPace) ([]DrainStep, error) {
	now, err := p.With(Change{})
	if err != nil {
		return nil, err
	}
	left := slices.Clone(hosts)
	sort.Strings(left)
	before, err := now.Solve()
	if err != nil {
		return nil, err
	}
	result, at := before.ObjectiveValue, 0.0
	var steps []DrainStep
	for len(left) > 0 {
		step := DrainStep{AtMs: at}
		if at > 0 { // cold hosts have warmed since the step before
			now = now.After(at - steps[len(steps)-1].AtMs)
			if s, err := now.Solve(); err != nil {
				return nil, err
			} else if s.ObjectiveValue > result {
				result = s.ObjectiveValue
			}
		}
		for len(left) > 0 {
			name, s, err := now.cheapest(left)
			if err != nil {
				return nil, err
			}
			if s.ObjectiveValue < result-full && len(step.Hosts) > 0 {
				break
			}
			step.Hosts, step.ObjectiveValue, step.PeakUtilization = append(step.Hosts, name), s.ObjectiveValue, fullest(s)
			loss := s.ObjectiveValue < result-full
			result = math.Min(result, s.ObjectiveValue)
			left = slices.DeleteFunc(left, func(x string) bool { return x == name })
			if now, err = now.With(Change{DrainHosts: []string{name}}); err != nil {
				return nil, err
			}
			if loss {
				break
			}
		}
		steps = append(steps, step)
		lines := float64(pace.Proxies) * (float64(len(step.Hosts)) + pace.MessageOverhead)
		at += pace.GraceMs
		if pace.EntriesPerS > 0 {
			at += lines / pace.EntriesPerS * 1000
		}
	}
	return steps, nil
}

// cheapest finds the host whose going costs least, the first by name of those that cost the same.
func (p *Problem) cheapest(hosts []string) (name string, best *Solution, err error) {
	for _, h := range hosts {
		q, err := p.With(Change{DrainHosts: []string{h}})
		if err != nil {
			return "", nil, err
		}
		s, err := q.Solve()
		if err != nil {
			return "", nil, err
		}
		if best == nil || s.ObjectiveValue > best.ObjectiveValue+full {
			name, best = h, s
		}
	}
	return name, best, nil
}

func fullest(s *Solution) float64 {
	most := 0.0
	for _, l := range s.Utilization {
		most = math.Max(most, l)
	}
	return most
}

// BindingHosts gives the hosts that work at their caps, by what a core more at each would earn, dearest first.
func (s *Solution) BindingHosts() []string {
	var all []string
	for host, l := range s.Utilization {
		if l > 1-1e-6 {
			all = append(all, host)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := s.DualPrice[all[i]], s.DualPrice[all[j]]
		return a > b || a == b && all[i] < all[j]
	})
	return all
}

// Tables are weights by class, zone of the proxies and host, with the share let in by class; weights need not sum
// to 1, and a class without a share lets all in.
type Tables struct {
	Weights        map[string]map[string]map[string]float64
	AdmissionRatio map[string]float64
}

// Gap is how far tables are from the best there is.
type Gap struct {
	ObjectiveValue   float64            `json:"result"`
	BestValue        float64            `json:"best"`
	EarningsPerS     float64            `json:"earned"` // earnings a second
	BestEarningsPerS float64            `json:"most"`
	Overloaded       map[string]float64 `json:"over,omitempty"`  // hosts over their caps: load against the cap
	WorkShift        map[string]float64 `json:"shift,omitempty"` // by host: work that the best gives it more than the tables, ms a ms
	ServedShare      map[string]float64 `json:"served"`          // by class
	BestServedShare  map[string]float64 `json:"best_served"`
}

// Measure reckons what tables earn and how far that is from the best.
func (p *Problem) Measure(t Tables) (*Gap, error) {
	best, err := p.Solve()
	if err != nil {
		return nil, err
	}
	g, load := p.earn(t)
	g.BestValue, g.BestEarningsPerS, g.BestServedShare = best.ObjectiveValue, best.EarningsPerS, best.AdmissionRatio
	for _, h := range p.Hosts {
		if d := best.Utilization[h.Name]*p.HostCapacity(h) - load[h.Name]; math.Abs(d) > 1e-9 {
			g.WorkShift[h.Name] = d
		}
	}
	return g, nil
}

// Evaluate reckons the result of tables alone, which takes no solving.
func (p *Problem) Evaluate(t Tables) float64 {
	g, _ := p.earn(t)
	return g.ObjectiveValue
}

// earn deals the demand out: what comes to a host over its cap is lost there in the same part for all classes.
func (p *Problem) earn(t Tables) (*Gap, map[string]float64) {
	g := &Gap{Overloaded: map[string]float64{}, WorkShift: map[string]float64{}, ServedShare: map[string]float64{}}
	load, flows := p.flows(t)
	caps := map[string]float64{}
	for _, h := range p.Hosts {
		caps[h.Name] = p.HostCapacity(h)
		if load[h.Name] > caps[h.Name]*(1+1e-9) {
			g.Overloaded[h.Name] = load[h.Name] / math.Max(caps[h.Name], 1e-12)
		}
	}
	served, crossing, total := map[string]float64{}, 0.0, 0.0
	for _, f := range flows {
		part := 1.0
		if l := load[f.host]; l > caps[f.host] {
			part = caps[f.host] / l
		}
		served[f.class] += f.rate * part
		if f.cross {
			crossing += f.rate
		}
	}
	asked, worst := 0.0, 1.0
	for c, k := range p.Classes {
		d := p.classDemand(c)
		total, asked = total+d, asked+d*k.Earnings
		g.EarningsPerS += served[k.Name] * k.Earnings
		if d > 0 {
			g.ServedShare[k.Name] = served[k.Name] / d
			worst = math.Min(worst, served[k.Name]/d)
		}
	}
	g.ObjectiveValue = p.Objective.WorstClassWeight * worst
	if asked > 0 {
		g.ObjectiveValue += p.Objective.TotalWeight*g.EarningsPerS/asked - p.Objective.CrossZoneCost*crossing/total
	}
	return g, load
}

// flow of transactions to a host.
type flow struct {
	class, host string
	rate        float64
	cross       bool
}

// flows deals the demand out by tables, in order.
func (p *Problem) flows(t Tables) (load map[string]float64, all []flow) {
	load = map[string]float64{}
	for c, k := range p.Classes {
		in, ok := t.AdmissionRatio[k.Name]
		if !ok {
			in = 1
		}
		for z, zone := range p.Zones {
			row, sum := t.Weights[k.Name][zone], 0.0
			for _, host := range slices.Sorted(maps.Keys(row)) { // in order, so that the sum is the same each time
				sum += row[host]
			}
			for _, h := range p.Hosts {
				w := row[h.Name]
				if w <= 0 || sum <= 0 {
					continue
				}
				rate := p.demand(c, z) * math.Min(in, 1) * w / sum
				load[h.Name] += rate * k.WorkMs / 1000 * h.factor(k.Name)
				all = append(all, flow{k.Name, h.Name, rate, h.Zone != zone})
			}
		}
	}
	return load, all
}

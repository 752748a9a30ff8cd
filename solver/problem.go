// Package solver finds the weights and the shares let in that earn most under the hosts' capacities, and tells how
// far a table is from them. It decides no table: the design's mechanism does. It does no I/O.
//
// The problem is a linear programme. For class c, proxies of zone z and group g of hosts alike, y[c,z,g] is the
// part of the demand D[c,z] that goes to g:
//
//	maximise   whole x sum(e[c] D[c,z] y[c,z,g]) / sum(e[c] D[c,z])  +  worst x t
//	           - cross x sum(D[c,z] y[c,z,g], z not the zone of g) / sum(D[c,z])
//	subject to sum over g of y[c,z,g] <= 1                     each demand is served once
//	           sum over c, z of w[c,g] D[c,z] y[c,z,g] <= C[g]   each group works within its cap
//	           t <= sum over z, g of D y / sum over z of D       t is the share of the worst class
//	           sum over z, g of D y >= least[c] x sum of D       stated least shares
//	with a price of connections: less that x proxies[z] x hosts of g, for each z and g with any y above 0
//	with doubt: less the loss L of Gamma hosts at their least, L = Gamma theta + sum n[g] pi[g], with
//	           load of a host of g - theta - pi[g] <= its least capacity
//
// with e the earnings, w the work of a transaction at the group, C the group's cap by Cap. The dual value of a
// group's cap is what a further core there would earn, as long as the same bounds bind.
package solver

import (
	"fmt"
	"math"
	"sort"
)

// Class of transactions: earnings of one, its mean work (ms on a core of speed 1), the least share to be let in.
type Class struct {
	Name              string  `json:"Name"`
	Earnings          float64 `json:"Earnings"`
	WorkMs            float64 `json:"Work"`
	MinAdmissionRatio float64 `json:"Least"`
	ZoneLocal         bool    `json:"Local"` // only hosts of the proxy's own zone may take it
}

// Host with what it can do. Work that it is given takes Work / Speed ms on one of its cores.
type Host struct {
	Name           string             `json:"Name"`
	Zone           string             `json:"Zone"`
	Kind           string             `json:"Kind"`
	Cores          float64            `json:"Cores"`
	Speed          float64            `json:"Speed"`
	WarmFraction   float64            `json:"Warm"`     // the part of its capacity that it has now, 0 to 1
	WarmUpMs       float64            `json:"WarmIn"`   // ms until it has all of it, growing evenly; 0: it stays as it is
	Draining       bool               `json:"Draining"` // takes nothing new
	MaxUtilization float64            `json:"Most"`     // of its capacity that may be used, 0 to 1; 0: all that the cap leaves
	WorkFactor     map[string]float64 `json:"Factor"`   // by class: its work here against that at other hosts of the speed; absent: 1
}

// factor is what a class's work is here against that at other hosts of the speed.
func (h Host) factor(class string) float64 {
	if f, ok := h.WorkFactor[class]; ok {
		return f
	}
	return 1
}

// Prices and weights of the goal, as parts of the result.
type Objective struct {
	TotalWeight      float64 `json:"Whole"`
	WorstClassWeight float64 `json:"WorstClass"`
	CrossZoneCost    float64 `json:"Cross"`   // of each transaction that crosses zones once
	ConnectionCost   float64 `json:"Connect"` // of each connection that a proxy keeps to a host
	UpdateCost       float64 `json:"Order"`   // of each message that gives a proxy another table
}

// Problem is a fleet with its demand, in transactions a second by class and zone of the proxies.
type Problem struct {
	Classes   []Class                       `json:"Classes"`
	Zones     []string                      `json:"Zones"`
	Hosts     []Host                        `json:"Hosts"`
	Demand    map[string]map[string]float64 `json:"Demand"`
	Proxies   map[string]int                `json:"Proxies"` // by zone; for the prices of connections and orders
	Objective Objective                     `json:"Goal"`
	// DeadlineMeans d of the cap in ms, as a multiple of the mean time a transaction takes; 0: no margin below capacity.
	// The module starts at 3.2 (docs/design.md).
	DeadlineMeans float64     `json:"Deadline"`
	Uncertainty   Uncertainty `json:"Doubt"`
}

// Uncertainty says how wrong the stated capacities may be: each host's lies between (1 - Spread) of it and all of it, and
// at most Worst hosts are at their least at once. What those cannot do of their load is lost, at the mean earnings
// of work (after Bertsimas and Sim, "The Price of Robustness", 2004, with the loss in the objective).
type Uncertainty struct {
	Spread        float64 `json:"Spread"`
	DegradedHosts int     `json:"Worst"`
}

// epsilon is the part of the transactions that may miss the deadline, as in package decide.
const epsilon = 0.05

// DeadlineCapacity is the load, in transactions a second, up to which a server of rate mu meets the deadline d (ms) for all but
// a part epsilon of them: mu - K, K = |ln epsilon / d|, and half of mu at least ("Deadline Guaranteed Service for
// Multi-Tenant Cloud Storage", section 3, with the floor of the project's design).
func DeadlineCapacity(mu, d float64) float64 {
	if d <= 0 {
		return mu
	}
	return math.Max(mu-math.Abs(math.Log(epsilon))/d*1000, mu/2)
}

// group is hosts alike: of one zone, with the same factors. Their capacity counts as one, and what they are given
// is shared by capacity, so none is over its cap unless the group is.
type group struct {
	zone   int
	key    string    // names it in any problem
	factor []float64 // by class
	cap    float64   // work ms a ms
	hosts  []int
	caps   []float64
}

// FieldError names what is wrong with a problem.
type FieldError struct{ Field, Reason string }

func (f *FieldError) Error() string { return f.Field + ": " + f.Reason }

func (p *Problem) check() error {
	if len(p.Classes) == 0 || len(p.Zones) == 0 {
		return &FieldError{"classes, zones", "at least one of each is needed"}
	}
	zones, classes := map[string]bool{}, map[string]bool{}
	for _, z := range p.Zones {
		zones[z] = true
	}
	for i, c := range p.Classes {
		if classes[c.Name] || c.Name == "" {
			return &FieldError{fmt.Sprintf("classes[%d].name", i), "it is empty or stands there twice"}
		}
		classes[c.Name] = true
		if !(c.WorkMs > 0) || math.IsInf(c.WorkMs, 0) || !(c.Earnings >= 0) || math.IsInf(c.Earnings, 0) || !(c.MinAdmissionRatio >= 0 && c.MinAdmissionRatio <= 1) {
			return &FieldError{"classes[" + c.Name + "]", "work above 0, earnings from 0 and a least share from 0 to 1 are needed"}
		}
	}
	for i, h := range p.Hosts {
		if !zones[h.Zone] {
			return &FieldError{fmt.Sprintf("hosts[%d].zone", i), fmt.Sprintf("%q is not among the zones", h.Zone)}
		}
		for _, x := range []float64{h.Cores, h.Speed, h.WarmFraction, h.MaxUtilization, h.WarmUpMs} {
			if !(x >= 0) || math.IsInf(x, 0) {
				return &FieldError{fmt.Sprintf("hosts[%d]", i), h.Name + " has a figure below 0, or none"}
			}
		}
		for class, f := range h.WorkFactor {
			if !classes[class] || !(f > 0) || math.IsInf(f, 0) {
				return &FieldError{fmt.Sprintf("hosts[%d].factor", i), fmt.Sprintf("class %q with factor %g", class, f)}
			}
		}
	}
	if !(p.Uncertainty.Spread >= 0 && p.Uncertainty.Spread <= 1) || p.Uncertainty.DegradedHosts < 0 {
		return &FieldError{"doubt", "a spread from 0 to 1 and a number of hosts are needed"}
	}
	for zone, n := range p.Proxies {
		if !zones[zone] || n < 0 {
			return &FieldError{"proxies", fmt.Sprintf("%d in zone %q", n, zone)}
		}
	}
	if g := p.Objective; !(g.ConnectionCost >= 0) || math.IsInf(g.ConnectionCost, 0) || !(g.UpdateCost >= 0) || math.IsInf(g.UpdateCost, 0) {
		return &FieldError{"goal", "prices from 0 are needed"}
	}
	for class, by := range p.Demand {
		for zone, d := range by {
			if !classes[class] || !zones[zone] || !(d >= 0) || math.IsInf(d, 0) {
				return &FieldError{"demand", fmt.Sprintf("%g of class %q in zone %q", d, class, zone)}
			}
		}
	}
	return nil
}

func (p *Problem) demand(c, z int) float64 { return p.Demand[p.Classes[c].Name][p.Zones[z]] }

// classDemand of all zones together.
func (p *Problem) classDemand(c int) (d float64) {
	for z := range p.Zones {
		d += p.demand(c, z)
	}
	return d
}

// meanWork of a transaction, by demand.
func (p *Problem) meanWork() float64 {
	work, n := 0.0, 0.0
	for c, k := range p.Classes {
		for z := range p.Zones {
			work, n = work+p.demand(c, z)*k.WorkMs, n+p.demand(c, z)
		}
	}
	if n == 0 {
		return p.Classes[0].WorkMs
	}
	return work / n
}

// HostCapacity is the work, in ms a ms, that a host may be given: its cap mu - K in transactions of mean work, by what of
// its capacity it has now, within its stated bound.
func (p *Problem) HostCapacity(h Host) float64 {
	if h.Draining || h.Cores <= 0 || h.Speed <= 0 || h.WarmFraction <= 0 {
		return 0
	}
	mean := p.meanWork()
	full := h.Cores * h.Speed * math.Min(h.WarmFraction, 1)
	mu := full / mean * 1000
	load := DeadlineCapacity(mu, p.DeadlineMeans*mean/h.Speed) / 1000 * mean
	if h.MaxUtilization > 0 {
		load = math.Min(load, h.MaxUtilization*full)
	}
	return load
}

// groups puts hosts alike together, in an order that depends on nothing but the hosts.
func (p *Problem) groups() []group {
	by, zone := map[string]int{}, map[string]int{}
	for i, z := range p.Zones {
		zone[z] = i
	}
	var all []group
	for i, h := range p.Hosts {
		load := p.HostCapacity(h)
		if load <= 0 {
			continue
		}
		g := group{zone: zone[h.Zone], factor: make([]float64, len(p.Classes))}
		key := h.Zone
		for c, k := range p.Classes {
			g.factor[c] = h.factor(k.Name)
			key += fmt.Sprintf("/%g", g.factor[c])
		}
		if p.Objective.ConnectionCost > 0 && len(p.Hosts) <= connectsSingly {
			key += "/" + h.Name // which hosts are connected to is a question then
		}
		at, ok := by[key]
		if !ok {
			at = len(all)
			by[key], g.key = at, key
			all = append(all, g)
		}
		all[at].cap += load
		all[at].hosts, all[at].caps = append(all[at].hosts, i), append(all[at].caps, load)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].zone < all[j].zone })
	return all
}

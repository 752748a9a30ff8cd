// Package solver computes the weights and admission ratios that maximise an objective within the capacity of the
// hosts, and measures how far given routing tables are from that optimum. It doesn't decide which tables are
// published: the balancer does. It does no I/O.
//
// The problem is a linear program. For request class c, proxies of zone z and group g of equal hosts, the variable
// y[c,z,g] is the fraction of the demand D[c,z] that is sent to g:
//
//	maximise   TotalWeight x sum(e[c] D[c,z] y[c,z,g]) / sum(e[c] D[c,z])  +  WorstClassWeight x t
//	           - CrossZoneCost x sum(D[c,z] y[c,z,g], z not the zone of g) / sum(D[c,z])
//	subject to sum over g of y[c,z,g] <= 1                     each request is served once
//	           sum over c, z of w[c,g] D[c,z] y[c,z,g] <= C[g]   each group stays within its capacity
//	           t <= sum over z, g of D y / sum over z of D       t is the admission ratio of the worst class
//	           sum over z, g of D y >= min[c] x sum of D         minimum admission ratios
//	with a cost of connections: minus the cost x proxies[z] x hosts of g, for each z and g with any y above 0
//	with uncertain capacities: minus the loss L if Gamma hosts have their lowest capacity,
//	           L = Gamma theta + sum n[g] pi[g], with load of a host of g - theta - pi[g] <= its lowest capacity
//
// with e the earnings of a request, w its work at a host of the group, and C the sum of the group's HostCapacity. The
// dual price of a group's capacity row is what a further core there would earn, as long as the same constraints bind.
package solver

import (
	"fmt"
	"math"
	"sort"
)

const msPerSecond = 1000

// Class is a request class.
type Class struct {
	Name              string  `json:"Name"`
	Earnings          float64 `json:"Earnings"` // of one request
	WorkMs            float64 `json:"Work"`     // mean work of a request, on a core of speed 1
	MinAdmissionRatio float64 `json:"Least"`    // from 0 to 1
	ZoneLocal         bool    `json:"Local"`    // only hosts in the proxy's own zone may serve it
}

// Host is a host with its capacity. A request takes its work / Speed on one of the host's cores.
type Host struct {
	Name           string  `json:"Name"`
	Zone           string  `json:"Zone"`
	Kind           string  `json:"Kind"`
	Cores          float64 `json:"Cores"`
	Speed          float64 `json:"Speed"`
	WarmFraction   float64 `json:"Warm"`     // of its full capacity that it has now, from 0 to 1
	WarmUpMs       float64 `json:"WarmIn"`   // time to full capacity, with linear growth; 0: WarmFraction doesn't change
	Draining       bool    `json:"Draining"` // gets no requests
	MaxUtilization float64 `json:"Most"`     // of its present capacity, from 0 to 1; 0: no further limit
	// WorkFactor is, by class, the work of a request on this host relative to other hosts of the same speed. The
	// factor of a class that is not listed is 1.
	WorkFactor map[string]float64 `json:"Factor"`
}

// workFactor returns the host's work factor of a class.
func (h Host) workFactor(class string) float64 {
	if factor, ok := h.WorkFactor[class]; ok {
		return factor
	}
	return 1
}

// Objective has the weights and costs of the objective. Costs are in units of the objective value.
type Objective struct {
	TotalWeight      float64 `json:"Whole"`      // of the earnings, as a fraction of the earnings of all demand
	WorstClassWeight float64 `json:"WorstClass"` // of the lowest admission ratio of a class
	CrossZoneCost    float64 `json:"Cross"`      // if all requests cross zones; in proportion for a part of them
	ConnectionCost   float64 `json:"Connect"`    // of each connection from a proxy to a host
	UpdateCost       float64 `json:"Order"`      // of each update message with new tables for a proxy
}

// Problem is a fleet with its demand, in requests per second by class and zone of the proxies.
type Problem struct {
	Classes   []Class                       `json:"Classes"`
	Zones     []string                      `json:"Zones"`
	Hosts     []Host                        `json:"Hosts"`
	Demand    map[string]map[string]float64 `json:"Demand"`
	Proxies   map[string]int                `json:"Proxies"` // by zone; for the costs of connections and updates
	Objective Objective                     `json:"Goal"`
	// DeadlineMeans is the deadline of a request as a multiple of its mean time on one core. The controller sets 3.2,
	// its deadlineLatencyMultiple. At 0 there is no deadline, and hosts may use their full capacity.
	DeadlineMeans float64     `json:"Deadline"`
	Uncertainty   Uncertainty `json:"Doubt"`
}

// Uncertainty bounds the error of the stated capacities: each lies between (1 - Spread) of the stated value and the
// stated value, and at most DegradedHosts hosts have their lowest capacity at once. The load that those hosts cannot
// serve is lost, valued at the mean earnings of work (after Bertsimas and Sim, "The Price of Robustness", 2004, with
// the loss in the objective).
type Uncertainty struct {
	Spread        float64 `json:"Spread"`
	DegradedHosts int     `json:"Worst"`
}

// missProbability is the fraction of the requests that may miss the deadline, the same as in package routing.
const missProbability = 0.05

// DeadlineCapacity returns the load, in requests per second, up to which a host with service rate mu meets the
// deadline for all but the fraction missProbability of the requests: mu - K with K = |ln missProbability / deadline|,
// and at least half of mu ("Deadline Guaranteed Service for Multi-Tenant Cloud Storage", section 3; the lower limit
// is this project's).
func DeadlineCapacity(mu, deadlineMs float64) float64 {
	if deadlineMs <= 0 {
		return mu
	}
	return math.Max(mu-math.Abs(math.Log(missProbability))/deadlineMs*msPerSecond, mu/2)
}

// group is a group of equal hosts: of the same zone, with the same work factors. The program has one capacity row for
// the whole group. Its load is split in proportion to the hosts' capacities, so no host exceeds its capacity unless
// the group does.
type group struct {
	zone        int
	key         string    // identifies the group across problems
	workFactors []float64 // by class
	capacity    float64   // ms of work per ms
	hosts       []int
	capacities  []float64 // of the hosts
}

// FieldError reports an invalid field of a problem.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// check returns a FieldError if a field is invalid.
func (p *Problem) check() error {
	if len(p.Classes) == 0 || len(p.Zones) == 0 {
		return &FieldError{"classes, zones", "at least one class and one zone are required"}
	}
	zones, classes := map[string]bool{}, map[string]bool{}
	for _, zone := range p.Zones {
		zones[zone] = true
	}
	for i, class := range p.Classes {
		if classes[class.Name] || class.Name == "" {
			return &FieldError{fmt.Sprintf("classes[%d].name", i), "the name is empty or a duplicate"}
		}
		classes[class.Name] = true
		if !(class.WorkMs > 0) || math.IsInf(class.WorkMs, 0) || !(class.Earnings >= 0) ||
			math.IsInf(class.Earnings, 0) || !(class.MinAdmissionRatio >= 0 && class.MinAdmissionRatio <= 1) {
			return &FieldError{"classes[" + class.Name + "]",
				"work must be positive, earnings not negative, and the minimum admission ratio from 0 to 1"}
		}
	}
	for i, host := range p.Hosts {
		if !zones[host.Zone] {
			return &FieldError{fmt.Sprintf("hosts[%d].zone", i), fmt.Sprintf("zone %q is unknown", host.Zone)}
		}
		for _, value := range []float64{
			host.Cores, host.Speed, host.WarmFraction, host.MaxUtilization, host.WarmUpMs,
		} {
			if !(value >= 0) || math.IsInf(value, 0) {
				return &FieldError{fmt.Sprintf("hosts[%d]", i), fmt.Sprintf(
					"a value of host %s is %g; values must be finite and not negative", host.Name, value)}
			}
		}
		for class, factor := range host.WorkFactor {
			if !classes[class] || !(factor > 0) || math.IsInf(factor, 0) {
				return &FieldError{fmt.Sprintf("hosts[%d].factor", i), fmt.Sprintf(
					"factor %g of class %q: the class must be known, and the factor finite and positive", factor, class)}
			}
		}
	}
	if !(p.Uncertainty.Spread >= 0 && p.Uncertainty.Spread <= 1) || p.Uncertainty.DegradedHosts < 0 {
		return &FieldError{"doubt", "the spread must be from 0 to 1, and the number of degraded hosts not negative"}
	}
	for zone, count := range p.Proxies {
		if !zones[zone] || count < 0 {
			return &FieldError{"proxies", fmt.Sprintf(
				"%d in zone %q: the zone must be known, and the number not negative", count, zone)}
		}
	}
	if objective := p.Objective; !(objective.ConnectionCost >= 0) || math.IsInf(objective.ConnectionCost, 0) ||
		!(objective.UpdateCost >= 0) || math.IsInf(objective.UpdateCost, 0) {
		return &FieldError{"goal", "the costs of connections and updates must be finite and not negative"}
	}
	for class, byZone := range p.Demand {
		for zone, rate := range byZone {
			if !classes[class] || !zones[zone] || !(rate >= 0) || math.IsInf(rate, 0) {
				return &FieldError{"demand", fmt.Sprintf(
					"rate %g of class %q in zone %q: class and zone must be known, and the rate finite and not negative",
					rate, class, zone)}
			}
		}
	}
	return nil
}

func (p *Problem) demand(class, zone int) float64 {
	return p.Demand[p.Classes[class].Name][p.Zones[zone]]
}

// classDemand returns the demand of a class in all zones.
func (p *Problem) classDemand(class int) (rate float64) {
	for zone := range p.Zones {
		rate += p.demand(class, zone)
	}
	return rate
}

// meanWorkMs returns the mean work of a request of the demand.
func (p *Problem) meanWorkMs() float64 {
	work, requests := 0.0, 0.0
	for c, class := range p.Classes {
		for z := range p.Zones {
			work, requests = work+p.demand(c, z)*class.WorkMs, requests+p.demand(c, z)
		}
	}
	if requests == 0 {
		return p.Classes[0].WorkMs
	}
	return work / requests
}

// HostCapacity returns the load that a host may get, in ms of work per ms: the deadline-guaranteed capacity of its
// present capacity for requests of mean work, limited by its MaxUtilization.
func (p *Problem) HostCapacity(host Host) float64 {
	if host.Draining || host.Cores <= 0 || host.Speed <= 0 || host.WarmFraction <= 0 {
		return 0
	}
	meanWorkMs := p.meanWorkMs()
	present := host.Cores * host.Speed * math.Min(host.WarmFraction, 1)
	mu := present / meanWorkMs * msPerSecond
	capacity := DeadlineCapacity(mu, p.DeadlineMeans*meanWorkMs/host.Speed) / msPerSecond * meanWorkMs
	if host.MaxUtilization > 0 {
		capacity = math.Min(capacity, host.MaxUtilization*present)
	}
	return capacity
}

// groups returns the hosts with any capacity in groups of equal ones, in an order that depends only on the hosts.
func (p *Problem) groups() []group {
	indexOf, zoneIndex := map[string]int{}, map[string]int{}
	for i, zone := range p.Zones {
		zoneIndex[zone] = i
	}
	var groups []group
	for i, host := range p.Hosts {
		capacity := p.HostCapacity(host)
		if capacity <= 0 {
			continue
		}
		created := group{zone: zoneIndex[host.Zone], workFactors: make([]float64, len(p.Classes))}
		key := host.Zone
		for c, class := range p.Classes {
			created.workFactors[c] = host.workFactor(class.Name)
			key += fmt.Sprintf("/%g", created.workFactors[c])
		}
		if p.Objective.ConnectionCost > 0 && len(p.Hosts) <= maxSeparateHosts {
			key += "/" + host.Name // the solver decides for each host whether to connect to it
		}
		index, known := indexOf[key]
		if !known {
			index = len(groups)
			indexOf[key], created.key = index, key
			groups = append(groups, created)
		}
		groups[index].capacity += capacity
		groups[index].hosts = append(groups[index].hosts, i)
		groups[index].capacities = append(groups[index].capacities, capacity)
	}
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].zone < groups[j].zone })
	return groups
}

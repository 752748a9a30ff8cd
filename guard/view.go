package guard

import "math"

// fullyWarm is the slow-start factor of a host that has all of its capacity.
const fullyWarm = 1

// Host is the current state of a host.
type Host struct {
	Name            string
	Zone            string
	Ready           bool    // on the endpoint list, and neither draining nor ejected
	SlowStartFactor float64 // fraction of its capacity that the host has while warming up, 0 to 1
	Capacity        float64 // work in ms per ms that it may be given when warm; 0: unknown
	SlowStartLimit  float64 // work in ms per ms that overloads it while warming up; 0: unknown
}

// isWarm reports whether the host has all of its capacity.
func (h *Host) isWarm() bool { return h.SlowStartFactor >= fullyWarm }

// isWarmingUp reports whether the host is in its slow start.
func (h *Host) isWarmingUp() bool { return h.SlowStartFactor < fullyWarm }

// Demand is the work that the requests of one class cause at the proxies of one zone.
type Demand struct {
	Class, Zone string
	ZoneLocal   bool    // only hosts of the zone may take it
	Work        float64 // ms of work per ms, over all proxies of the zone
}

// String names the demand in findings. It is part of the HTTP API.
func (d Demand) String() string { return d.Class + " in " + d.Zone }

// allows reports whether a host may take the demand.
func (d *Demand) allows(host *Host) bool { return host.Ready && (!d.ZoneLocal || host.Zone == d.Zone) }

// Route is a routing table: the weights by which some proxies choose a host. Its rows of weights are indexed like the
// view's hosts, with 0 for a host that has no weight entry.
type Route struct {
	Demands   []Demand  // at least one
	Published []float64 // weights as published; nil: none yet
	Decided   []float64 // weights as decided, to be published next
	ReadOnly  bool      // checked and counted in the loads, but not repaired
}

// totalWork returns the work of all demands, in ms per ms.
func (r *Route) totalWork() (work float64) {
	for i := range r.Demands {
		work += r.Demands[i].Work
	}
	return work
}

// View is the input of the validator: the hosts, and the routes that send work to them.
type View struct {
	Hosts  []Host
	Routes []Route
}

// readyWeight returns the sum of a row's valid weights, over the hosts that are ready.
func (v *View) readyWeight(row []float64) (sum float64) {
	for i, weight := range row {
		if v.Hosts[i].Ready && isValidWeight(weight) {
			sum += weight
		}
	}
	return sum
}

// isValidWeight reports whether a weight is finite and at least 0.
func isValidWeight(weight float64) bool { return weight >= 0 && weight <= math.MaxFloat64 }

// isPositiveWeight reports whether a weight is valid and gives its host traffic.
func isPositiveWeight(weight float64) bool { return weight > 0 && weight <= math.MaxFloat64 }

// Limits are the limits of the checks.
type Limits struct {
	// CapacityMultiple is the multiple of its capacity that a host may be given, where all hosts together can take the
	// demand; 0: loads are not checked.
	CapacityMultiple float64
	// MaxTrafficShift is the fraction of a route's traffic that one update may move, not counting the traffic of hosts
	// that are not ready; 0: any.
	MaxTrafficShift float64
	// SurviveZoneLoss checks the loads also without the zone that carries the most load.
	SurviveZoneLoss bool
}

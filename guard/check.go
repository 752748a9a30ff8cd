package guard

import (
	"cmp"
	"math"
	"slices"
)

// shiftTolerance is the rounding error, as a fraction of a route's traffic, by which a shift may exceed its limit.
const shiftTolerance = 1e-9

// Check returns the findings on the decided weights, sorted by check and then by subject. It returns none if they are
// valid.
func Check(view *View, limits Limits) []Finding {
	c := newChecker(view, limits)
	for i := range view.Routes {
		c.checkWeights(&view.Routes[i])
		c.checkDemands(&view.Routes[i])
	}
	if limits.CapacityMultiple > 0 {
		c.checkLoads()
	}
	if limits.MaxTrafficShift > 0 {
		c.checkShifts()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Check, b.Check), cmp.Compare(a.Subject, b.Subject))
	})
	return c.findings
}

// checker runs the checks on one view.
type checker struct {
	view     *View
	limits   Limits
	zoneOf   []zoneNumber // by host
	zones    []string     // names, by zone number
	findings []Finding
}

// zoneNumber numbers the zones of the hosts that are ready, in the order of the hosts.
type zoneNumber int32

const (
	// noZone means that no zone is lost.
	noZone zoneNumber = -1
	// zoneNotReady replaces the zone of a host that is not ready.
	zoneNotReady zoneNumber = -2
)

// newChecker returns a checker. It numbers the zones, since the checks visit all hosts several times, and numbers in
// one slice are faster to compare than the hosts' strings.
func newChecker(view *View, limits Limits) *checker {
	c := &checker{view: view, limits: limits, zoneOf: make([]zoneNumber, len(view.Hosts))}
	zone := 0
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if !host.Ready {
			c.zoneOf[i] = zoneNotReady
			continue
		}
		sameAsBefore := zone < len(c.zones) && c.zones[zone] == host.Zone
		if !sameAsBefore {
			zone = c.zoneIndex(host.Zone)
		}
		c.zoneOf[i] = zoneNumber(zone)
	}
	return c
}

// zoneIndex returns the index of a zone's name, which it adds if it is new.
func (c *checker) zoneIndex(name string) int {
	index := slices.Index(c.zones, name)
	if index >= 0 {
		return index
	}
	c.zones = append(c.zones, name)
	return len(c.zones) - 1
}

func (c *checker) addFinding(check, subject string, value, limit float64) {
	c.findings = append(c.findings, Finding{Check: check, Subject: subject, Value: value, Limit: limit})
}

// checkWeights reports weights that are negative, infinite or NaN.
func (c *checker) checkWeights(route *Route) {
	for i, weight := range route.Decided {
		if !isValidWeight(weight) {
			c.addFinding(InvalidWeight, route.Demands[0].String()+" at "+c.view.Hosts[i].Name, weight, 0)
		}
	}
}

// checkDemands reports demands that no host with weight may take, although a warm host may. The finding's limit is
// the number of such warm hosts.
func (c *checker) checkDemands(route *Route) {
	for i := range route.Demands {
		demand := &route.Demands[i]
		if c.view.hasHostFor(route, demand) {
			continue
		}
		candidates := len(c.view.warmHostsFor(demand))
		if candidates > 0 {
			c.addFinding(NoHost, demand.String(), 0, float64(candidates))
		}
	}
}

// hasHostFor reports whether the route gives weight to a host that may take the demand.
func (v *View) hasHostFor(route *Route, demand *Demand) bool {
	for i, weight := range route.Decided {
		if isPositiveWeight(weight) && demand.allows(&v.Hosts[i]) {
			return true
		}
	}
	return false
}

// warmHostsFor returns the indices of the warm hosts that may take the demand.
func (v *View) warmHostsFor(demand *Demand) (indices []int) {
	for i := range v.Hosts {
		host := &v.Hosts[i]
		if demand.allows(host) && host.isWarm() {
			indices = append(indices, i)
		}
	}
	return indices
}

// checkLoads reports hosts that are given too much load, in the current state and, if the limits ask for it, without
// the zone that carries the most load.
func (c *checker) checkLoads() {
	loads := c.hostLoads(noZone)
	c.checkCapacity(OverCapacity, loads, noZone)
	c.checkSlowStart(loads)
	if !c.limits.SurviveZoneLoss {
		return
	}
	lost := c.heaviestZone(loads)
	if lost != noZone {
		c.checkCapacity(OverCapacityWithoutZone, c.hostLoads(lost), lost)
	}
}

// checkCapacity reports hosts whose load exceeds their capacity after the loss of a zone. The hosts of that zone then
// have no load.
func (c *checker) checkCapacity(check string, loads []float64, lost zoneNumber) {
	multiple := c.capacityMultiple(lost)
	for i, load := range loads {
		limit := c.view.Hosts[i].Capacity * multiple
		if limit > 0 && load > limit {
			c.addFinding(check, c.view.Hosts[i].Name, load, limit)
		}
	}
}

// checkSlowStart reports hosts that are warming up and whose load would overload them.
func (c *checker) checkSlowStart(loads []float64) {
	for i := range c.view.Hosts {
		host := &c.view.Hosts[i]
		if host.isWarmingUp() && host.SlowStartLimit > 0 && loads[i] > host.SlowStartLimit {
			c.addFinding(OverSlowStartBudget, host.Name, loads[i], host.SlowStartLimit)
		}
	}
}

// checkShifts reports routes with too large a traffic shift in one update.
func (c *checker) checkShifts() {
	for i := range c.view.Routes {
		route := &c.view.Routes[i]
		if route.Published == nil {
			continue
		}
		shift := c.trafficShift(route)
		if shift > c.limits.MaxTrafficShift+shiftTolerance {
			c.addFinding(TrafficJump, route.Demands[0].String(), shift, c.limits.MaxTrafficShift)
		}
	}
}

// trafficShift returns the fraction of a route's traffic that publishing the decided weights moves: half the distance
// between the hosts' shares before and after, over the hosts that are ready.
func (c *checker) trafficShift(route *Route) float64 {
	publishedSum := c.view.readyWeight(route.Published)
	decidedSum := c.view.readyWeight(route.Decided)
	if publishedSum <= 0 || decidedSum <= 0 {
		return 0
	}
	distance := 0.0
	for i, zone := range c.zoneOf {
		if zone == zoneNotReady {
			continue
		}
		published := validOrZero(route.Published[i])
		decided := validOrZero(route.Decided[i])
		distance += math.Abs(decided/decidedSum - published/publishedSum)
	}
	return distance / 2
}

// validOrZero returns the weight, or 0 if it is invalid.
func validOrZero(weight float64) float64 {
	if !isValidWeight(weight) {
		return 0
	}
	return weight
}

package guard

import "math"

// overloadSlack is the multiple of its fair share, by capacity, that a host may be given where all hosts together
// cannot take the demand.
const overloadSlack = 1.1

// hostLoads returns the work in ms per ms that the decided weights give to each host, where the traffic of hosts that
// are not ready and of those in the lost zone goes to the others.
func (c *checker) hostLoads(lost zoneNumber) []float64 {
	loads := make([]float64, len(c.zoneOf))
	for i := range c.view.Routes {
		c.addRouteLoads(loads, &c.view.Routes[i], lost)
	}
	return loads
}

// addRouteLoads adds the work in ms per ms that a route gives to each host.
func (c *checker) addRouteLoads(loads []float64, route *Route, lost zoneNumber) {
	weightSum := 0.0
	for i, weight := range route.Decided {
		if isPositiveWeight(weight) && c.isAvailable(i, lost) {
			weightSum += weight
		}
	}
	if weightSum <= 0 {
		return
	}
	workPerWeight := route.totalWork() / weightSum
	for i, weight := range route.Decided {
		if isPositiveWeight(weight) && c.isAvailable(i, lost) {
			loads[i] += weight * workPerWeight
		}
	}
}

// isAvailable reports whether a host is ready and outside the lost zone.
func (c *checker) isAvailable(host int, lost zoneNumber) bool {
	zone := c.zoneOf[host]
	return zone != zoneNotReady && zone != lost
}

// capacityMultiple returns the multiple of its capacity that a host may be given once a zone is lost: the configured
// one, or overloadSlack times its fair share where the remaining hosts cannot take the demand. In that case some
// hosts are overloaded for any weights, and load must be shed, but no host needs to be far above the others.
func (c *checker) capacityMultiple(lost zoneNumber) float64 {
	demand := 0.0
	for i := range c.view.Routes {
		demand += c.view.Routes[i].totalWork()
	}
	capacity := 0.0
	for i := range c.zoneOf {
		if c.isAvailable(i, lost) {
			capacity += c.view.Hosts[i].Capacity * c.view.Hosts[i].SlowStartFactor
		}
	}
	if capacity <= 0 {
		return math.Inf(1)
	}
	return math.Max(c.limits.CapacityMultiple, overloadSlack*demand/capacity)
}

// heaviestZone returns the zone whose hosts carry the most load, of equal ones the first by name, or noZone if there
// is no load.
func (c *checker) heaviestZone(loads []float64) zoneNumber {
	loadByZone := make([]float64, len(c.zones))
	for i, zone := range c.zoneOf {
		if zone != zoneNotReady {
			loadByZone[zone] += loads[i]
		}
	}
	isHeavier := func(a, b zoneNumber) bool {
		if loadByZone[a] != loadByZone[b] {
			return loadByZone[a] > loadByZone[b]
		}
		return c.zones[a] < c.zones[b]
	}
	heaviest := noZone
	for index, load := range loadByZone {
		zone := zoneNumber(index)
		if load > 0 && (heaviest == noZone || isHeavier(zone, heaviest)) {
			heaviest = zone
		}
	}
	return heaviest
}

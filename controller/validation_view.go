package controller

import (
	"maps"
	"math"
	"slices"

	"barleysail/guard"
)

// demandSumIntervalMs is the interval at which the demand for the routes is summed again, unless a proxy is assigned
// another table before.
const demandSumIntervalMs = 1000.0

// observeValidatedHost updates a host of the validator by its entry on the endpoint list.
func (c *Controller) observeValidatedHost(index int, endpoint Endpoint) {
	validation := &c.validation
	for len(validation.hosts) <= index {
		validation.hosts = append(validation.hosts, guard.Host{})
	}
	validation.hosts[index] = guard.Host{
		Name:     endpoint.Host,
		Zone:     endpoint.Zone,
		Capacity: endpoint.Cores * endpoint.speed(),
	}
	validation.hostsChanged = true
}

// refreshValidatedHosts updates the hosts of the validator by their status in the balancer, and returns them.
func (c *Controller) refreshValidatedHosts() []guard.Host {
	validation := &c.validation
	for index := range validation.hosts {
		host := &validation.hosts[index]
		host.Ready, host.SlowStartFactor = c.balancer.HostStatus(index)
		if host.Ready {
			host.SlowStartLimit = c.safety.CollapseMultiple * host.SlowStartFactor * host.Capacity
		}
	}
	validation.hostsChanged = false
	return validation.hosts
}

// validationView returns the input of the table validator: first a route for each shared table, by number; then one for
// each zone whose proxies use subset tables, with the sum of these tables; and one for each subset table without a
// ready host. sharedTables holds the numbers of the shared tables, in the order of their routes.
func (c *Controller) validationView() (view *guard.View, sharedTables []int) {
	validation := &c.validation
	view = &guard.View{Hosts: c.refreshValidatedHosts()}
	if len(view.Hosts) == 0 {
		return view, nil
	}
	sumExpired := c.nowMs >= validation.demandSummedMs+demandSumIntervalMs
	if validation.hasSubsetTables || len(c.tables.reassigned) > 0 || sumExpired {
		validation.demandSummedMs = c.nowMs
		c.sumRoutes(view.Hosts)
	}
	view.Routes = slices.Clone(validation.routes)
	lastHost := len(view.Hosts) - 1
	for i, number := range validation.sharedTables {
		table := c.tables.table(number)
		table.setDecided(lastHost, table.weights[lastHost]) // extends the slice to all hosts
		if table.published != nil {
			table.published = padWeights(table.published, len(view.Hosts))
		}
		view.Routes[i].Published = table.published
		view.Routes[i].Decided = table.decided
	}
	return view, validation.sharedTables
}

// routeSums sums the demand for the routes. The first route numbers are those of the shared tables, followed by one
// route for the subset tables of each zone.
type routeSums struct {
	zones, classes int
	demand         [][]float64   // by route, then by zone and class as in demandIndex; nil: no proxy uses the route
	subsetWeights  [][]float64   // by zone, then by host: subset tables weighted by their proxies' rates
	emptySubsets   []guard.Route // subset tables without a ready host
}

// noDemand marks a zone and class whose proxies do not use a route.
var noDemand = math.Inf(-1)

func newRouteSums(zones, classes int) *routeSums {
	sharedTables := zones + 1
	return &routeSums{
		zones:         zones,
		classes:       classes,
		demand:        make([][]float64, sharedTables+zones),
		subsetWeights: make([][]float64, zones),
	}
}

// routeOf returns the number of the route of a table that a proxy of a zone uses.
func (s *routeSums) routeOf(table, zone int) int {
	if table > s.zones {
		return s.zones + 1 + zone
	}
	return table
}

func (s *routeSums) demandIndex(zone, class int) int { return zone*s.classes + class }

// addDemand adds work, in ms of work per ms, to the demand for a route.
func (s *routeSums) addDemand(route, zone, class int, work float64) {
	if s.demand[route] == nil {
		s.demand[route] = make([]float64, s.zones*s.classes)
		for i := range s.demand[route] {
			s.demand[route][i] = noDemand
		}
	}
	total := &s.demand[route][s.demandIndex(zone, class)]
	*total = math.Max(*total, 0) + work
}

// sumRoutes sums the demand of the proxies for each table, and builds the routes from the sums.
func (c *Controller) sumRoutes(hosts []guard.Host) {
	sums := newRouteSums(len(c.deployment.Zones), len(c.classes))
	share := c.connectedShare()
	c.validation.hasSubsetTables = false
	for _, session := range c.sessions.byIndex {
		if session == nil || session.tableByClass[0] == noTable {
			continue
		}
		c.sumDemand(sums, session, share)
		if number, ok := c.subsetTableOf(session); ok {
			c.validation.hasSubsetTables = true
			c.sumSubsetTable(sums, hosts, session, number)
		}
	}
	c.makeRoutes(sums)
}

// sumDemand adds the demand at a proxy, scaled to the whole fleet by the ratio of the proxies that are connected.
func (c *Controller) sumDemand(sums *routeSums, session *proxySession, share float64) {
	for class, number := range session.tableByClass {
		if number == noTable {
			continue
		}
		work := session.requestRates[class] / share * c.classes[class].MeanWorkMs / msPerSecond
		sums.addDemand(sums.routeOf(number, session.zone), session.zone, class, work)
	}
}

// subsetTableOf returns the number of the subset table that a proxy uses, for all classes or for some.
func (c *Controller) subsetTableOf(session *proxySession) (number int, ok bool) {
	for _, number := range session.tableByClass {
		if number != noTable && !c.isShared(number) {
			return number, true
		}
	}
	return noTable, false
}

// sumSubsetTable adds the subset table of a proxy to those of its zone, in proportion to the proxy's request rate.
func (c *Controller) sumSubsetTable(sums *routeSums, hosts []guard.Host, session *proxySession, number int) {
	rate := 0.0
	for _, classRate := range session.requestRates {
		rate += classRate
	}
	rate += minDivisor // a proxy without requests still gets a small weight
	zone := session.zone
	if sums.subsetWeights[zone] == nil {
		sums.subsetWeights[zone] = make([]float64, len(hosts))
	}
	weights := c.tables.table(number).weights
	if !addSubsetTable(sums.subsetWeights[zone], weights, rate, hosts) {
		sums.emptySubsets = append(sums.emptySubsets, guard.Route{
			Demands:  c.unknownDemands(zone),
			Decided:  make([]float64, len(hosts)),
			ReadOnly: true,
		})
	}
}

// addSubsetTable adds the weights of a subset table to a sum by host, scaled to the request rate of its proxy. It
// reports whether one of its hosts is ready.
func addSubsetTable(sum []float64, weights map[int]float64, rate float64, hosts []guard.Host) (hasReady bool) {
	total := 0.0
	for _, host := range slices.Sorted(maps.Keys(weights)) { // the order of a sum affects its rounding
		total += weights[host]
	}
	for host, weight := range weights {
		sum[host] += rate * weight / total
		hasReady = hasReady || hosts[host].Ready
	}
	return hasReady
}

// makeRoutes builds the routes of the tables that proxies use.
func (c *Controller) makeRoutes(sums *routeSums) {
	validation := &c.validation
	validation.routes = nil
	validation.sharedTables = nil
	for number, demand := range sums.demand {
		if demand == nil {
			continue
		}
		route := guard.Route{Demands: c.demands(sums, demand)}
		if c.isShared(number) {
			validation.sharedTables = append(validation.sharedTables, number)
		} else {
			route.ReadOnly = true
			route.Decided = sums.subsetWeights[number-sums.zones-1]
		}
		validation.routes = append(validation.routes, route)
	}
	validation.routes = append(validation.routes, sums.emptySubsets...)
}

// demands returns the zones and classes whose proxies use a route, with their work.
func (c *Controller) demands(sums *routeSums, demand []float64) []guard.Demand {
	var demands []guard.Demand
	for zone := range c.deployment.Zones {
		for class := range c.classes {
			if work := demand[sums.demandIndex(zone, class)]; work >= 0 {
				demands = append(demands, c.demandOf(zone, class, work))
			}
		}
	}
	return demands
}

// unknownDemands returns the demands of all classes of a zone, with work 0 since it is not known.
func (c *Controller) unknownDemands(zone int) []guard.Demand {
	demands := make([]guard.Demand, 0, len(c.classes))
	for class := range c.classes {
		demands = append(demands, c.demandOf(zone, class, 0))
	}
	return demands
}

func (c *Controller) demandOf(zone, class int, work float64) guard.Demand {
	return guard.Demand{
		Class:     c.classes[class].Name,
		Zone:      c.deployment.Zones[zone],
		ZoneLocal: c.classes[class].ZoneLocal,
		Work:      work,
	}
}

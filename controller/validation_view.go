package controller

import (
	"math"
	"slices"

	"barleysail/guard"
)

// observeValidatedHost notes what the list now says of a host.
func (s *Controller) observeValidatedHost(h int, e Endpoint) {
	g := &s.validation
	for len(g.hosts) <= h {
		g.hosts = append(g.hosts, guard.Host{})
	}
	g.hosts[h] = guard.Host{Name: e.Host, Zone: e.Zone, Capacity: e.Cores * e.speed()}
	g.hostsChanged = true
}

// refreshValidatedHosts brings the hosts as the guard sees them up to date.
func (s *Controller) refreshValidatedHosts() []guard.Host {
	g := &s.validation
	for h := range g.hosts {
		x := &g.hosts[h]
		if x.Ready, x.SlowStartFactor = s.balancer.HostStatus(h); x.Ready {
			x.SlowStartLimit = s.collapseMultiple * x.SlowStartFactor * x.Capacity
		}
	}
	g.hostsChanged = false
	return g.hosts
}

// demandSumIntervalMs ms what proxies ask is not summed up anew while none is bound elsewhere.
const demandSumIntervalMs = 1000.0

// validationView is what the guard looks at: a row for each table that proxies share, those first and by their numbers; one
// for each zone whose proxies have tables of their own, all of them together; and one for each of these that names
// nobody who may stay.
func (s *Controller) validationView() (v *guard.View, shared []int) {
	g := &s.validation
	v = &guard.View{Hosts: s.refreshValidatedHosts()}
	if len(v.Hosts) == 0 {
		return v, nil
	}
	if g.hasSubsetTables || len(s.tables.reassigned) > 0 || s.nowMs >= g.demandSummedMs+demandSumIntervalMs {
		g.demandSummedMs = s.nowMs
		s.sumRoutes(v)
	}
	v.Routes = slices.Clone(g.routes)
	for i, number := range g.sharedTables {
		b := s.tables.table(number)
		b.setDecided(len(v.Hosts)-1, b.weights[len(v.Hosts)-1])
		for b.published != nil && len(b.published) < len(v.Hosts) {
			b.published = append(b.published, 0)
		}
		v.Routes[i].Published, v.Routes[i].Decided = b.published, b.decided
	}
	return v, g.sharedTables
}

// sumRoutes sums up what the proxies ask of each table.
func (s *Controller) sumRoutes(v *guard.View) {
	g := &s.validation
	g.routes, g.sharedTables, g.hasSubsetTables = nil, nil, false
	zones, classes := len(s.deployment.Zones), len(s.classes)
	share := s.connectedShare()
	asked := make([][]float64, 2*zones+1) // by table or zone of hands, then zone and class; nil: nobody uses it
	hands := make([][]float64, zones)
	var bare []guard.Route
	for _, m := range s.sessions.byIndex {
		if m == nil || m.tableByClass[0] < 0 {
			continue
		}
		rate := 0.0
		for k, number := range m.tableByClass {
			if rate += m.requestRates[k]; number > zones {
				number = zones + 1 + m.zone
			}
			if number < 0 {
				continue
			}
			if asked[number] == nil {
				asked[number] = make([]float64, zones*classes)
				for i := range asked[number] {
					asked[number][i] = math.Inf(-1)
				}
			}
			a := &asked[number][m.zone*classes+k]
			*a = math.Max(*a, 0) + m.requestRates[k]/share*s.classes[k].MeanWorkMs/1000
		}
		if number := m.tableByClass[0]; number > zones {
			if g.hasSubsetTables = true; hands[m.zone] == nil {
				hands[m.zone] = make([]float64, len(v.Hosts))
			}
			if !s.addSubsetTable(v, hands[m.zone], s.tables.table(number), rate+1e-9) {
				r := guard.Route{Demands: s.demands(nil, m.zone, 0), Decided: make([]float64, len(v.Hosts)), ReadOnly: true}
				bare = append(bare, r)
			}
		}
	}
	for number, by := range asked {
		if by == nil {
			continue
		}
		r := guard.Route{ReadOnly: number > zones}
		for z := range zones {
			r.Demands = append(r.Demands, s.demands(by, z, z*classes)...)
		}
		if r.ReadOnly {
			r.Decided = hands[number-zones-1]
		} else {
			g.sharedTables = append(g.sharedTables, number)
		}
		g.routes = append(g.routes, r)
	}
	g.routes = append(g.routes, bare...)
}

// connectedShare is the part of all proxies that have joined here.
func (s *Controller) connectedShare() float64 {
	return math.Max(float64(len(s.sessions.byProxy))/float64(s.deployment.Proxies), 1e-9)
}

// demands are the classes of a zone whose proxies use a row; all of them where it is not told what they ask.
func (s *Controller) demands(asked []float64, zone, from int) (all []guard.Demand) {
	for k, c := range s.classes {
		u := guard.Demand{Class: c.Name, Zone: s.deployment.Zones[zone], ZoneLocal: c.ZoneLocal}
		if asked != nil {
			if u.Work = asked[from+k]; u.Work < 0 {
				continue
			}
		}
		all = append(all, u)
	}
	return all
}

// addSubsetTable adds a table of a proxy's own to those of its zone, by the proxy's rate. It tells whether somebody is in it
// who may stay.
func (s *Controller) addSubsetTable(v *guard.View, to []float64, b *routingTable, rate float64) (able bool) {
	sum := 0.0
	for _, w := range b.weights {
		sum += w
	}
	for h, w := range b.weights {
		to[h] += rate * w / sum
		able = able || v.Hosts[h].Ready
	}
	return able
}

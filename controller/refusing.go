package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/guard"
)

// validationIntervalMs ms the tables are looked at though none changed, since the demand may have; more often while the guard
// refuses, so that what it held back goes on in steps.
const (
	validationIntervalMs = 10000.0
	repairIntervalMs     = 1000.0
	invalidReportDelayMs = 10000.0 // that no sound table was found for so long
)

// validateRound has the guard look at the tables of the present round, and where it refuses puts the nearest sound ones in
// their place.
func (s *Controller) validateRound() {
	g := &s.validation
	every := validationIntervalMs
	if g.report.Refusing {
		every = repairIntervalMs
	}
	if !g.enabled || !g.hostsChanged && len(s.tables.changed) == 0 && len(s.tables.reassigned) == 0 && s.nowMs < g.lastRunMs+every {
		return
	}
	g.lastRunMs = s.nowMs
	v, shared := s.validationView()
	if len(v.Routes) == 0 {
		return
	}
	g.report.Looked++
	found := guard.Check(v, g.limits)
	before := map[string]bool{}
	for _, f := range g.report.Standing {
		before[f.Check+f.Subject] = true
	}
	for _, f := range found {
		if !before[f.Check+f.Subject] {
			g.report.Found[f.Check]++
			s.recordEvent("guard", f.String())
		}
	}
	g.report.Standing = found
	if !g.repair.Enabled {
		return
	}
	limits := g.limits
	limits.SurviveZoneLoss = limits.SurviveZoneLoss && g.repair.SurviveZoneLoss
	rows, left, why := [][]float64(nil), []guard.Finding(nil), guard.Finding{}
	for _, f := range found {
		if f.Check != guard.OverCapacityWithoutZone || limits.SurviveZoneLoss {
			why = f
			if rows = s.reuseRepair(v, shared, limits); rows == nil {
				rows, left = guard.Repair(v, limits)
			}
			break
		}
	}
	refused := 0
	for i, number := range shared {
		row := v.Routes[i].Decided
		if rows != nil {
			row = rows[i]
		}
		refused += s.publishRepaired(v, s.tables.table(number), number, v.Routes[i].Decided, row)
	}
	s.reportRepair(refused, left, why)
}

// reportRepair notes and tells when the guard begins to put other tables in the place of those decided, and when it ends.
func (s *Controller) reportRepair(lines int, left []guard.Finding, why guard.Finding) {
	g := &s.validation
	if was := g.report.Refusing; lines > 0 && !was {
		g.repairingSinceMs = s.nowMs
		g.report.Refused++
		s.logMode(fmt.Sprintf("guard refuses: %v; %d lines are others, %d findings left", why, lines, len(left)))
	} else if lines == 0 && was {
		s.logMode(fmt.Sprintf("guard refuses nothing again, after %.0f ms", s.nowMs-g.repairingSinceMs))
	}
	g.report.Refusing, g.report.Left = lines > 0, left
	if len(left) == 0 {
		g.invalidReported, g.invalidSinceMs = false, s.nowMs
	} else if !g.invalidReported && s.nowMs >= g.invalidSinceMs+invalidReportDelayMs {
		g.invalidReported = true
		s.logMode(fmt.Sprintf("guard finds no sound table for %.0f ms, the least bad one is served: %v", s.nowMs-g.invalidSinceMs, left[0]))
	}
}

// reuseRepair gives the rows as they were last given where they are still sound and what was decided is the same, so that
// nothing is told anew for a little more or less demand; nil where not.
func (s *Controller) reuseRepair(v *guard.View, shared []int, l guard.Limits) (rows [][]float64) {
	w := &guard.View{Hosts: v.Hosts, Routes: slices.Clone(v.Routes)}
	for i := range w.Routes {
		r := &w.Routes[i]
		if i < len(shared) {
			if b := s.tables.table(shared[i]); b.repaired != nil {
				if lines, _ := guard.Changed(b.repairedFrom, r.Decided); lines > 0 {
					return nil
				}
				r.Decided = b.repaired
				for len(r.Decided) < len(v.Hosts) {
					r.Decided = append(r.Decided, 0)
				}
			}
		}
		rows = append(rows, r.Decided)
	}
	if len(guard.Check(w, l)) > 0 {
		return nil
	}
	return rows
}

// publishRepaired publishes a row for a shared table, and tells how many of its lines are other than decided. What the guard adds
// to the channel by itself has to leave room for removals; where it does not, the row that was published stays, without
// what may not stay in it.
func (s *Controller) publishRepaired(v *guard.View, b *routingTable, number int, decided, row []float64) (other int) {
	row = slices.Clone(row)
	if other, _ = guard.Changed(decided, row); other > 0 {
		for h := range row {
			row[h] = round6(row[h])
		}
	}
	fresh := b.changedRound == s.tables.round
	lines, removal := guard.Changed(b.published, row)
	if own := float64(lines); b.published != nil && (other > 0 || b.repaired != nil) && lines > 0 {
		if fresh {
			own = math.Max(0, own-b.changedEntries)
		}
		if !s.fitsChannel(number, own, !fresh) {
			if held, left := guard.MinimalUpdate(v.Hosts, b.published, decided); left {
				row = held
				lines, removal = guard.Changed(b.published, row)
				other, _ = guard.Changed(decided, row)
			}
		}
	}
	if was := b.repaired != nil; other > 0 {
		b.repaired, b.repairedFrom = row, slices.Clone(decided)
	} else if b.repaired = nil; !was {
		b.published = row
		return 0
	}
	if b.published != nil && lines > 0 {
		if !fresh {
			b.changedRound, b.changedEntries, b.hasRemoval = s.tables.round, 0, false
			s.tables.changed = append(s.tables.changed, number)
		}
		b.changedEntries, b.hasRemoval = math.Max(b.changedEntries, float64(lines)), b.hasRemoval || removal
	}
	b.published, b.tableSet, b.entries = row, nil, nil
	return other
}

// fitsChannel tells whether the channel has room for lines of the guard's own to all proxies that use a table.
func (s *Controller) fitsChannel(number int, lines float64, message bool) bool {
	c := &s.channel
	p := guard.ChannelBudget{Backlog: c.backlog(), MaxBacklog: c.maxBacklog, MaxMessages: c.maxMessages}
	all := 0.0
	for _, m := range s.sessions.byIndex {
		if m == nil || !slices.Contains(m.tableByClass, number) {
			continue
		}
		if all += lines; message {
			all += c.messageOverhead + 1
		}
		c.canSend(m, s.nowMs)
		p.MessagesSent = max(p.MessagesSent, len(m.sentMs))
	}
	return p.Fits(all, message)
}

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

// ValidationResult is what the guard says of tables that somebody would publish.
type ValidationResult struct {
	Findings []guard.Finding               `json:"findings"`
	Instead  map[string]map[string]float64 `json:"instead"` // by class, where it would refuse
	Left     []guard.Finding               `json:"left"`    // in that
}

// ValidateTables looks at tables by class and host that an operator would have published to a zone, or with "" to all, as
// things stand. The limits are those of the settings, or the usual ones where the guard is off.
func (s *Controller) ValidateTables(zone string, tables map[string]map[string]float64) (*ValidationResult, error) {
	limits := s.validation.limits
	if !s.validation.enabled {
		limits = guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}
	}
	if _, ok := s.zoneIndex[zone]; !ok && zone != "" {
		return nil, invalidField("zone", "%q is not among the zones", zone)
	}
	v := &guard.View{Hosts: slices.Clone(s.refreshValidatedHosts())}
	var names []string
	demand := s.fleetDemand()
	for _, class := range slices.Sorted(maps.Keys(tables)) {
		k, ok := s.classIndex[class]
		if !ok {
			return nil, invalidField(fmt.Sprintf("tables[%q]", class), "the class is not in the settings")
		}
		row := make([]float64, len(v.Hosts))
		for host, w := range tables[class] {
			h, ok := s.hostIndex.IndexOf[host]
			if !ok || h >= len(row) {
				return nil, invalidField(fmt.Sprintf("tables[%q].hosts[%q]", class, host), "the host is not on the list")
			}
			row[h] = w
		}
		r := guard.Route{Decided: row}
		for z, name := range s.deployment.Zones {
			if zone == "" || zone == name {
				r.Demands = append(r.Demands, guard.Demand{Class: class, Zone: name, ZoneLocal: s.classes[k].ZoneLocal, Work: demand[class][name] * s.classes[k].MeanWorkMs / 1000})
				r.Published = s.publishedWeights(z, k, len(v.Hosts))
			}
		}
		v.Routes, names = append(v.Routes, r), append(names, class)
	}
	if s.validation.enabled { // what else the hosts carry
		now, _ := s.validationView()
		for _, r := range now.Routes {
			r.ReadOnly = true
			r.Demands = slices.DeleteFunc(slices.Clone(r.Demands), func(u guard.Demand) bool {
				_, asked := tables[u.Class]
				return asked && (zone == "" || u.Zone == zone)
			})
			if len(r.Demands) > 0 {
				r.Published = nil
				v.Routes = append(v.Routes, r)
			}
		}
	}
	a := &ValidationResult{Findings: jsonFindings(guard.Check(v, limits)), Left: []guard.Finding{}}
	if len(a.Findings) > 0 {
		rows, left := guard.Repair(v, limits)
		a.Left, a.Instead = jsonFindings(left), map[string]map[string]float64{}
		for i, class := range names {
			a.Instead[class] = map[string]float64{}
			for h, w := range rows[i] {
				if w > 0 {
					a.Instead[class][v.Hosts[h].Name] = round6(w)
				}
			}
		}
	}
	return a, nil
}

// publishedWeights is what the first proxy of a zone with a table of a class was ordered, nil where there is none.
func (s *Controller) publishedWeights(zone, class, hosts int) []float64 {
	for _, m := range s.sessions.byIndex {
		if m == nil || m.zone != zone || m.tableByClass[class] < 0 {
			continue
		}
		row := make([]float64, hosts)
		for _, l := range s.entriesOf(s.tables.table(m.tableByClass[class])) {
			row[s.hostIndex.IndexOf[l.host]] = l.weight
		}
		return row
	}
	return nil
}

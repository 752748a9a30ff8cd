package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/guard"
)

// lookEvery ms the tables are looked at though none changed, since the demand may have; more often while the guard
// refuses, so that what it held back goes on in steps.
const (
	lookEvery  = 10000.0
	retryEvery = 1000.0
	sayAfter   = 10000.0 // that no sound table was found for so long
)

// look has the guard look at the tables of the present round, and where it refuses puts the nearest sound ones in
// their place.
func (s *Controller) look() {
	g := &s.guarding
	every := lookEvery
	if g.report.Refusing {
		every = retryEvery
	}
	if !g.on || !g.changed && len(s.tables.touched) == 0 && len(s.tables.bound) == 0 && s.now < g.at+every {
		return
	}
	g.at = s.now
	v, shared := s.guardView()
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
			s.event("guard", f.String())
		}
	}
	g.report.Standing = found
	if !g.refuse.Enabled {
		return
	}
	limits := g.limits
	limits.SurviveZoneLoss = limits.SurviveZoneLoss && g.refuse.SurviveZoneLoss
	rows, left, why := [][]float64(nil), []guard.Finding(nil), guard.Finding{}
	for _, f := range found {
		if f.Check != guard.OverCapacityWithoutZone || limits.SurviveZoneLoss {
			why = f
			if rows = s.stand(v, shared, limits); rows == nil {
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
		refused += s.give(v, s.tables.table(number), number, v.Routes[i].Decided, row)
	}
	s.refusing(refused, left, why)
}

// refusing notes and tells when the guard begins to put other tables in the place of those decided, and when it ends.
func (s *Controller) refusing(lines int, left []guard.Finding, why guard.Finding) {
	g := &s.guarding
	if was := g.report.Refusing; lines > 0 && !was {
		g.since = s.now
		g.report.Refused++
		s.log(fmt.Sprintf("guard refuses: %v; %d lines are others, %d findings left", why, lines, len(left)))
	} else if lines == 0 && was {
		s.log(fmt.Sprintf("guard refuses nothing again, after %.0f ms", s.now-g.since))
	}
	g.report.Refusing, g.report.Left = lines > 0, left
	if len(left) == 0 {
		g.said, g.unsound = false, s.now
	} else if !g.said && s.now >= g.unsound+sayAfter {
		g.said = true
		s.log(fmt.Sprintf("guard finds no sound table for %.0f ms, the least bad one is served: %v", s.now-g.unsound, left[0]))
	}
}

// stand gives the rows as they were last given where they are still sound and what was decided is the same, so that
// nothing is told anew for a little more or less demand; nil where not.
func (s *Controller) stand(v *guard.View, shared []int, l guard.Limits) (rows [][]float64) {
	w := &guard.View{Hosts: v.Hosts, Routes: slices.Clone(v.Routes)}
	for i := range w.Routes {
		r := &w.Routes[i]
		if i < len(shared) {
			if b := s.tables.table(shared[i]); b.given != nil {
				if lines, _ := guard.Changed(b.forRow, r.Decided); lines > 0 {
					return nil
				}
				r.Decided = b.given
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

// give publishes a row for a shared table, and tells how many of its lines are other than decided. What the guard adds
// to the channel by itself has to leave room for removals; where it does not, the row that was published stays, without
// what may not stay in it.
func (s *Controller) give(v *guard.View, b *table, number int, decided, row []float64) (other int) {
	row = slices.Clone(row)
	if other, _ = guard.Changed(decided, row); other > 0 {
		for h := range row {
			row[h] = round6(row[h])
		}
	}
	fresh := b.stamp == s.tables.round
	lines, removal := guard.Changed(b.out, row)
	if own := float64(lines); b.out != nil && (other > 0 || b.given != nil) && lines > 0 {
		if fresh {
			own = math.Max(0, own-b.lines)
		}
		if !s.pace(number, own, !fresh) {
			if held, left := guard.MinimalUpdate(v.Hosts, b.out, decided); left {
				row = held
				lines, removal = guard.Changed(b.out, row)
				other, _ = guard.Changed(decided, row)
			}
		}
	}
	if was := b.given != nil; other > 0 {
		b.given, b.forRow = row, slices.Clone(decided)
	} else if b.given = nil; !was {
		b.out = row
		return 0
	}
	if b.out != nil && lines > 0 {
		if !fresh {
			b.stamp, b.lines, b.removal = s.tables.round, 0, false
			s.tables.touched = append(s.tables.touched, number)
		}
		b.lines, b.removal = math.Max(b.lines, float64(lines)), b.removal || removal
	}
	b.out, b.view, b.snapshot = row, nil, nil
	return other
}

// pace tells whether the channel has room for lines of the guard's own to all proxies that use a table.
func (s *Controller) pace(number int, lines float64, message bool) bool {
	c := &s.channel
	p := guard.ChannelBudget{Backlog: c.waiting(), MaxBacklog: c.mostWaiting, MaxMessages: c.most}
	all := 0.0
	for _, m := range s.members.byIndex {
		if m == nil || !slices.Contains(m.tables, number) {
			continue
		}
		if all += lines; message {
			all += c.head + 1
		}
		c.may(m, s.now)
		p.MessagesSent = max(p.MessagesSent, len(m.sent))
	}
	return p.Fits(all, message)
}

// guardHost notes what the list now says of a host.
func (s *Controller) guardHost(h int, e Endpoint) {
	g := &s.guarding
	for len(g.hosts) <= h {
		g.hosts = append(g.hosts, guard.Host{})
	}
	g.hosts[h] = guard.Host{Name: e.Host, Zone: e.Zone, Capacity: e.Cores * e.speed()}
	g.changed = true
}

// guardHosts brings the hosts as the guard sees them up to date.
func (s *Controller) guardHosts() []guard.Host {
	g := &s.guarding
	for h := range g.hosts {
		x := &g.hosts[h]
		if x.Ready, x.SlowStartFactor = s.module.HostStatus(h); x.Ready {
			x.SlowStartLimit = s.multiple * x.SlowStartFactor * x.Capacity
		}
	}
	g.changed = false
	return g.hosts
}

// askedFor ms what proxies ask is not summed up anew while none is bound elsewhere.
const askedFor = 1000.0

// guardView is what the guard looks at: a row for each table that proxies share, those first and by their numbers; one
// for each zone whose proxies have tables of their own, all of them together; and one for each of these that names
// nobody who may stay.
func (s *Controller) guardView() (v *guard.View, shared []int) {
	g := &s.guarding
	v = &guard.View{Hosts: s.guardHosts()}
	if len(v.Hosts) == 0 {
		return v, nil
	}
	if g.hands || len(s.tables.bound) > 0 || s.now >= g.askedAt+askedFor {
		g.askedAt = s.now
		s.guardRows(v)
	}
	v.Routes = slices.Clone(g.rows)
	for i, number := range g.shared {
		b := s.tables.table(number)
		b.set(len(v.Hosts)-1, b.weights[len(v.Hosts)-1])
		for b.out != nil && len(b.out) < len(v.Hosts) {
			b.out = append(b.out, 0)
		}
		v.Routes[i].Published, v.Routes[i].Decided = b.out, b.row
	}
	return v, g.shared
}

// guardRows sums up what the proxies ask of each table.
func (s *Controller) guardRows(v *guard.View) {
	g := &s.guarding
	g.rows, g.shared, g.hands = nil, nil, false
	zones, classes := len(s.fleet.Zones), len(s.classes)
	share := s.joinedShare()
	asked := make([][]float64, 2*zones+1) // by table or zone of hands, then zone and class; nil: nobody uses it
	hands := make([][]float64, zones)
	var bare []guard.Route
	for _, m := range s.members.byIndex {
		if m == nil || m.tables[0] < 0 {
			continue
		}
		rate := 0.0
		for k, number := range m.tables {
			if rate += m.rates[k]; number > zones {
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
			*a = math.Max(*a, 0) + m.rates[k]/share*s.classes[k].MeanWorkMs/1000
		}
		if number := m.tables[0]; number > zones {
			if g.hands = true; hands[m.zone] == nil {
				hands[m.zone] = make([]float64, len(v.Hosts))
			}
			if !s.addHand(v, hands[m.zone], s.tables.table(number), rate+1e-9) {
				r := guard.Route{Demands: s.uses(nil, m.zone, 0), Decided: make([]float64, len(v.Hosts)), ReadOnly: true}
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
			r.Demands = append(r.Demands, s.uses(by, z, z*classes)...)
		}
		if r.ReadOnly {
			r.Decided = hands[number-zones-1]
		} else {
			g.shared = append(g.shared, number)
		}
		g.rows = append(g.rows, r)
	}
	g.rows = append(g.rows, bare...)
}

// joinedShare is the part of all proxies that have joined here.
func (s *Controller) joinedShare() float64 {
	return math.Max(float64(len(s.members.byName))/float64(s.fleet.Proxies), 1e-9)
}

// uses are the classes of a zone whose proxies use a row; all of them where it is not told what they ask.
func (s *Controller) uses(asked []float64, zone, from int) (all []guard.Demand) {
	for k, c := range s.classes {
		u := guard.Demand{Class: c.Name, Zone: s.fleet.Zones[zone], ZoneLocal: c.ZoneLocal}
		if asked != nil {
			if u.Work = asked[from+k]; u.Work < 0 {
				continue
			}
		}
		all = append(all, u)
	}
	return all
}

// addHand adds a table of a proxy's own to those of its zone, by the proxy's rate. It tells whether somebody is in it
// who may stay.
func (s *Controller) addHand(v *guard.View, to []float64, b *table, rate float64) (able bool) {
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
	limits := s.guarding.limits
	if !s.guarding.on {
		limits = guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}
	}
	if _, ok := s.zone[zone]; !ok && zone != "" {
		return nil, refuse("zone", "%q is not among the zones", zone)
	}
	v := &guard.View{Hosts: slices.Clone(s.guardHosts())}
	var names []string
	demand := s.demand()
	for _, class := range slices.Sorted(maps.Keys(tables)) {
		k, ok := s.class[class]
		if !ok {
			return nil, refuse(fmt.Sprintf("tables[%q]", class), "the class is not in the settings")
		}
		row := make([]float64, len(v.Hosts))
		for host, w := range tables[class] {
			h, ok := s.hosts.IndexOf[host]
			if !ok || h >= len(row) {
				return nil, refuse(fmt.Sprintf("tables[%q].hosts[%q]", class, host), "the host is not on the list")
			}
			row[h] = w
		}
		r := guard.Route{Decided: row}
		for z, name := range s.fleet.Zones {
			if zone == "" || zone == name {
				r.Demands = append(r.Demands, guard.Demand{Class: class, Zone: name, ZoneLocal: s.classes[k].ZoneLocal, Work: demand[class][name] * s.classes[k].MeanWorkMs / 1000})
				r.Published = s.publishedRow(z, k, len(v.Hosts))
			}
		}
		v.Routes, names = append(v.Routes, r), append(names, class)
	}
	if s.guarding.on { // what else the hosts carry
		now, _ := s.guardView()
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
	a := &ValidationResult{Findings: tellable(guard.Check(v, limits)), Left: []guard.Finding{}}
	if len(a.Findings) > 0 {
		rows, left := guard.Repair(v, limits)
		a.Left, a.Instead = tellable(left), map[string]map[string]float64{}
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

// publishedRow is what the first proxy of a zone with a table of a class was ordered, nil where there is none.
func (s *Controller) publishedRow(zone, class, hosts int) []float64 {
	for _, m := range s.members.byIndex {
		if m == nil || m.zone != zone || m.tables[class] < 0 {
			continue
		}
		row := make([]float64, hosts)
		for _, l := range s.lines(s.tables.table(m.tables[class])) {
			row[s.hosts.IndexOf[l.host]] = l.weight
		}
		return row
	}
	return nil
}

package steward

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/decide"
	"barleysail/guard"
	"barleysail/operator"
)

// guarding has the guard look at the tables, and at lists that lose many hosts at once.
type guarding struct {
	on     bool
	limits guard.Limits
	list   *guard.Listing
	held   []Entry // a list that is held back
	now    guard.Tables
	at     float64 // when it looked last
	report GuardReport
}

// lookEvery ms the tables are looked at though none changed: the demand may have.
const lookEvery = 10000.0

// GuardReport is what the guard found since the steward began.
type GuardReport struct {
	On        bool            `json:"on"`
	Looked    int             `json:"looked"` // so often
	Found     map[string]int  `json:"found"`  // by check, when it began to be so
	Standing  []guard.Finding `json:"standing"`
	ListHeld  bool            `json:"list_held"`
	ListHolds int             `json:"list_holds"`
}

// Guard switches the guard on. Findings in tables are told in events and by GuardReport; a list that loses too much
// is held back for a time.
func (s *Steward) Guard(l guard.Limits, list guard.ListLimits) {
	list.Hold = math.Min(list.Hold, s.grace/2) // a removal is never held past its grace
	s.guarding = guarding{on: true, limits: l, list: guard.NewListing(list), report: GuardReport{On: true, Found: map[string]int{}}}
}

// GuardReport tells what the guard found.
func (s *Steward) GuardReport() GuardReport {
	r := s.guarding.report
	r.Found, r.Standing, r.ListHeld = maps.Clone(r.Found), slices.Clone(r.Standing), s.guarding.held != nil
	for i, f := range r.Standing {
		if math.IsNaN(f.Is) || math.IsInf(f.Is, 0) { // which JSON cannot hold
			r.Standing[i].Is = 0
		}
	}
	return r
}

// holdsList tells whether a list is held back for now.
func (s *Steward) holdsList(entries []Entry) bool {
	g := &s.guarding
	if !g.on || !s.list.known {
		return false
	}
	stays := map[string]bool{}
	for _, e := range entries {
		stays[e.Host] = e.Phase == decide.Ready
	}
	ready, lost, confirmed := 0, 0, 0
	for _, e := range s.list.raw {
		if e.Phase != decide.Ready {
			continue
		}
		if ready++; stays[e.Host] {
			continue
		}
		lost++
		if set, ok := s.book.Set(e.Host); ok && set.State != operator.Listed {
			confirmed++
		} else if x, ok := s.module.Explain(s.hosts.of[e.Host]); ok && x.Strikes > 0 {
			confirmed++
		}
	}
	was := g.held != nil
	if !g.list.Take(s.now, ready, lost, confirmed) {
		if was {
			s.event("guard", fmt.Sprintf("the list is believed: %d of %d ready hosts are lost, %d of them confirmed", lost, ready, confirmed))
		}
		g.held = nil
		return false
	}
	if !was {
		g.report.ListHolds++
		s.event("guard", fmt.Sprintf("the list is held back: %d of %d ready hosts are lost at once, %d of them confirmed", lost, ready, confirmed))
	}
	g.held = append([]Entry{}, entries...)
	return true
}

// recheck looks again at a list that is held back: its hold may be over, or those lost confirmed.
func (s *Steward) recheck() {
	g := &s.guarding
	if g.held == nil {
		return
	}
	if entries := g.held; !s.holdsList(entries) {
		s.believe(entries)
	}
}

func (g *guarding) next() float64 {
	if g.held == nil {
		return math.Inf(1)
	}
	at, _ := g.list.Until()
	return at
}

// look has the guard look at the tables of the present round.
func (s *Steward) look() {
	g := &s.guarding
	if !g.on || len(s.tables.touched) == 0 && len(s.tables.bound) == 0 && s.now < g.at+lookEvery {
		return
	}
	g.at = s.now
	v := s.guardView()
	if len(v.Zones) == 0 {
		return
	}
	g.report.Looked++
	found := guard.Check(v, g.limits)
	before := map[string]bool{}
	for _, f := range g.report.Standing {
		before[f.Check+f.On] = true
	}
	for _, f := range found {
		if !before[f.Check+f.On] {
			g.report.Found[f.Check]++
			s.event("guard", f.String())
		}
	}
	g.report.Standing, g.now = found, v.Next
}

// guardView is what the guard looks at: each zone's tables by the first of its proxies that has some.
func (s *Steward) guardView() *guard.View {
	v := &guard.View{Demand: s.demand(), Now: s.guarding.now, Next: guard.Tables{}}
	for k, c := range s.classes {
		v.Classes = append(v.Classes, guard.Class{Name: c.Name, Work: c.Work, Local: c.Local})
		v.Next[c.Name] = map[string]map[string]float64{}
		for _, m := range s.members.byIndex {
			if m == nil || m.tables[k] < 0 {
				continue
			}
			z := s.fleet.Zones[m.zone]
			if v.Next[c.Name][z] != nil {
				continue
			}
			row := map[string]float64{}
			for h, w := range s.tables.table(m.tables[k]).weights {
				row[s.hosts.names[h]] = w
			}
			v.Next[c.Name][z] = row
		}
	}
	for _, z := range s.fleet.Zones {
		all := len(s.classes) > 0
		for _, c := range s.classes {
			all = all && v.Next[c.Name][z] != nil
		}
		if all {
			v.Zones = append(v.Zones, z)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(s.list.entries)) {
		e := s.list.entries[host]
		h := guard.Host{Name: host, Zone: e.Zone, Ready: e.Phase == decide.Ready, Warmth: 1, Cap: e.Cores * e.speed()}
		if x, ok := s.module.Explain(s.hosts.of[host]); ok {
			h.Ready, h.Warmth = h.Ready && !x.Out, x.Warmth
			h.Most = s.multiple * x.Warmth * h.Cap
		}
		v.Hosts = append(v.Hosts, h)
	}
	return v
}

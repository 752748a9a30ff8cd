package steward

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"barleysail/decide"
	"barleysail/operator"
	"barleysail/state"
	"barleysail/state/statepb"
)

// memory is what an earlier life knew, until it is used.
type memory struct {
	*state.Recalled
	hosts, proxies, versions int // used so far
	drains                   map[string]float64
}

// Recall tells a steward that has just been made what an earlier life knew and is still to be trusted. Hosts are recalled
// with the first list, proxies as they come. The list tells of starts and drains more surely, and goes first.
func (s *Steward) Recall(now float64, r *state.Recalled) {
	s.now = now
	s.memory = memory{Recalled: r, drains: map[string]float64{}}
	for _, x := range r.Settings {
		set := operator.Set{State: operator.State(x.State), Weight: x.Weight, Part: x.Part, By: x.By, At: x.At, Until: x.Until}
		if a := x.Added; a != nil {
			set.Added = &operator.Added{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.Started}
		}
		if x.State >= int32(operator.Listed) && x.State <= int32(operator.Maint) {
			s.book.Recall(x.Host, set)
		}
	}
	s.stepAt = math.Min(s.stepAt, now)
	if r.Level < 1 || r.Median > 0 {
		shares := make([]float64, len(s.classes))
		for i, c := range s.classes {
			if shares[i] = 1; r.Shares[c.Name] > 0 {
				shares[i] = r.Shares[c.Name]
			}
		}
		s.module.RecallFleet(r.Level, shares, r.Median)
	}
}

// started is when a host started by the list, or else by what was recalled of it.
func (s *Steward) started(e Entry) float64 {
	if h := s.recalledHost(e.Host); e.Started == 0 && h != nil {
		return h.Started
	}
	return e.Started
}

func (s *Steward) recalledHost(host string) *state.Host {
	if s.memory.Recalled == nil {
		return nil
	}
	return s.memory.Hosts[host]
}

// recallHosts tells the module what was known of the hosts of the first list. One that started since is another.
func (s *Steward) recallHosts(entries []Entry) {
	if s.memory.Recalled == nil {
		return
	}
	for _, e := range entries {
		h := s.memory.Hosts[e.Host]
		if h == nil || h.Zone != e.Zone || e.Started > 0 && h.Started > 0 && e.Started != h.Started || e.Started > s.now-s.memory.Passed {
			continue
		}
		s.memory.hosts++
		i := s.hosts.Index(e.Host)
		s.module.Recall(i, h.Weight, h.R, h.Won, h.Lost)
		if h.Out && e.Phase == decide.Ready { // one strike: a probe is due soon, and two more prove it
			how := decide.Silent
			if h.Absent {
				how = decide.Unreachable
			}
			s.module.Probed(i, how, decide.NoLoad)
		}
		if h.Trust < 1 {
			s.intake.trust.Recall(e.Host, h.Trust)
		}
		if h.Drains > 0 && e.Phase == decide.Draining {
			s.memory.drains[e.Host] = h.Drains
		}
	}
	s.memory.Hosts = map[string]*state.Host{}
}

// recallProxy takes up what was known of a proxy that joins: what lately came to it, and, where it still holds what the
// earlier life gave it, that as a version, so that a delta goes on from there.
func (s *Steward) recallProxy(m *member, tags []string) {
	if s.memory.Recalled == nil {
		return
	}
	p := s.memory.Proxies[m.name]
	if delete(s.memory.Proxies, m.name); p == nil || p.Zone != s.fleet.Zones[m.zone] {
		return
	}
	s.memory.proxies++
	if len(p.Rates) == len(m.rates) {
		copy(m.rates, p.Rates)
	}
	if p.Tag == "" || !slices.Contains(tags, p.Tag) {
		return
	}
	if v := s.recalledView(p.Tag, p.Tables); v != nil {
		s.memory.versions++
		s.inherit(m, p.Tag, v)
	}
}

// inherit makes what a proxy holds from elsewhere its version, so that a delta goes on from there.
func (s *Steward) inherit(m *member, tag string, v *View) {
	s.members.number++
	m.versions = append(m.versions, version{number: s.members.number, view: v, alias: tag})
	m.acked = s.members.number
}

// checkOffer refuses what no proxy can hold.
func (s *Steward) checkOffer(o *Offer) error {
	if o == nil {
		return nil
	}
	if err := checkName("tag", o.Tag); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, t := range o.Tables {
		field := fmt.Sprintf("tables[%q]", t.Class)
		if _, ok := s.class[t.Class]; !ok || seen[t.Class] {
			return refuse(field, "the class is not in the settings, or stands there twice")
		}
		if seen[t.Class] = true; !(t.Share >= 0) || math.IsInf(t.Share, 0) || t.Tries < 0 || t.Tries > 3 || len(t.Hosts) > mostHosts || len(t.Hosts) != len(t.Weights) {
			return refuse(field, "share %g, tries %d, %d hosts with %d weights", t.Share, t.Tries, len(t.Hosts), len(t.Weights))
		}
		for i, host := range t.Hosts {
			if w := t.Weights[i]; !(w > 0) || math.IsInf(w, 0) || i > 0 && host <= t.Hosts[i-1] || len(host) > 300 {
				return refuse(field+".hosts", "%.300q has the weight %g, or is not in order", host, w)
			}
		}
	}
	return nil
}

// offeredView makes a view of tables that a proxy offers. A class it does not name was not ordered.
func (s *Steward) offeredView(tables []Table) *View {
	s.tables.views++
	v := &View{id: s.tables.views}
	for _, c := range s.classes {
		k := classView{name: c.Name, level: level{1, s.tables.usual, true}}
		for _, t := range tables {
			if t.Class != c.Name {
				continue
			}
			k.bound, k.level = t.Ordered, level{t.Share, t.Tries, true}
			for i, host := range t.Hosts {
				k.lines = append(k.lines, line{host, t.Weights[i]})
			}
		}
		v.classes = append(v.classes, k)
	}
	return v
}

// recalledView makes a view of kept tables; nil where they are of other classes, or cannot be.
func (s *Steward) recalledView(tag string, kept []*statepb.Class) *View {
	if len(kept) != len(s.classes) {
		return nil
	}
	o := &Offer{Tag: tag}
	for i, t := range kept {
		if t.Name != s.classes[i].Name {
			return nil
		}
		o.Tables = append(o.Tables, Table{Class: t.Name, Ordered: t.Ordered, Hosts: t.Hosts, Weights: t.Weights, Share: t.Share, Tries: int(t.Tries)})
	}
	if s.checkOffer(o) != nil {
		return nil
	}
	return s.offeredView(o.Tables)
}

// recalledRate is what a proxy usually gets, by what it says or else by what was recalled of it.
func (s *Steward) recalledRate(name string, rate float64) float64 {
	if s.memory.Recalled == nil || rate > 0 {
		return rate
	}
	if p := s.memory.Proxies[name]; p != nil {
		for _, x := range p.Rates {
			rate += x
		}
	}
	return rate
}

// ListKnown tells whether a list has come yet: before, nothing was learned.
func (s *Steward) ListKnown() bool { return s.list.known }

// Remember gives what the next life may go by. Times in it are by the clock of the calls; the caller makes them those of
// the wall.
func (s *Steward) Remember(now float64) *statepb.State {
	r := &statepb.State{Life: s.fleet.Life, At: now}
	level, shares, median := s.module.Fleet()
	r.Fleet = &statepb.Fleet{Level: level, Shares: shares, Median: median, At: now}
	for _, c := range s.classes {
		r.Fleet.Classes = append(r.Fleet.Classes, c.Name)
	}
	for _, host := range slices.Sorted(maps.Keys(s.list.entries)) {
		e := s.list.entries[host]
		x, ok := s.module.Explain(s.hosts.Of[host])
		if !ok {
			continue
		}
		h := &statepb.Host{Name: host, Zone: e.Zone, Started: math.Max(x.Started, 0), Weight: 1, Rate: x.Rate, R: x.R, Won: x.Won, Lost: x.Lost,
			Out: x.Out, Absent: x.Absent, Trust: s.intake.trust.Trusted(host), At: now}
		if x.Listed > 0 {
			h.Weight = x.Weight / x.Listed
		}
		if e.Phase == decide.Draining {
			h.Drains = s.drainsSince(host)
		}
		r.Hosts = append(r.Hosts, h)
	}
	s.rememberProxies(now, r)
	sets := s.book.Sets()
	for _, host := range slices.Sorted(maps.Keys(sets)) {
		set := sets[host]
		x := &statepb.Setting{Host: host, State: int32(set.State), Weight: set.Weight, Part: set.Part, By: set.By, At: set.At, Until: set.Until}
		if a := set.Added; a != nil {
			x.Added = &statepb.Added{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.Started}
		}
		r.Settings = append(r.Settings, x)
	}
	return r
}

// rememberProxies notes the newest version that each proxy has acknowledged, one table for all that hold the same.
func (s *Steward) rememberProxies(now float64, r *statepb.State) {
	kept := map[*View]string{}
	ids := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.members.byName)) {
		m := s.members.byName[name]
		p := &statepb.Proxy{Name: name, Zone: s.fleet.Zones[m.zone], Rates: slices.Clone(m.rates), At: now}
		if v := m.version(m.acked); v != nil {
			id, ok := kept[v.view]
			if !ok {
				t := v.view.keep()
				if id = t.Id; !ids[id] {
					ids[id] = true
					r.Tables = append(r.Tables, t)
				}
				kept[v.view] = id
			}
			p.Tag, p.Table = s.tagOf(v), id
		}
		r.Proxies = append(r.Proxies, p)
	}
	slices.SortFunc(r.Tables, func(a, b *statepb.Table) int { return strings.Compare(a.Id, b.Id) })
}

// keep gives a view as it is kept; views that hold the same have the same id.
func (v *View) keep() *statepb.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.kept != nil {
		return v.kept
	}
	t, sum := &statepb.Table{}, fnv.New64a()
	note := func(text string, figures ...float64) {
		sum.Write([]byte(text))
		for _, x := range figures {
			sum.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(x)))
		}
	}
	for _, c := range v.classes {
		k := &statepb.Class{Name: c.name, Ordered: c.bound, Share: c.level.share, Tries: int32(c.level.tries)}
		note(c.name, k.Share, float64(k.Tries))
		for _, l := range c.lines {
			k.Hosts, k.Weights = append(k.Hosts, l.host), append(k.Weights, l.weight)
			note(l.host, l.weight)
		}
		t.Classes = append(t.Classes, k)
	}
	t.Id = strconv.FormatUint(sum.Sum64(), 16)
	v.kept = t
	return t
}

// drainsSince is when a host's drain was first told, in this life or before.
func (s *Steward) drainsSince(host string) float64 {
	if at, ok := s.memory.drains[host]; ok {
		return at
	}
	return s.drained[host]
}

// MemoryReport is what of an earlier life was used.
type MemoryReport struct {
	From     string  `json:"from"`      // the life; empty: nothing was known
	PassedMs float64 `json:"passed_ms"` // between
	Why      string  `json:"why"`       // less than all is known
	Hosts    int     `json:"hosts"`     // recalled
	Proxies  int     `json:"proxies"`
	Versions int     `json:"versions"` // of proxies that went on from their old tables
}

func (s *Steward) memoryReport() *MemoryReport {
	m := s.memory
	if m.Recalled == nil {
		return nil
	}
	return &MemoryReport{m.Life, m.Passed, m.Why, m.hosts, m.proxies, m.versions}
}

package controller

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// memory is what an earlier life knew, until it is used.
type memory struct {
	*state.Restored
	hosts, proxies, versions int // used so far
	drains                   map[string]float64
}

// Restore tells a steward that has just been made what an earlier life knew and is still to be trusted. Hosts are recalled
// with the first list, proxies as they come. The list tells of starts and drains more surely, and goes first.
func (s *Controller) Restore(now float64, r *state.Restored) {
	s.now = now
	s.memory = memory{Restored: r, drains: map[string]float64{}}
	for _, x := range r.Overrides {
		set := operator.Override{State: operator.State(x.State), Weight: x.Weight, WeightRatio: x.Part, Operator: x.By, SetAtMs: x.At, ExpiresMs: x.Until}
		if a := x.Added; a != nil {
			set.Added = &operator.AddedHost{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, StartedMs: a.Started}
		}
		if x.State >= int32(operator.Listed) && x.State <= int32(operator.Maintenance) {
			s.book.Restore(x.Host, set)
		}
	}
	s.stepAt = math.Min(s.stepAt, now)
	if r.AdmissionRatio < 1 || r.MedianLatencyMs > 0 {
		shares := make([]float64, len(s.classes))
		for i, c := range s.classes {
			if shares[i] = 1; r.AdmissionQuotas[c.Name] > 0 {
				shares[i] = r.AdmissionQuotas[c.Name]
			}
		}
		s.module.RestoreAdmission(r.AdmissionRatio, shares, r.MedianLatencyMs)
	}
}

// started is when a host started by the list, or else by what was recalled of it.
func (s *Controller) started(e Endpoint) float64 {
	if h := s.recalledHost(e.Host); e.StartedMs == 0 && h != nil {
		return h.StartedMs
	}
	return e.StartedMs
}

func (s *Controller) recalledHost(host string) *state.Host {
	if s.memory.Restored == nil {
		return nil
	}
	return s.memory.Hosts[host]
}

// recallHosts tells the module what was known of the hosts of the first list. One that started since is another.
func (s *Controller) recallHosts(entries []Endpoint) {
	if s.memory.Restored == nil {
		return
	}
	for _, e := range entries {
		h := s.memory.Hosts[e.Host]
		if h == nil || h.Zone != e.Zone || e.StartedMs > 0 && h.StartedMs > 0 && e.StartedMs != h.StartedMs || e.StartedMs > s.now-s.memory.ElapsedMs {
			continue
		}
		s.memory.hosts++
		i := s.hosts.Index(e.Host)
		s.module.RestoreHost(i, h.Weight, h.MeanLatencyMs, h.Successes, h.Failures)
		if h.Ejected && e.State == routing.Ready { // one strike: a probe is due soon, and two more prove it
			how := routing.TimedOut
			if h.Unreachable {
				how = routing.Unreachable
			}
			s.module.ObserveHealthCheck(i, how, routing.UnknownLoad)
		}
		if h.ReportTrust < 1 {
			s.intake.trust.Restore(e.Host, h.ReportTrust)
		}
		if h.DrainingSinceMs > 0 && e.State == routing.Draining {
			s.memory.drains[e.Host] = h.DrainingSinceMs
		}
	}
	s.memory.Hosts = map[string]*state.Host{}
}

// recallProxy takes up what was known of a proxy that joins: what lately came to it, and, where it still holds what the
// earlier life gave it, that as a version, so that a delta goes on from there.
func (s *Controller) recallProxy(m *member, tags []string) {
	if s.memory.Restored == nil {
		return
	}
	p := s.memory.Proxies[m.name]
	if delete(s.memory.Proxies, m.name); p == nil || p.Zone != s.fleet.Zones[m.zone] {
		return
	}
	s.memory.proxies++
	if len(p.RequestRates) == len(m.rates) {
		copy(m.rates, p.RequestRates)
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
func (s *Controller) inherit(m *member, tag string, v *TableSet) {
	s.members.number++
	m.versions = append(m.versions, version{number: s.members.number, view: v, alias: tag})
	m.acked = s.members.number
}

// checkOffer refuses what no proxy can hold.
func (s *Controller) checkOffer(o *CachedTables) error {
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
		if seen[t.Class] = true; !(t.AdmissionRatio >= 0) || math.IsInf(t.AdmissionRatio, 0) || t.RetryPolicy < 0 || t.RetryPolicy > 3 || len(t.Hosts) > mostHosts || len(t.Hosts) != len(t.Weights) {
			return refuse(field, "share %g, tries %d, %d hosts with %d weights", t.AdmissionRatio, t.RetryPolicy, len(t.Hosts), len(t.Weights))
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
func (s *Controller) offeredView(tables []Table) *TableSet {
	s.tables.views++
	v := &TableSet{id: s.tables.views}
	for _, c := range s.classes {
		k := classView{name: c.Name, level: level{1, s.tables.usual, true}}
		for _, t := range tables {
			if t.Class != c.Name {
				continue
			}
			k.bound, k.level = t.Ordered, level{t.AdmissionRatio, t.RetryPolicy, true}
			for i, host := range t.Hosts {
				k.lines = append(k.lines, line{host, t.Weights[i]})
			}
		}
		v.classes = append(v.classes, k)
	}
	return v
}

// recalledView makes a view of kept tables; nil where they are of other classes, or cannot be.
func (s *Controller) recalledView(tag string, kept []*statepb.Class) *TableSet {
	if len(kept) != len(s.classes) {
		return nil
	}
	o := &CachedTables{Tag: tag}
	for i, t := range kept {
		if t.Name != s.classes[i].Name {
			return nil
		}
		o.Tables = append(o.Tables, Table{Class: t.Name, Ordered: t.Ordered, Hosts: t.Hosts, Weights: t.Weights, AdmissionRatio: t.Share, RetryPolicy: int(t.Tries)})
	}
	if s.checkOffer(o) != nil {
		return nil
	}
	return s.offeredView(o.Tables)
}

// recalledRate is what a proxy usually gets, by what it says or else by what was recalled of it.
func (s *Controller) recalledRate(name string, rate float64) float64 {
	if s.memory.Restored == nil || rate > 0 {
		return rate
	}
	if p := s.memory.Proxies[name]; p != nil {
		for _, x := range p.RequestRates {
			rate += x
		}
	}
	return rate
}

// EndpointsKnown tells whether a list has come yet: before, nothing was learned.
func (s *Controller) EndpointsKnown() bool { return s.list.known }

// Snapshot gives what the next life may go by. Times in it are by the clock of the calls; the caller makes them those of
// the wall.
func (s *Controller) Snapshot(now float64) *statepb.State {
	r := &statepb.State{Life: s.fleet.Incarnation, At: now}
	level, shares, median := s.module.Admission()
	r.Fleet = &statepb.Fleet{Level: level, Shares: shares, Median: median, At: now}
	for _, c := range s.classes {
		r.Fleet.Classes = append(r.Fleet.Classes, c.Name)
	}
	for _, host := range slices.Sorted(maps.Keys(s.list.entries)) {
		e := s.list.entries[host]
		x, ok := s.module.Explain(s.hosts.IndexOf[host])
		if !ok {
			continue
		}
		h := &statepb.Host{Name: host, Zone: e.Zone, Started: math.Max(x.StartedMs, 0), Weight: 1, Rate: x.ArrivalRate, R: x.MeanLatencyMs, Won: x.Successes, Lost: x.Failures,
			Out: x.Ejected, Absent: x.Unreachable, Trust: s.intake.trust.Confidence(host), At: now}
		if x.BaseWeight > 0 {
			h.Weight = x.Weight / x.BaseWeight
		}
		if e.State == routing.Draining {
			h.Drains = s.drainsSince(host)
		}
		r.Hosts = append(r.Hosts, h)
	}
	s.rememberProxies(now, r)
	sets := s.book.Overrides()
	for _, host := range slices.Sorted(maps.Keys(sets)) {
		set := sets[host]
		x := &statepb.Setting{Host: host, State: int32(set.State), Weight: set.Weight, Part: set.WeightRatio, By: set.Operator, At: set.SetAtMs, Until: set.ExpiresMs}
		if a := set.Added; a != nil {
			x.Added = &statepb.Added{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.StartedMs}
		}
		r.Settings = append(r.Settings, x)
	}
	return r
}

// rememberProxies notes the newest version that each proxy has acknowledged, one table for all that hold the same.
func (s *Controller) rememberProxies(now float64, r *statepb.State) {
	kept := map[*TableSet]string{}
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
func (v *TableSet) keep() *statepb.Table {
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
func (s *Controller) drainsSince(host string) float64 {
	if at, ok := s.memory.drains[host]; ok {
		return at
	}
	return s.drained[host]
}

// RestoreReport is what of an earlier life was used.
type RestoreReport struct {
	From     string  `json:"from"`      // the life; empty: nothing was known
	PassedMs float64 `json:"passed_ms"` // between
	Why      string  `json:"why"`       // less than all is known
	Hosts    int     `json:"hosts"`     // recalled
	Proxies  int     `json:"proxies"`
	Versions int     `json:"versions"` // of proxies that went on from their old tables
}

func (s *Controller) memoryReport() *RestoreReport {
	m := s.memory
	if m.Restored == nil {
		return nil
	}
	return &RestoreReport{m.Incarnation, m.ElapsedMs, m.Reason, m.hosts, m.proxies, m.versions}
}

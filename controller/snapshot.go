package controller

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"barleysail/routing"
	"barleysail/state/statepb"
)

// Snapshot gives what the next life may go by. Times in it are by the clock of the calls; the caller makes them those of
// the wall.
func (s *Controller) Snapshot(now float64) *statepb.State {
	r := &statepb.State{Life: s.deployment.Incarnation, At: now}
	level, shares, median := s.balancer.Admission()
	r.Fleet = &statepb.Fleet{Level: level, Shares: shares, Median: median, At: now}
	for _, c := range s.classes {
		r.Fleet.Classes = append(r.Fleet.Classes, c.Name)
	}
	for _, host := range slices.Sorted(maps.Keys(s.endpoints.effective)) {
		e := s.endpoints.effective[host]
		x, ok := s.balancer.Explain(s.hostIndex.IndexOf[host])
		if !ok {
			continue
		}
		h := &statepb.Host{Name: host, Zone: e.Zone, Started: math.Max(x.StartedMs, 0), Weight: 1, Rate: x.ArrivalRate, R: x.MeanLatencyMs, Won: x.Successes, Lost: x.Failures,
			Out: x.Ejected, Absent: x.Unreachable, Trust: s.ingest.trust.Confidence(host), At: now}
		if x.BaseWeight > 0 {
			h.Weight = x.Weight / x.BaseWeight
		}
		if e.State == routing.Draining {
			h.Drains = s.drainingSince(host)
		}
		r.Hosts = append(r.Hosts, h)
	}
	s.snapshotProxies(now, r)
	sets := s.overrides.Overrides()
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

// snapshotProxies notes the newest version that each proxy has acknowledged, one table for all that hold the same.
func (s *Controller) snapshotProxies(now float64, r *statepb.State) {
	kept := map[*tableSet]string{}
	ids := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.sessions.byProxy)) {
		m := s.sessions.byProxy[name]
		p := &statepb.Proxy{Name: name, Zone: s.deployment.Zones[m.zone], Rates: slices.Clone(m.requestRates), At: now}
		if v := m.version(m.ackedVersion); v != nil {
			id, ok := kept[v.tables]
			if !ok {
				t := v.tables.persist()
				if id = t.Id; !ids[id] {
					ids[id] = true
					r.Tables = append(r.Tables, t)
				}
				kept[v.tables] = id
			}
			p.Tag, p.Table = s.tagOf(v), id
		}
		r.Proxies = append(r.Proxies, p)
	}
	slices.SortFunc(r.Tables, func(a, b *statepb.Table) int { return strings.Compare(a.Id, b.Id) })
}

// persist gives a view as it is kept; views that hold the same have the same id.
func (v *tableSet) persist() *statepb.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.persisted != nil {
		return v.persisted
	}
	t, sum := &statepb.Table{}, fnv.New64a()
	note := func(text string, figures ...float64) {
		sum.Write([]byte(text))
		for _, x := range figures {
			sum.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(x)))
		}
	}
	for _, c := range v.classes {
		k := &statepb.Class{Name: c.name, Ordered: c.assigned, Share: c.policy.admissionRatio, Tries: int32(c.policy.retryPolicy)}
		note(c.name, k.Share, float64(k.Tries))
		for _, l := range c.entries {
			k.Hosts, k.Weights = append(k.Hosts, l.host), append(k.Weights, l.weight)
			note(l.host, l.weight)
		}
		t.Classes = append(t.Classes, k)
	}
	t.Id = strconv.FormatUint(sum.Sum64(), 16)
	v.persisted = t
	return t
}

// drainingSince is when a host's drain was first told, in this life or before.
func (s *Controller) drainingSince(host string) float64 {
	if at, ok := s.restored.drainingSinceMs[host]; ok {
		return at
	}
	return s.drainingSinceMs[host]
}

package controller

import (
	"fmt"
	"math"
	"slices"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// restoredState is what an earlier life knew, until it is used.
type restoredState struct {
	*state.Restored
	hostCount, proxyCount, versionCount int // used so far
	drainingSinceMs                     map[string]float64
}

// Restore tells a steward that has just been made what an earlier life knew and is still to be trusted. Hosts are recalled
// with the first list, proxies as they come. The list tells of starts and drains more surely, and goes first.
func (s *Controller) Restore(now float64, r *state.Restored) {
	s.nowMs = now
	s.restored = restoredState{Restored: r, drainingSinceMs: map[string]float64{}}
	for _, x := range r.Overrides {
		set := operator.Override{State: operator.State(x.State), Weight: x.Weight, WeightRatio: x.Part, Operator: x.By, SetAtMs: x.At, ExpiresMs: x.Until}
		if a := x.Added; a != nil {
			set.Added = &operator.AddedHost{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, StartedMs: a.Started}
		}
		if x.State >= int32(operator.Listed) && x.State <= int32(operator.Maintenance) {
			s.overrides.Restore(x.Host, set)
		}
	}
	s.nextOverrideMs = math.Min(s.nextOverrideMs, now)
	if r.AdmissionRatio < 1 || r.MedianLatencyMs > 0 {
		shares := make([]float64, len(s.classes))
		for i, c := range s.classes {
			if shares[i] = 1; r.AdmissionQuotas[c.Name] > 0 {
				shares[i] = r.AdmissionQuotas[c.Name]
			}
		}
		s.balancer.RestoreAdmission(r.AdmissionRatio, shares, r.MedianLatencyMs)
	}
}

// startMs is when a host started by the list, or else by what was recalled of it.
func (s *Controller) startMs(e Endpoint) float64 {
	if h := s.restoredHost(e.Host); e.StartedMs == 0 && h != nil {
		return h.StartedMs
	}
	return e.StartedMs
}

func (s *Controller) restoredHost(host string) *state.Host {
	if s.restored.Restored == nil {
		return nil
	}
	return s.restored.Hosts[host]
}

// restoreHosts tells the module what was known of the hosts of the first list. One that started since is another.
func (s *Controller) restoreHosts(entries []Endpoint) {
	if s.restored.Restored == nil {
		return
	}
	for _, e := range entries {
		h := s.restored.Hosts[e.Host]
		if h == nil || h.Zone != e.Zone || e.StartedMs > 0 && h.StartedMs > 0 && e.StartedMs != h.StartedMs || e.StartedMs > s.nowMs-s.restored.ElapsedMs {
			continue
		}
		s.restored.hostCount++
		i := s.hostIndex.Index(e.Host)
		s.balancer.RestoreHost(i, h.Weight, h.MeanLatencyMs, h.Successes, h.Failures)
		if h.Ejected && e.State == routing.Ready { // one strike: a probe is due soon, and two more prove it
			how := routing.TimedOut
			if h.Unreachable {
				how = routing.Unreachable
			}
			s.balancer.ObserveHealthCheck(i, how, routing.UnknownLoad)
		}
		if h.ReportTrust < 1 {
			s.ingest.trust.Restore(e.Host, h.ReportTrust)
		}
		if h.DrainingSinceMs > 0 && e.State == routing.Draining {
			s.restored.drainingSinceMs[e.Host] = h.DrainingSinceMs
		}
	}
	s.restored.Hosts = map[string]*state.Host{}
}

// restoreProxy takes up what was known of a proxy that joins: what lately came to it, and, where it still holds what the
// earlier life gave it, that as a version, so that a delta goes on from there.
func (s *Controller) restoreProxy(m *session, tags []string) {
	if s.restored.Restored == nil {
		return
	}
	p := s.restored.Proxies[m.proxy]
	if delete(s.restored.Proxies, m.proxy); p == nil || p.Zone != s.deployment.Zones[m.zone] {
		return
	}
	s.restored.proxyCount++
	if len(p.RequestRates) == len(m.requestRates) {
		copy(m.requestRates, p.RequestRates)
	}
	if p.Tag == "" || !slices.Contains(tags, p.Tag) {
		return
	}
	if v := s.restoredTableSet(p.Tag, p.Tables); v != nil {
		s.restored.versionCount++
		s.carryOver(m, p.Tag, v)
	}
}

// checkCachedTables refuses what no proxy can hold.
func (s *Controller) checkCachedTables(o *CachedTables) error {
	if o == nil {
		return nil
	}
	if err := checkName("tag", o.Tag); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, t := range o.Tables {
		field := fmt.Sprintf("tables[%q]", t.Class)
		if _, ok := s.classIndex[t.Class]; !ok || seen[t.Class] {
			return invalidField(field, "the class is not in the settings, or stands there twice")
		}
		if seen[t.Class] = true; !(t.AdmissionRatio >= 0) || math.IsInf(t.AdmissionRatio, 0) || t.RetryPolicy < 0 || t.RetryPolicy > 3 || len(t.Hosts) > maxHosts || len(t.Hosts) != len(t.Weights) {
			return invalidField(field, "share %g, tries %d, %d hosts with %d weights", t.AdmissionRatio, t.RetryPolicy, len(t.Hosts), len(t.Weights))
		}
		for i, host := range t.Hosts {
			if w := t.Weights[i]; !(w > 0) || math.IsInf(w, 0) || i > 0 && host <= t.Hosts[i-1] || len(host) > 300 {
				return invalidField(field+".hosts", "%.300q has the weight %g, or is not in order", host, w)
			}
		}
	}
	return nil
}

// cachedTableSet makes a view of tables that a proxy offers. A class it does not name was not ordered.
func (s *Controller) cachedTableSet(tables []Table) *tableSet {
	s.tables.lastTableSetID++
	v := &tableSet{id: s.tables.lastTableSetID}
	for _, c := range s.classes {
		k := classTable{name: c.Name, policy: classPolicy{1, s.tables.defaultRetryPolicy, true}}
		for _, t := range tables {
			if t.Class != c.Name {
				continue
			}
			k.assigned, k.policy = t.Ordered, classPolicy{t.AdmissionRatio, t.RetryPolicy, true}
			for i, host := range t.Hosts {
				k.entries = append(k.entries, weightEntry{host, t.Weights[i]})
			}
		}
		v.classes = append(v.classes, k)
	}
	return v
}

// restoredTableSet makes a view of kept tables; nil where they are of other classes, or cannot be.
func (s *Controller) restoredTableSet(tag string, kept []*statepb.Class) *tableSet {
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
	if s.checkCachedTables(o) != nil {
		return nil
	}
	return s.cachedTableSet(o.Tables)
}

// restoredRate is what a proxy usually gets, by what it says or else by what was recalled of it.
func (s *Controller) restoredRate(name string, rate float64) float64 {
	if s.restored.Restored == nil || rate > 0 {
		return rate
	}
	if p := s.restored.Proxies[name]; p != nil {
		for _, x := range p.RequestRates {
			rate += x
		}
	}
	return rate
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

func (s *Controller) restoreReport() *RestoreReport {
	m := s.restored
	if m.Restored == nil {
		return nil
	}
	return &RestoreReport{m.Incarnation, m.ElapsedMs, m.Reason, m.hostCount, m.proxyCount, m.versionCount}
}

package controller

import (
	"maps"
	"math"
	"slices"

	"barleysail/intake"
	"barleysail/routing"
)

// HostInfo is how a host stands.
type HostInfo struct {
	Host      string              `json:"host"`
	Zone      string              `json:"zone"`
	Phase     string              `json:"phase"` // ready, draining or gone
	Withdrawn bool                `json:"withdrawn"`
	Listed    float64             `json:"listed_weight"`
	Weight    float64             `json:"weight"` // as told to proxies
	Operator  *OverrideInfo       `json:"operator,omitempty"`
	Why       routing.Explanation `json:"why"`
	Cores     float64             `json:"cores,omitempty"`
	Moves     []WeightChange      `json:"moves,omitempty"` // the last ones, the newest last
	Reports   *intake.HostReport  `json:"reports,omitempty"`
}

// OverrideInfo is what an operator set on a host.
type OverrideInfo struct {
	State   string  `json:"state"`
	Weight  float64 `json:"weight,omitempty"`
	Part    float64 `json:"part,omitempty"`
	Added   bool    `json:"added,omitempty"`
	By      string  `json:"by,omitempty"`
	At      float64 `json:"at"`
	Until   float64 `json:"until,omitempty"`
	Waiting bool    `json:"waiting,omitempty"` // for its turn
}

// HostInfos tells how the hosts stand, by name: those listed, and those that an operator took off the list.
func (s *Controller) HostInfos() []HostInfo {
	names := map[string]bool{}
	for host := range s.endpoints.effective {
		names[host] = true
	}
	for _, e := range s.endpoints.received {
		names[e.Host] = true
	}
	for host := range s.overrides.Overrides() {
		names[host] = true
	}
	raw := map[string]Endpoint{}
	for _, e := range s.endpoints.received {
		raw[e.Host] = e
	}
	var all []HostInfo
	for _, host := range slices.Sorted(maps.Keys(names)) {
		if i, ok := s.hostInfo(host, func() (Endpoint, bool) { e, ok := raw[host]; return e, ok }); ok {
			all = append(all, i)
		}
	}
	return all
}

// HostInfo tells how one host stands; false where there is no such host.
func (s *Controller) HostInfo(host string) (HostInfo, bool) {
	return s.hostInfo(host, func() (Endpoint, bool) {
		i := slices.IndexFunc(s.endpoints.received, func(e Endpoint) bool { return e.Host == host })
		if i < 0 {
			return Endpoint{}, false
		}
		return s.endpoints.received[i], true
	})
}

func (s *Controller) hostInfo(host string, raw func() (Endpoint, bool)) (HostInfo, bool) {
	set, isSet := s.overrides.Override(host)
	e, ok := s.endpoints.effective[host]
	if !ok {
		if e, ok = raw(); !ok && (!isSet || set.Added == nil) {
			return HostInfo{}, false
		} else if !ok {
			e = Endpoint{Host: host, Zone: set.Added.Zone, Weight: set.Added.Weight}
		}
		e.State = routing.Removed
	}
	i := HostInfo{Host: host, Zone: e.Zone, Phase: [...]string{"gone", "ready", "draining"}[e.State], Listed: e.Weight, Cores: e.Cores}
	if h, ok := s.hostIndex.IndexOf[host]; ok {
		if x, ok := s.balancer.Explain(h); ok {
			i.Why, i.Withdrawn, i.Weight = x, x.Ejected, x.PublishedWeight
		}
		if h < len(s.weightChanges) {
			i.Moves = slices.Clone(s.weightChanges[h])
		}
	}
	if r, ok := s.ingest.trust.Host(s.nowMs, host, s.hostCapacity(host)); ok {
		i.Reports = &r
	}
	if isSet {
		i.Operator = &OverrideInfo{set.State.String(), set.Weight, set.WeightRatio, set.Added != nil, set.Operator, set.SetAtMs, set.ExpiresMs, false}
	}
	if o, ok := s.overrides.Pending(host); ok {
		i.Operator = &OverrideInfo{State: o.State.String(), Weight: math.Max(o.Weight, 0), By: o.Operator, Waiting: true}
	}
	return i, true
}

// WeightChange is a change of a host's weight in the tables, with the figures of its moment.
type WeightChange struct {
	At   float64 `json:"at"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
	Rate float64 `json:"rate"`
	R    float64 `json:"r"`
	Cap  float64 `json:"cap"`
}

// maxWeightChanges of each host.
const maxWeightChanges = 4

// recordWeightChange notes a line of a table that all proxies share.
func (s *Controller) recordWeightChange(h int, from, to float64) {
	for len(s.weightChanges) <= h {
		s.weightChanges = append(s.weightChanges, nil)
	}
	x, _ := s.balancer.Explain(h)
	m := append(s.weightChanges[h], WeightChange{s.nowMs, from, to, x.ArrivalRate, x.MeanLatencyMs, x.Capacity})
	s.weightChanges[h] = m[max(len(m)-maxWeightChanges, 0):]
}

package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"barleysail/intake"
	"barleysail/operator"
	"barleysail/routing"
)

// ApplyOverrides takes operators' orders; several are carried out stepwise, each once the one before is through. An order
// that would break a rule is refused with an *operator.Refusal, and nothing of it is done.
func (s *Controller) ApplyOverrides(now float64, orders []operator.Command, out Effects) (waits bool, err error) {
	s.nowMs, s.effects = now, out
	if !s.endpoints.known {
		return false, &operator.RejectedError{Host: "the list", Reason: "it is not known yet"}
	}
	for _, o := range orders {
		if o.Add == nil {
			continue
		}
		e := Endpoint{Host: o.Host, Zone: o.Add.Zone, State: routing.Ready, Weight: o.Add.Weight, Cores: o.Add.Cores, Speed: o.Add.Speed}
		if err := s.checkEndpoints([]Endpoint{e}); err != nil {
			return false, err
		}
	}
	if len(orders) > 1 {
		waits, err = true, s.overrides.ApplyAll(s.overrideView(), orders)
	} else if len(orders) == 1 {
		waits, err = s.overrides.Apply(s.overrideView(), orders[0])
	}
	for _, o := range orders {
		word := "set"
		if err != nil {
			word = "refused"
		} else if waits {
			word = "waits"
		}
		s.recordEvent("operator", describeCommand(o)+": "+word)
	}
	if err != nil {
		return false, err
	}
	s.reapplyOverrides()
	s.nextOverrideMs = now
	return waits, nil
}

// describeCommand words an order.
func describeCommand(o operator.Command) string {
	text := o.Host + " " + o.State.String()
	switch {
	case o.Add != nil:
		text = o.Host + " add"
	case o.Remove:
		text = o.Host + " remove"
	case o.ClearWeight:
		text += ", the list's weight"
	case o.Weight >= 0 && o.Relative:
		text += fmt.Sprintf(", weight %g of the list's", o.Weight)
	case o.Weight >= 0:
		text += fmt.Sprintf(", weight %g", o.Weight)
	}
	if o.DurationMs > 0 {
		text += fmt.Sprintf(" for %g s", o.DurationMs/1000)
	}
	if o.Operator != "" {
		text += " by " + o.Operator
	}
	return text
}

// reapplyOverrides feeds the module the list with what operators set laid over it.
func (s *Controller) reapplyOverrides() {
	s.observeEndpoints(s.withOverrides(s.endpoints.received))
	s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
}

// withOverrides lays what operators set over a list.
func (s *Controller) withOverrides(raw []Endpoint) []Endpoint {
	sets := s.overrides.Overrides()
	if len(sets) == 0 {
		return raw
	}
	var all []Endpoint
	listed := map[string]bool{}
	laid := func(e Endpoint, set operator.Override) {
		switch set.State {
		case operator.Maintenance:
			return
		case operator.Draining:
			e.State = routing.Draining
		}
		if set.Weight > 0 {
			e.Weight = set.Weight
		} else if set.WeightRatio > 0 {
			e.Weight = math.Max(e.Weight, 0) * set.WeightRatio
			if e.Weight == 0 { // a weight of 0 says nothing
				e.Weight = set.WeightRatio
			}
		}
		all = append(all, e)
	}
	for _, e := range raw {
		listed[e.Host] = true
		laid(e, sets[e.Host])
	}
	for _, host := range slices.Sorted(maps.Keys(sets)) {
		if a := sets[host].Added; a != nil && !listed[host] {
			laid(Endpoint{Host: host, Zone: a.Zone, State: routing.Ready, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed,
				StartedMs: a.StartedMs}, sets[host])
		}
	}
	return all
}

// overrideView is what decisions on operators' orders go by.
func (s *Controller) overrideView() operator.View {
	v := operator.View{Now: s.nowMs, NoUpdatePending: s.channel.backlog() == 0 && s.channel.queuedMessages() == 0, DrainGraceMs: s.drainGraceMs,
		Known: func(host string) bool { _, ok := s.HostInfo(host); return ok }}
	raw := map[string]float64{}
	for _, e := range s.endpoints.received {
		raw[e.Host] = e.Weight
	}
	for _, host := range slices.Sorted(maps.Keys(s.endpoints.effective)) {
		e := s.endpoints.effective[host]
		h := operator.Host{Name: host, Zone: e.Zone, Ready: e.State == routing.Ready, SlowStartFactor: 1, Weight: e.Weight}
		if w, ok := raw[host]; ok {
			h.Weight = w
		}
		if h.Weight == 0 {
			h.Weight = 1
		}
		if x, ok := s.balancer.Explain(s.hostIndex.IndexOf[host]); ok {
			h.SlowStartFactor = x.SlowStartFactor
			if x.StartedMs >= 0 {
				h.WarmAtMs = x.StartedMs + s.slowStartMs
			}
			h.Ready = h.Ready && !x.Ejected
		}
		v.Hosts = append(v.Hosts, h)
	}
	for _, c := range s.classes {
		if c.ZoneLocal {
			v.ZoneLocalClasses = append(v.ZoneLocalClasses, c.Name)
		}
	}
	zones := map[string]bool{}
	for _, m := range s.sessions.byIndex {
		if m != nil {
			zones[s.deployment.Zones[m.zone]] = true
		}
	}
	v.Zones = slices.Sorted(maps.Keys(zones))
	return v
}

// applyDueOverrides carries out operators' orders that are due.
func (s *Controller) applyDueOverrides() {
	if s.nowMs < s.nextOverrideMs {
		return
	}
	if done := s.overrides.ApplyDue(s.overrideView()); len(done) > 0 {
		for _, o := range done {
			s.recordEvent("operator", describeCommand(o)+": set")
		}
		s.reapplyOverrides()
	}
	s.nextOverrideMs = s.overrides.NextDeadline(s.nowMs, s.drainGraceMs)
}

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

// ProxyZone is the zone of a proxy that has joined, empty where it has not.
func (s *Controller) ProxyZone(proxy string) string {
	if m := s.sessions.byProxy[proxy]; m != nil {
		return s.deployment.Zones[m.zone]
	}
	return ""
}

// HasEndpoint tells whether a host is on the list, with what operators set laid over it.
func (s *Controller) HasEndpoint(host string) bool { _, ok := s.endpoints.effective[host]; return ok }

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

// ProxyInfo is how a proxy stands.
type ProxyInfo struct {
	Proxy   string             `json:"proxy"`
	Zone    string             `json:"zone"`
	Tag     string             `json:"tag"`   // the newest version
	Acked   bool               `json:"acked"` // it polled with that
	Held    bool               `json:"held"`  // a poll of it is held
	Rates   map[string]float64 `json:"rates"`
	Waiting float64            `json:"lines_waiting"`
}

// ProxyInfos tells how the joined proxies stand, by name.
func (s *Controller) ProxyInfos() []ProxyInfo {
	var all []ProxyInfo
	for _, name := range slices.Sorted(maps.Keys(s.sessions.byProxy)) {
		m := s.sessions.byProxy[name]
		i := ProxyInfo{Proxy: name, Zone: s.deployment.Zones[m.zone], Held: m.pendingPoll != nil, Rates: map[string]float64{}}
		if n := len(m.versions); n > 0 {
			i.Tag, i.Acked = s.tagOf(&m.versions[n-1]), m.ackedVersion == m.versions[n-1].number
		}
		if m.queuedMessage != nil {
			i.Waiting = m.queuedMessage.entries
		}
		for k, c := range s.classes {
			i.Rates[c.Name] = m.requestRates[k]
		}
		all = append(all, i)
	}
	return all
}

// PublishedTables gives what a proxy was last given; false where it has not joined or has got nothing.
func (s *Controller) PublishedTables(proxy string) (Response, bool) {
	m := s.sessions.byProxy[proxy]
	if m == nil || len(m.versions) == 0 {
		return Response{}, false
	}
	v := m.versions[len(m.versions)-1]
	return Response{Kind: Snapshot, Proxy: proxy, Tag: s.tagOf(&v), view: v.tables}, true
}

// Event is what a steward did or was told, worth an operator's eye.
type Event struct {
	Number int64   `json:"number"`
	At     float64 `json:"at"`
	Kind   string  `json:"kind"` // mode, list, operator, joined, left
	Text   string  `json:"text"`
}

// maxEvents are the newest ones.
const maxEvents = 1024

func (s *Controller) recordEvent(kind, text string) {
	s.events.lastNumber++
	e := Event{s.events.lastNumber, s.nowMs, kind, text}
	if len(s.events.newest) == maxEvents {
		s.events.newest = append(s.events.newest[:0], s.events.newest[1:]...)
	}
	s.events.newest = append(s.events.newest, e)
}

type eventLog struct {
	lastNumber int64
	newest     []Event
}

// NewestEvent is the number of the newest one, 0 where there is none.
func (s *Controller) NewestEvent() int64 { return s.events.lastNumber }

// Events gives those after a number, as far as they are kept.
func (s *Controller) Events(after int64) []Event {
	i := sort.Search(len(s.events.newest), func(i int) bool { return s.events.newest[i].Number > after })
	return slices.Clone(s.events.newest[i:])
}

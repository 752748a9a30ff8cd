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
	s.now, s.out = now, out
	if !s.list.known {
		return false, &operator.RejectedError{Host: "the list", Reason: "it is not known yet"}
	}
	for _, o := range orders {
		if o.Add == nil {
			continue
		}
		e := Endpoint{Host: o.Host, Zone: o.Add.Zone, State: routing.Ready, Weight: o.Add.Weight, Cores: o.Add.Cores, Speed: o.Add.Speed}
		if err := s.checkList([]Endpoint{e}); err != nil {
			return false, err
		}
	}
	if len(orders) > 1 {
		waits, err = true, s.book.ApplyAll(s.operatorsView(), orders)
	} else if len(orders) == 1 {
		waits, err = s.book.Apply(s.operatorsView(), orders[0])
	}
	for _, o := range orders {
		word := "set"
		if err != nil {
			word = "refused"
		} else if waits {
			word = "waits"
		}
		s.event("operator", describeOrder(o)+": "+word)
	}
	if err != nil {
		return false, err
	}
	s.lay()
	s.stepAt = now
	return waits, nil
}

// describeOrder words an order.
func describeOrder(o operator.Command) string {
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

// lay feeds the module the list with what operators set laid over it.
func (s *Controller) lay() {
	s.take(s.over(s.list.raw))
	s.round.soon(s.now, s.polls.MinRoundIntervalMs)
}

// over lays what operators set over a list.
func (s *Controller) over(raw []Endpoint) []Endpoint {
	sets := s.book.Overrides()
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

// operatorsView is what decisions on operators' orders go by.
func (s *Controller) operatorsView() operator.View {
	v := operator.View{Now: s.now, NoUpdatePending: s.channel.waiting() == 0 && s.channel.messages() == 0, DrainGraceMs: s.grace,
		Known: func(host string) bool { _, ok := s.HostInfo(host); return ok }}
	raw := map[string]float64{}
	for _, e := range s.list.raw {
		raw[e.Host] = e.Weight
	}
	for _, host := range slices.Sorted(maps.Keys(s.list.entries)) {
		e := s.list.entries[host]
		h := operator.Host{Name: host, Zone: e.Zone, Ready: e.State == routing.Ready, SlowStartFactor: 1, Weight: e.Weight}
		if w, ok := raw[host]; ok {
			h.Weight = w
		}
		if h.Weight == 0 {
			h.Weight = 1
		}
		if x, ok := s.module.Explain(s.hosts.IndexOf[host]); ok {
			h.SlowStartFactor = x.SlowStartFactor
			if x.StartedMs >= 0 {
				h.WarmAtMs = x.StartedMs + s.cold
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
	for _, m := range s.members.byIndex {
		if m != nil {
			zones[s.fleet.Zones[m.zone]] = true
		}
	}
	v.Zones = slices.Sorted(maps.Keys(zones))
	return v
}

// step carries out operators' orders that are due.
func (s *Controller) step() {
	if s.now < s.stepAt {
		return
	}
	if done := s.book.ApplyDue(s.operatorsView()); len(done) > 0 {
		for _, o := range done {
			s.event("operator", describeOrder(o)+": set")
		}
		s.lay()
	}
	s.stepAt = s.book.NextDeadline(s.now, s.grace)
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

// movesKept of each host.
const movesKept = 4

// moved notes a line of a table that all proxies share.
func (s *Controller) moved(h int, from, to float64) {
	for len(s.moves) <= h {
		s.moves = append(s.moves, nil)
	}
	x, _ := s.module.Explain(h)
	m := append(s.moves[h], WeightChange{s.now, from, to, x.ArrivalRate, x.MeanLatencyMs, x.Capacity})
	s.moves[h] = m[max(len(m)-movesKept, 0):]
}

// HostInfos tells how the hosts stand, by name: those listed, and those that an operator took off the list.
func (s *Controller) HostInfos() []HostInfo {
	names := map[string]bool{}
	for host := range s.list.entries {
		names[host] = true
	}
	for _, e := range s.list.raw {
		names[e.Host] = true
	}
	for host := range s.book.Overrides() {
		names[host] = true
	}
	raw := map[string]Endpoint{}
	for _, e := range s.list.raw {
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
	if m := s.members.byName[proxy]; m != nil {
		return s.fleet.Zones[m.zone]
	}
	return ""
}

// HasEndpoint tells whether a host is on the list, with what operators set laid over it.
func (s *Controller) HasEndpoint(host string) bool { _, ok := s.list.entries[host]; return ok }

// HostInfo tells how one host stands; false where there is no such host.
func (s *Controller) HostInfo(host string) (HostInfo, bool) {
	return s.hostInfo(host, func() (Endpoint, bool) {
		i := slices.IndexFunc(s.list.raw, func(e Endpoint) bool { return e.Host == host })
		if i < 0 {
			return Endpoint{}, false
		}
		return s.list.raw[i], true
	})
}

func (s *Controller) hostInfo(host string, raw func() (Endpoint, bool)) (HostInfo, bool) {
	set, isSet := s.book.Override(host)
	e, ok := s.list.entries[host]
	if !ok {
		if e, ok = raw(); !ok && (!isSet || set.Added == nil) {
			return HostInfo{}, false
		} else if !ok {
			e = Endpoint{Host: host, Zone: set.Added.Zone, Weight: set.Added.Weight}
		}
		e.State = routing.Removed
	}
	i := HostInfo{Host: host, Zone: e.Zone, Phase: [...]string{"gone", "ready", "draining"}[e.State], Listed: e.Weight, Cores: e.Cores}
	if h, ok := s.hosts.IndexOf[host]; ok {
		if x, ok := s.module.Explain(h); ok {
			i.Why, i.Withdrawn, i.Weight = x, x.Ejected, x.PublishedWeight
		}
		if h < len(s.moves) {
			i.Moves = slices.Clone(s.moves[h])
		}
	}
	if r, ok := s.intake.trust.Host(s.now, host, s.capacity(host)); ok {
		i.Reports = &r
	}
	if isSet {
		i.Operator = &OverrideInfo{set.State.String(), set.Weight, set.WeightRatio, set.Added != nil, set.Operator, set.SetAtMs, set.ExpiresMs, false}
	}
	if o, ok := s.book.Pending(host); ok {
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
	for _, name := range slices.Sorted(maps.Keys(s.members.byName)) {
		m := s.members.byName[name]
		i := ProxyInfo{Proxy: name, Zone: s.fleet.Zones[m.zone], Held: m.poll != nil, Rates: map[string]float64{}}
		if n := len(m.versions); n > 0 {
			i.Tag, i.Acked = s.tagOf(&m.versions[n-1]), m.acked == m.versions[n-1].number
		}
		if m.message != nil {
			i.Waiting = m.message.lines
		}
		for k, c := range s.classes {
			i.Rates[c.Name] = m.rates[k]
		}
		all = append(all, i)
	}
	return all
}

// PublishedTables gives what a proxy was last given; false where it has not joined or has got nothing.
func (s *Controller) PublishedTables(proxy string) (Response, bool) {
	m := s.members.byName[proxy]
	if m == nil || len(m.versions) == 0 {
		return Response{}, false
	}
	v := m.versions[len(m.versions)-1]
	return Response{Kind: Snapshot, Proxy: proxy, Tag: s.tagOf(&v), view: v.view}, true
}

// Event is what a steward did or was told, worth an operator's eye.
type Event struct {
	Number int64   `json:"number"`
	At     float64 `json:"at"`
	Kind   string  `json:"kind"` // mode, list, operator, joined, left
	Text   string  `json:"text"`
}

// eventsKept are the newest ones.
const eventsKept = 1024

func (s *Controller) event(kind, text string) {
	s.events.number++
	e := Event{s.events.number, s.now, kind, text}
	if len(s.events.all) == eventsKept {
		s.events.all = append(s.events.all[:0], s.events.all[1:]...)
	}
	s.events.all = append(s.events.all, e)
}

type events struct {
	number int64
	all    []Event
}

// NewestEvent is the number of the newest one, 0 where there is none.
func (s *Controller) NewestEvent() int64 { return s.events.number }

// Events gives those after a number, as far as they are kept.
func (s *Controller) Events(after int64) []Event {
	i := sort.Search(len(s.events.all), func(i int) bool { return s.events.all[i].Number > after })
	return slices.Clone(s.events.all[i:])
}

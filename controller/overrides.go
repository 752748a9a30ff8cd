package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

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

package routing

import "sort"

// join binds proxies to the shared table: those without a table of ours first, then by their traffic. One
// that cannot have the whole table in time first gets a few hosts, since it must not go on by an old one;
// so does every proxy under strain. A hand that lost servers is filled up.
func (s *Balancer) join(w UpdateWriter, c ControlChannel, b *batch, unbound int, lines []int, fair float64, behind bool) {
	whole := func(p *proxy) float64 { return float64(lines[s.base(p.zone)]) + 2 }
	short := func(p *proxy) bool {
		return p.own && !s.resting && (len(p.hand) < handLeast || p.held*fair < shortHand*p.rate)
	}
	var due []int
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined && (!p.bound || p.own != s.dealt && !s.resting || short(p)) {
			due = append(due, i)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		a, b := &s.proxies[due[i]], &s.proxies[due[j]]
		return !a.bound && b.bound || a.bound == b.bound && a.rate > b.rate
	})
	for _, i := range due {
		p := &s.proxies[i]
		if !c.may(len(p.sent), guardsTo) && (p.bound || !c.may(len(p.sent), drainsTo)) {
			continue
		}
		cost := whole(p) + b.head
		late := !s.local && s.tooLate(float64(unbound)*cost+b.before, c)
		few := s.dealt || s.resting || (late || behind) && !p.bound
		room := b.queue+cost <= joinsTo*c.MaxBacklog || b.queue == 0
		if !few && !behind && room && (!p.bound || s.purse > c.EntriesPerSecond/2) {
			if b.reach(i, cost-b.head); p.bound {
				s.purse -= cost
			}
			w.AssignTable(i, s.base(p.zone), 0)
			p.bound, p.own = true, false
		} else if !s.local && (few && !p.own || short(p) && !behind) &&
			b.queue+b.head+handLeast <= guardsTo*c.MaxBacklog {
			for !p.own && len(p.hand) > 0 {
				w.SetWeight(s.own(i), p.hand[0], 0)
				p.hand = p.hand[1:]
			}
			if n := s.deal(w, i, fair); n > 0 {
				if b.reach(i, float64(n)); !p.own {
					b.reach(i, 1)
					w.AssignTable(i, s.own(i), 0)
				}
				p.bound, p.own = true, true
			}
		}
	}
}

// base is the table that a zone's proxies share: one for all, or the zone's where a class may not leave it.
func (s *Balancer) base(zone int) int {
	if s.local {
		return 1 + zone
	}
	return 0
}

// own is the number of a proxy's own table.
func (s *Balancer) own(p int) int { return 1 + s.fleet.Zones + p }

// SubsetTable is the number of the table that a proxy may be given for itself.
func (s *Balancer) SubsetTable(p int) int { return s.own(p) }

// tally counts the proxies that are bound and those that wait, and for each server the proxies that hold it
// and the traffic that hands bring it. It gives the most messages that one proxy was sent lately, and the
// traffic for each part of weight, too. Messages older than so much have left the channel without an answer.
func (s *Balancer) tally(over, oldest float64) (bound, unbound, most int, fair float64) {
	shared, traffic, weight := make([]int, s.fleet.Zones+1), 0.0, 1e-9
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined {
			for len(p.sent) > 0 && p.sent[0] < s.now-over {
				p.sent = p.sent[1:]
			}
			for len(p.unanswered) > 0 && p.unanswered[0].at < s.now-oldest {
				s.gone(p, 1)
			}
			most = max(most, len(p.sent))
			traffic += p.rate
			if !p.bound {
				unbound++
			} else if bound++; !p.own {
				shared[s.base(p.zone)]++
			}
		}
	}
	for _, h := range s.order {
		v := &s.servers[h]
		v.holders, v.carried, weight = shared[s.base(v.zone)], 0, weight+v.told
	}
	for i := range s.proxies {
		p := &s.proxies[i]
		p.held = 0
		for k := 0; p.joined && p.own && k < len(p.hand); k++ {
			v := &s.servers[p.hand[k]]
			v.holders, v.carried, p.held = v.holders+1, v.carried+p.rate/float64(len(p.hand)), p.held+v.told
		}
	}
	return bound, unbound, most, traffic / weight
}

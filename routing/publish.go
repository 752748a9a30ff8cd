package routing

import (
	"math"
	"slices"
	"sort"
)

const (
	worthTell = 0.06 // relative change of a weight that is worth a line
	unlimited = 1e6  // a level where shares are not heeded
)

// publish writes what changed, as much as the channel takes: removals, then what guards cold and withdrawn
// servers, joins, and weights, the largest changes first, once most proxies have the last ones and the
// price of orders allows. Each may fill a part of the caps; what does not fit waits. In the channel is all
// that joined proxies have not answered, less as much as they answered within the last way of a message:
// that is taken to be on its way now. What is older than a full channel at the least pace has left it.
func (s *Balancer) publish(w UpdateWriter, c ControlChannel) {
	passed := s.now - s.filledAt
	s.filledAt = s.now
	s.purse = math.Min(c.EntriesPerSecond, s.purse+passed/1000*c.EntriesPerSecond*ordersPart/math.Max(c.Cost, ordersPart))
	s.arriving *= math.Exp(-passed / math.Max(c.PropagationDelayMs, 1))
	lines := make([]int, s.fleet.Zones+1)
	bound, unbound, most, fair := s.tally(c.MessageWindowMs, c.PropagationDelayMs+c.MaxBacklog/(c.EntriesPerSecond*crawl)*1000)
	s.costs = grown(s.costs, len(s.proxies), 0)
	clear(s.costs)
	b := &batch{before: math.Max(0, s.waiting-s.arriving), head: c.MessageOverhead + 1 + float64(len(s.shares)),
		cost: s.costs}
	b.queue = b.before
	if s.number == 0 && unbound == 0 {
		return
	}
	fits := func(n int, part float64) bool {
		cost := b.queue + float64(n) + float64(min(n, bound-b.asked))*b.head
		return cost <= part*c.MaxBacklog && cost+s.waiting-b.before <= drainsTo*c.MaxBacklog &&
			(b.asked >= bound || c.may(most, part))
	}
	if heats := s.heat(float64(s.fleet.ProxyEjectAfter), s.guard.CollapseMultiple); heats != s.heats {
		s.heats = heats
		w.Log(Event{SlowStartChanged, NoHost, []Field{{"allowed", indicator(heats), 0}, {"success_ratio", s.fulfilled, 2}}})
	}
	bare, thin := make([]bool, len(lines)), make([]bool, len(lines))
	for z := range s.fleet.Zones {
		bare[s.base(z)], thin[s.base(z)] = !s.left(s.base(z), false), !s.left(s.base(z), true)
	}
	var later []change
	soon := s.now >= s.urgentAt+gather
	order := slices.Clone(s.order)
	if s.behind { // the channel is short: first what has waited longest
		sort.SliceStable(order, func(i, j int) bool {
			return s.servers[order[i]].since < s.servers[order[j]].since
		})
	}
	behind := false // a removal or start is not told yet: what else a proxy gets would count as knowing it
	for rank, part := range []float64{drainsTo, drainsTo, guardsTo} {
		for _, h := range order {
			v := &s.servers[h]
			want, scant := s.want(v, bare[s.base(v.zone)]), thin[s.base(v.zone)]
			started := v.phase == Ready && s.starting(v)
			if first := rank < 2; first != (v.phase != Ready || started) || first && started != (rank == 1) {
				continue
			}
			if want > 0 {
				lines[s.base(v.zone)]++
			}
			size, guards := math.Abs(want-v.told), started || want == 0 || scant && v.told == 0
			if size > 0 && (v.holders == 0 || guards && !behind && (soon || scant) && fits(v.holders, part)) {
				if v.holders > 0 {
					s.urgentAt = s.now
				}
				s.write(w, h, want, b)
			} else if behind = behind || rank < 2 && size > 0; size > worthTell*math.Max(v.told, floorPart*v.listed) {
				later = append(later, change{h, want, size})
			}
		}
	}
	s.behind = behind
	if s.open() && !behind && fits(bound, guardsTo) {
		s.tellLevels(w, b)
	}
	s.join(w, c, b, unbound, lines, fair, behind)
	b.number = s.number%60000 + 1
	// A drain that comes next must still leave in time, unless no line to all proxies does.
	spare, line := c.EntriesPerSecond*s.guard.DrainGraceMs/1000*weightsIn, float64(bound)*(b.head+1)
	if start := b.queue; s.open() && !behind {
		sort.SliceStable(later, func(i, j int) bool { return later[i].size > later[j].size })
		for _, l := range later {
			if was := b.queue; (s.purse > 0 || was > start) && fits(s.servers[l.h].holders, weightsTo) &&
				(was <= spare || line > spare) {
				s.write(w, l.h, l.want, b)
				s.purse -= b.queue - was
			}
		}
		if b.queue > start {
			s.mark, s.markAt, s.asked, s.answers = b.number, s.now, b.asked, 0
		}
	}
	if b.queue > b.before {
		w.StampVersion(b.number)
		s.number = b.number
	}
	for i, cost := range b.cost {
		if p := &s.proxies[i]; cost > 0 {
			p.sent = append(p.sent, s.now)
			p.unanswered = append(p.unanswered, message{b.number, cost, s.now})
			s.waiting += cost
		}
	}
}

// write sets the line of a server in every table that holds it.
func (s *Balancer) write(w UpdateWriter, h int, want float64, b *batch) {
	v := &s.servers[h]
	v.told = want
	w.SetWeight(s.base(v.zone), h, want)
	for i := 0; v.holders > 0 && i < len(s.proxies); i++ {
		p := &s.proxies[i]
		if at := slices.Index(p.hand, h); p.joined && p.bound && p.own && at >= 0 {
			b.reach(i, 1)
			if s.warmth(v, s.guard) < 1 { // a cold one might be all that is left of a hand
				want = 0
			}
			if w.SetWeight(s.own(i), h, want); want == 0 {
				p.hand = slices.Delete(p.hand, at, at+1)
			}
		} else if p.joined && p.bound && !p.own && s.base(p.zone) == s.base(v.zone) {
			b.reach(i, 1)
		}
	}
}

// tellLevels writes what changed of levels and ways of trying again, for all joined proxies. A further try
// follows only proof that the first never ran, so it is safe for every class.
func (s *Balancer) tellLevels(w UpdateWriter, b *batch) {
	changed := s.tries != s.toldTries
	s.toldTries = s.tries
	for k, share := range s.shares {
		if math.Abs(share-s.toldShares[k]) <= 0.02 && !changed {
			continue
		}
		s.toldShares[k] = share
		if !s.fleet.AdmissionControl {
			share = unlimited
		}
		w.SetAdmission(AllTables, 1<<k, share, s.tries)
		for i := range s.proxies {
			if s.proxies[i].joined {
				b.reach(i, 1)
			}
		}
	}
}

// change is a weight that is not yet told.
type change struct {
	h          int
	want, size float64
}

// batch is what one round orders: lines that wait before and after it, and what each proxy costs, a head for
// each that it reaches.
type batch struct {
	number, asked       int
	before, queue, head float64
	cost                []float64
}

// reach counts lines to a proxy.
func (b *batch) reach(p int, lines float64) {
	if b.cost[p] == 0 {
		b.asked, lines = b.asked+1, lines+b.head
	}
	b.cost[p] += lines
	b.queue += lines
}

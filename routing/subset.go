package routing

import (
	"slices"
	"sort"
)

const (
	handLeast    = 4       // hosts in a proxy's own table
	strainPart   = 0.15    // of a host's tries fail
	strainHosts  = 0.6     // of the hosts are such in a strain
	strainIdle   = 0.4     // are such though not busy
	strainSilent = 0.35    // at most leave a probe unanswered
	shortHand    = 0.7     // of its due weight, under which a hand is filled up
	dealtFirst   = 30000.0 // ms that tables of a few hosts are kept under strain
)

// strain tells connections that fail or are dear from a lack of capacity: many servers fail tries although
// they answer probes and report idle cores. Then every proxy gets a table of its own with a few hosts, to
// which it keeps its connections. The strain no longer shows then, so the one table comes back by trial,
// after a time that doubles when it soon returns. Also guards against links that lose tries everywhere;
// harms where hosts fail tries for reasons of their own, by a coarser balance.
func (s *Balancer) strain(w UpdateWriter) {
	n, failing, idle, silent := 1.0, 0.0, 0.0, 0.0
	for _, h := range s.order {
		if v := &s.servers[h]; v.won+v.lost >= 1 && v.phase == Ready {
			n++
			silent += float64(min(v.strikes, 1))
			if v.lost > strainPart*(v.won+v.lost) {
				failing++
				if b := v.load.busy(); b >= 0 && b < easeUnder {
					idle++
				}
			}
		}
	}
	s.strained++
	if failing < strainHosts*n || idle < strainIdle*n || silent > strainSilent*n || s.now < s.stormNext {
		s.strained = 0
	}
	if s.dealt && s.now >= s.dealtUntil {
		s.dealt = false
		w.Log(Event{SubsetModeLeft, NoHost, []Field{{"success_ratio", s.fulfilled, 2}}})
	} else if !s.dealt && s.strained > 1 && !s.local {
		if s.dealtFor *= 2; s.now > s.dealtUntil+s.dealtFor || s.dealtFor == 0 {
			s.dealtFor = dealtFirst
		}
		s.dealt, s.dealtUntil = true, s.now+s.dealtFor
		w.Log(Event{SubsetModeEntered, NoHost, []Field{{"for_s", s.dealtFor / 1000, 0}, {"failing_hosts", failing, 0},
			{"hosts", n - 1, 0}, {"failing_idle_hosts", idle, 0}, {"success_ratio", s.fulfilled, 2}}})
	}
}

// deal fills up the hand of a proxy to the weight its traffic is due, with servers that carry least for
// their weight so far, of its own zone while they are under their fair share.
func (s *Balancer) deal(w UpdateWriter, i int, fair float64) int {
	p, got, free := &s.proxies[i], 0.0, []int(nil)
	near := func(v *server) bool { return v.zone == p.zone && v.carried < fair*v.told }
	for _, h := range s.order {
		if v := &s.servers[h]; slices.Contains(p.hand, h) {
			got += v.told
		} else if v.told > 0 && s.want(v, false) > 0 && s.warmth(v, s.guard) >= 1 {
			free = append(free, h)
		}
	}
	sort.SliceStable(free, func(i, j int) bool {
		a, b := &s.servers[free[i]], &s.servers[free[j]]
		return near(a) && !near(b) || near(a) == near(b) && a.carried*b.told < b.carried*a.told
	})
	had := len(p.hand)
	if s.resting {
		free, got = []int{s.keep}, 1e9
	}
	for _, h := range free {
		if len(p.hand) >= handLeast && got*fair >= p.rate {
			break
		}
		p.hand, got = append(p.hand, h), got+s.servers[h].told
		w.SetWeight(s.own(i), h, s.servers[h].told)
	}
	for _, h := range p.hand {
		s.servers[h].carried += p.rate / float64(len(p.hand))
	}
	return len(p.hand) - had
}

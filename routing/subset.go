package routing

import (
	"slices"
	"sort"
)

const (
	minSubsetSize         = 4       // hosts in a proxy's own table
	pressureFailureRatio  = 0.15    // of a host's tries fail
	pressureHostShare     = 0.6     // of the hosts are such in a strain
	pressureIdleShare     = 0.4     // are such though not busy
	pressureMaxUnanswered = 0.35    // at most leave a probe unanswered
	subsetRefillRatio     = 0.7     // of its due weight, under which a hand is filled up
	subsetModeInitialMs   = 30000.0 // ms that tables of a few hosts are kept under strain
)

// updateSubsetMode tells connections that fail or are dear from a lack of capacity: many servers fail tries although
// they answer probes and report idle cores. Then every proxy gets a table of its own with a few hosts, to
// which it keeps its connections. The strain no longer shows then, so the one table comes back by trial,
// after a time that doubles when it soon returns. Also guards against links that lose tries everywhere;
// harms where hosts fail tries for reasons of their own, by a coarser balance.
func (s *Balancer) updateSubsetMode(w UpdateWriter) {
	n, failing, idle, silent := 1.0, 0.0, 0.0, 0.0
	for _, h := range s.hostOrder {
		if v := &s.hosts[h]; v.recentSuccesses+v.recentFailures >= 1 && v.state == Ready {
			n++
			silent += float64(min(v.consecutiveFailures, 1))
			if v.recentFailures > pressureFailureRatio*(v.recentSuccesses+v.recentFailures) {
				failing++
				if b := v.load.effectiveUtilization(); b >= 0 && b < recoverUtilization {
					idle++
				}
			}
		}
	}
	s.pressureRounds++
	if failing < pressureHostShare*n || idle < pressureIdleShare*n || silent > pressureMaxUnanswered*n || s.nowMs < s.nextQuiesceAtMs {
		s.pressureRounds = 0
	}
	if s.subsetMode && s.nowMs >= s.subsetModeUntilMs {
		s.subsetMode = false
		w.Log(Event{SubsetModeLeft, NoHost, []Field{{"success_ratio", s.successRatio, 2}}})
	} else if !s.subsetMode && s.pressureRounds > 1 && !s.zoneLocal {
		if s.subsetModeMs *= 2; s.nowMs > s.subsetModeUntilMs+s.subsetModeMs || s.subsetModeMs == 0 {
			s.subsetModeMs = subsetModeInitialMs
		}
		s.subsetMode, s.subsetModeUntilMs = true, s.nowMs+s.subsetModeMs
		w.Log(Event{SubsetModeEntered, NoHost, []Field{{"for_s", s.subsetModeMs / 1000, 0}, {"failing_hosts", failing, 0},
			{"hosts", n - 1, 0}, {"failing_idle_hosts", idle, 0}, {"success_ratio", s.successRatio, 2}}})
	}
}

// fillSubset fills up the hand of a proxy to the weight its traffic is due, with servers that carry least for
// their weight so far, of its own zone while they are under their fair share.
func (s *Balancer) fillSubset(w UpdateWriter, i int, fair float64) int {
	p, got, free := &s.proxies[i], 0.0, []int(nil)
	near := func(v *hostRecord) bool { return v.zone == p.zone && v.subsetRate < fair*v.published }
	for _, h := range s.hostOrder {
		if v := &s.hosts[h]; slices.Contains(p.subset, h) {
			got += v.published
		} else if v.published > 0 && s.targetWeight(v, false) > 0 && s.slowStartFactor(v, s.limits) >= 1 {
			free = append(free, h)
		}
	}
	sort.SliceStable(free, func(i, j int) bool {
		a, b := &s.hosts[free[i]], &s.hosts[free[j]]
		return near(a) && !near(b) || near(a) == near(b) && a.subsetRate*b.published < b.subsetRate*a.published
	})
	had := len(p.subset)
	if s.quiescing {
		free, got = []int{s.quiesceHost}, 1e9
	}
	for _, h := range free {
		if len(p.subset) >= minSubsetSize && got*fair >= p.requestRate {
			break
		}
		p.subset, got = append(p.subset, h), got+s.hosts[h].published
		w.SetWeight(s.subsetTable(i), h, s.hosts[h].published)
	}
	for _, h := range p.subset {
		s.hosts[h].subsetRate += p.requestRate / float64(len(p.subset))
	}
	return len(p.subset) - had
}

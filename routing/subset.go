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

// subsetModeState tells whether each proxy is given a subset of the hosts.
type subsetModeState struct {
	active         bool
	untilMs        float64 // when it ends, or ended
	durationMs     float64 // of the last time
	pressureRounds int     // report rounds in a row with connection pressure
}

// updateSubsetMode tells connections that fail or are dear from a lack of capacity: many servers fail tries although
// they answer probes and report idle cores. Then every proxy gets a table of its own with a few hosts, to
// which it keeps its connections. The strain no longer shows then, so the one table comes back by trial,
// after a time that doubles when it soon returns. Also guards against links that lose tries everywhere;
// harms where hosts fail tries for reasons of their own, by a coarser balance.
func (s *Balancer) updateSubsetMode(w UpdateWriter) {
	n, failing, idle, silent := 1.0, 0.0, 0.0, 0.0
	for _, h := range s.hostOrder {
		if v := &s.hosts[h]; v.stats.recentSuccesses+v.stats.recentFailures >= 1 && v.endpoint.state == Ready {
			n++
			silent += float64(min(v.health.consecutiveFailures, 1))
			if v.stats.recentFailures > pressureFailureRatio*(v.stats.recentSuccesses+v.stats.recentFailures) {
				failing++
				if b := v.load.effectiveUtilization(); b >= 0 && b < recoverUtilization {
					idle++
				}
			}
		}
	}
	s.subsetMode.pressureRounds++
	if failing < pressureHostShare*n || idle < pressureIdleShare*n || silent > pressureMaxUnanswered*n || s.nowMs < s.retryStorm.nextQuiesceAtMs {
		s.subsetMode.pressureRounds = 0
	}
	if s.subsetMode.active && s.nowMs >= s.subsetMode.untilMs {
		s.subsetMode.active = false
		w.Log(Event{SubsetModeLeft, NoHost, []Field{{"success_ratio", s.fleet.successRatio, 2}}})
	} else if !s.subsetMode.active && s.subsetMode.pressureRounds > 1 && !s.zoneLocal {
		if s.subsetMode.durationMs *= 2; s.nowMs > s.subsetMode.untilMs+s.subsetMode.durationMs || s.subsetMode.durationMs == 0 {
			s.subsetMode.durationMs = subsetModeInitialMs
		}
		s.subsetMode.active, s.subsetMode.untilMs = true, s.nowMs+s.subsetMode.durationMs
		w.Log(Event{SubsetModeEntered, NoHost, []Field{{"for_s", s.subsetMode.durationMs / 1000, 0}, {"failing_hosts", failing, 0},
			{"hosts", n - 1, 0}, {"failing_idle_hosts", idle, 0}, {"success_ratio", s.fleet.successRatio, 2}}})
	}
}

// fillSubset fills up the hand of a proxy to the weight its traffic is due, with servers that carry least for
// their weight so far, of its own zone while they are under their fair share.
func (s *Balancer) fillSubset(w UpdateWriter, i int, fair float64) int {
	p, got, free := &s.proxies[i], 0.0, []int(nil)
	near := func(v *hostRecord) bool {
		return v.endpoint.zone == p.zone && v.publication.subsetRate < fair*v.publication.weight
	}
	for _, h := range s.hostOrder {
		if v := &s.hosts[h]; slices.Contains(p.subset, h) {
			got += v.publication.weight
		} else if v.publication.weight > 0 && s.targetWeight(v, false) > 0 && s.slowStartFactor(v) >= 1 {
			free = append(free, h)
		}
	}
	sort.SliceStable(free, func(i, j int) bool {
		a, b := &s.hosts[free[i]], &s.hosts[free[j]]
		return near(a) && !near(b) || near(a) == near(b) && a.publication.subsetRate*b.publication.weight < b.publication.subsetRate*a.publication.weight
	})
	had := len(p.subset)
	if s.retryStorm.quiescing {
		free, got = []int{s.retryStorm.host}, 1e9
	}
	for _, h := range free {
		if len(p.subset) >= minSubsetSize && got*fair >= p.requestRate {
			break
		}
		p.subset, got = append(p.subset, h), got+s.hosts[h].publication.weight
		w.SetWeight(s.subsetTable(i), h, s.hosts[h].publication.weight)
	}
	for _, h := range p.subset {
		s.hosts[h].publication.subsetRate += p.requestRate / float64(len(p.subset))
	}
	return len(p.subset) - had
}

package routing

import "math"

const (
	slowStartOnlyMargin  = 2.0  // times the fleet's listed weight: what cold servers alone must be able to bear of it
	slowStartBudgetShare = 0.25 // of a cold server's budget is used: it may be half as fast as listed
	maxEjectProbability  = 0.1  // chance of failures in a row over which a fleet that shuns gets no cold server
)

// slowStartState tells what hosts that are warming up may get.
type slowStartState struct {
	allowed bool    // they may get traffic at all
	share   float64 // published weight of the warm hosts, as a part of what all ready hosts can do now
}

// slowStartFactor is the least part of its capacity that a server has after its start.
func (s *Balancer) slowStartFactor(v *hostRecord, g SafetyLimits) float64 {
	if v.endpoint.startedAtMs < 0 || s.nowMs >= v.endpoint.startedAtMs+g.SlowStartMs {
		return 1
	}
	return g.SlowStartInitialFactor + (1-g.SlowStartInitialFactor)*math.Max(s.nowMs-v.endpoint.startedAtMs, 0)/g.SlowStartMs
}

// permitsSlowStart tells whether cold servers may be sent to at all. Shunning proxies would send a fresh one all they
// have, and until sums show our own first orders nobody knows how the fleet fares under them. Where no
// ready server is warm, the cold ones together must bear the traffic.
func (s *Balancer) permitsSlowStart(ejects, multiple float64) bool {
	warm, able, all, held := false, 0.0, 0.0, 0.0
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		all += v.endpoint.baseWeight
		if v.endpoint.state == Ready {
			able += v.endpoint.baseWeight * s.slowStartFactor(v, s.limits)
			if s.slowStartFactor(v, s.limits) >= 1 {
				if warm = true; v.publication.weight > 0 {
					held += math.Max(v.publication.weight, v.balance.weight)
				}
			}
		}
	}
	// A cold host may have its part of what the warm ones and it can do; what is gone can do nothing.
	if s.slowStart.share = math.Min(1, held/math.Max(able, 1e-9)); !warm {
		s.slowStart.share = 1
		return able*multiple >= slowStartOnlyMargin*all
	}
	return s.reports.lastAtMs >= s.reports.observableAtMs && (ejects == 0 || math.Pow(1-s.fleet.successRatio, ejects) <= maxEjectProbability)
}

// exceedsSlowStart tells whether the tables hold far more of a cold server than it may get, whatever the fleet fails:
// that cuts all cold ones at once, and would keep removals out of the channel.
func (s *Balancer) exceedsSlowStart(v *hostRecord) bool {
	return s.slowStartFactor(v, s.limits) < 1 && s.targetWeight(v, false) < v.publication.weight*slowStartCutRatio*s.fleet.successRatio
}

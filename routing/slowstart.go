package routing

import "math"

const (
	coldOnlyPart = 2.0  // times the fleet's listed weight: what cold servers alone must be able to bear of it
	budgetPart   = 0.25 // of a cold server's budget is used: it may be half as fast as listed
	shunned      = 0.1  // chance of failures in a row over which a fleet that shuns gets no cold server
)

// warmth is the least part of its capacity that a server has after its start.
func (s *Balancer) warmth(v *server, g SafetyLimits) float64 {
	if v.started < 0 || s.now >= v.started+g.SlowStartMs {
		return 1
	}
	return g.SlowStartInitialFactor + (1-g.SlowStartInitialFactor)*math.Max(s.now-v.started, 0)/g.SlowStartMs
}

// heat tells whether cold servers may be sent to at all. Shunning proxies would send a fresh one all they
// have, and until sums show our own first orders nobody knows how the fleet fares under them. Where no
// ready server is warm, the cold ones together must bear the traffic.
func (s *Balancer) heat(ejects, multiple float64) bool {
	warm, able, all, held := false, 0.0, 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		all += v.listed
		if v.phase == Ready {
			able += v.listed * s.warmth(v, s.guard)
			if s.warmth(v, s.guard) >= 1 {
				if warm = true; v.told > 0 {
					held += math.Max(v.told, v.weight)
				}
			}
		}
	}
	// A cold host may have its part of what the warm ones and it can do; what is gone can do nothing.
	if s.thin = math.Min(1, held/math.Max(able, 1e-9)); !warm {
		s.thin = 1
		return able*multiple >= coldOnlyPart*all
	}
	return s.heardAt >= s.knowing && (ejects == 0 || math.Pow(1-s.fulfilled, ejects) <= shunned)
}

// starting tells whether the tables hold far more of a cold server than it may get, whatever the fleet fails:
// that cuts all cold ones at once, and would keep removals out of the channel.
func (s *Balancer) starting(v *server) bool {
	return s.warmth(v, s.guard) < 1 && s.want(v, false) < v.told*startsTo*s.fulfilled
}

package routing

import "math"

const (
	penaltyThreshold  = 0.8 // of the fleet's share of tries fulfilled; a server under it loses weight
	minSuccessPenalty = 0.5 // and never more than so: lost tries wear off later than their cause
	suspicionPenalty  = 0.5 // of its weight is left to a host for each unanswered probe
	idleUtilization   = 0.6 // busy cores under which a host that lets probes wait is out of reach, not slow
)

// targetWeight is the weight that a server should have. A cold one gets the least it can surely do, less where the
// fleet fails tries or its warm lines weigh less than listed: all proxies together stay under its budget.
func (s *Balancer) targetWeight(v *hostRecord, bare bool) float64 {
	warm := s.slowStartFactor(v, s.limits)
	if v.endpoint.state != Ready || !bare && v.outlier.ejected || warm < 1 && !s.slowStart.allowed {
		return 0
	}
	if warm < 1 {
		warm *= s.fleet.successRatio * s.slowStart.share * math.Min(1, s.limits.CollapseMultiple*slowStartBudgetShare)
	}
	// A host that fails its tries loses weight at once, whatever ails it; a fleet that fails does not.
	trust := math.Max(minSuccessPenalty, (v.stats.recentSuccesses+2)/(v.stats.recentSuccesses+v.stats.recentFailures+2))
	if trust > penaltyThreshold*s.fleet.successRatio {
		trust = 1
	}
	// A host that lets probes wait is slow long before its sums show it; where many do, the fleet is busy, and
	// what the doubted ones lose would only jam the next.
	if b := v.load.effectiveUtilization(); s.checks.suspicionApplies && (b < 0 || b > idleUtilization) {
		trust = math.Min(trust, math.Pow(suspicionPenalty, v.health.suspicion*s.checks.suspicionScale))
	}
	return math.Max(v.balance.weight, minWeightRatio*v.endpoint.baseWeight) * s.recoveryFactor(v) * warm * trust
}

// hasWarmEntry tells whether a base table should hold, or (held) holds already, a warm line. Where none should be,
// withdrawals are passed over; where none is held, additions go as early as removals.
func (s *Balancer) hasWarmEntry(base int, held bool) bool {
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if s.sharedTable(v.endpoint.zone) == base && (!held || v.publication.weight > 0) && s.slowStartFactor(v, s.limits) >= 1 && s.targetWeight(v, false) > 0 {
			return true
		}
	}
	return false
}

package routing

import "math"

const (
	distrust   = 0.8 // of the fleet's share of tries fulfilled; a server under it loses weight
	trustLeast = 0.5 // and never more than so: lost tries wear off later than their cause
	doubtPart  = 0.5 // of its weight is left to a host for each unanswered probe
	idleUnder  = 0.6 // busy cores under which a host that lets probes wait is out of reach, not slow
)

// want is the weight that a server should have. A cold one gets the least it can surely do, less where the
// fleet fails tries or its warm lines weigh less than listed: all proxies together stay under its budget.
func (s *Balancer) want(v *server, bare bool) float64 {
	warm := s.warmth(v, s.guard)
	if v.phase != Ready || !bare && v.out || warm < 1 && !s.heats {
		return 0
	}
	if warm < 1 {
		warm *= s.fulfilled * s.thin * math.Min(1, s.guard.CollapseMultiple*budgetPart)
	}
	// A host that fails its tries loses weight at once, whatever ails it; a fleet that fails does not.
	trust := math.Max(trustLeast, (v.won+2)/(v.won+v.lost+2))
	if trust > distrust*s.fulfilled {
		trust = 1
	}
	// A host that lets probes wait is slow long before its sums show it; where many do, the fleet is busy, and
	// what the doubted ones lose would only jam the next.
	if b := v.load.busy(); s.few && (b < 0 || b > idleUnder) {
		trust = math.Min(trust, math.Pow(doubtPart, v.doubt*s.doubts))
	}
	return math.Max(v.weight, floorPart*v.listed) * s.part(v) * warm * trust
}

// left tells whether a base table should hold, or (held) holds already, a warm line. Where none should be,
// withdrawals are passed over; where none is held, additions go as early as removals.
func (s *Balancer) left(base int, held bool) bool {
	for _, h := range s.order {
		v := &s.servers[h]
		if s.base(v.zone) == base && (!held || v.told > 0) && s.warmth(v, s.guard) >= 1 && s.want(v, false) > 0 {
			return true
		}
	}
	return false
}

package routing

import "math"

const (
	// penaltyThreshold is the part of the fleet's success ratio under which a host loses weight for its failures.
	penaltyThreshold = 0.8

	// minSuccessPenalty is the least factor that failures bring: old failures count on after their cause is gone.
	minSuccessPenalty = 0.5

	// priorSuccesses are added to a host's recent successes, so that one failure of a host with few attempts says
	// little.
	priorSuccesses = 2

	// suspicionPenalty is the factor for each unit of suspicion.
	suspicionPenalty = 0.5

	// idleUtilization is the utilization up to which a host that leaves health checks unanswered is out of this
	// controller's reach and not slow.
	idleUtilization = 0.6
)

// targetWeight is the weight that the published tables should hold of a host, 0 for none. emptyTable is true where its
// table would hold no warm host otherwise: ejections are passed over then, since a proxy must not be without hosts.
func (b *Balancer) targetWeight(host *hostRecord, emptyTable bool) float64 {
	if host.endpoint.state != Ready || host.outlier.ejected && !emptyTable {
		return 0
	}
	slowStart := b.slowStartFactor(host)
	if slowStart < 1 {
		if !b.slowStart.allowed {
			return 0
		}
		slowStart *= b.slowStartCaution()
	}
	penalty := math.Min(b.successPenalty(host), b.suspicionPenalty(host))
	weight := math.Max(host.balance.weight, minWeightRatio*host.endpoint.baseWeight)
	return weight * b.recoveryFactor(host) * slowStart * penalty
}

// successPenalty is the factor at which a host whose attempts fail loses weight at once, whatever its fault is. A fleet
// that fails as a whole loses none.
func (b *Balancer) successPenalty(host *hostRecord) float64 {
	stats := &host.stats
	successRatio := (stats.recentSuccesses + priorSuccesses) / (stats.recentAttempts() + priorSuccesses)
	penalty := math.Max(minSuccessPenalty, successRatio)
	if penalty > penaltyThreshold*b.fleet.successRatio {
		return 1
	}
	return penalty
}

// suspicionPenalty is the factor at which a host that leaves health checks unanswered loses weight: it is slow long
// before its request stats show it. Where many do, the fleet is busy, and what the suspects lose would only overload
// the next; a host that reports idle cores is out of this controller's reach, and its proxies may reach it.
func (b *Balancer) suspicionPenalty(host *hostRecord) float64 {
	utilization := host.load.effectiveUtilization()
	idle := utilization >= 0 && utilization <= idleUtilization
	if !b.checks.suspicionApplies || idle {
		return 1
	}
	return math.Pow(suspicionPenalty, host.health.suspicion*b.checks.suspicionScale)
}

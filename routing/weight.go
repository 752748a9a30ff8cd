package routing

import "math"

const (
	// penaltyThreshold is the fraction of its table's success ratio below which a host loses weight for its failures.
	penaltyThreshold = 0.8

	// minSuccessPenalty is the lowest factor for failures: old failures still count for a while after their cause has
	// ended.
	minSuccessPenalty = 0.5

	// priorSuccesses are added to a host's recent successes, so that one failure of a host with few attempts has
	// little effect.
	priorSuccesses = 2

	// penaltyPerSuspicion is the factor on the weight for each unit of suspicion.
	penaltyPerSuspicion = 0.5

	// idleUtilization is the utilization up to which a host that leaves health checks unanswered is assumed to be
	// unreachable from this controller, and not slow.
	idleUtilization = 0.6
)

// targetWeight returns the weight that a host should have in the published tables, 0 for none. A host that is warming
// up gets its weight times slowStartFactor and slowStartLoadFactor, and none while slowStartState.allowed is false.
// ignoreEjection is set where its table would otherwise hold no warm host, since a proxy must not be left without
// hosts.
func (b *Balancer) targetWeight(host *hostRecord, ignoreEjection bool) float64 {
	if host.endpoint.state != Ready || host.outlier.ejected && !ignoreEjection {
		return 0
	}
	slowStart := b.slowStartFactor(host)
	if slowStart < 1 {
		if !b.slowStartOf(host).allowed {
			return 0
		}
		slowStart *= b.slowStartLoadFactor(host)
	}
	penalty := math.Min(b.successPenalty(host), b.suspicionPenalty(host))
	weight := math.Max(host.balance.weight, minWeightRatio*host.endpoint.baseWeight)
	return weight * b.recoveryFactor(host) * slowStart * penalty
}

// tableWeight returns the weight that a host should have in the published tables in this round: its targetWeight, with
// ejections ignored where its shared table would otherwise hold no warm host. It is valid after findWarmHosts.
func (b *Balancer) tableWeight(host *hostRecord) float64 {
	table := &b.publishing.tables[b.sharedTable(host.endpoint.zone)]
	return b.targetWeight(host, table.withoutWarmTarget)
}

// successPenalty returns the factor, from minSuccessPenalty to 1, on the weight of a host whose attempts fail more
// often than those at all hosts of its table. It takes effect at once, whatever the fault.
func (b *Balancer) successPenalty(host *hostRecord) float64 {
	stats := &host.stats
	successRatio := (stats.recentSuccesses + priorSuccesses) / (stats.recentAttempts() + priorSuccesses)
	penalty := math.Max(minSuccessPenalty, successRatio)
	if penalty > penaltyThreshold*b.tableOf(host).successRatio {
		return 1
	}
	return penalty
}

// suspicionPenalty returns the factor, up to 1, on the weight of a host that leaves health checks unanswered, which
// shows that it is slow long before its request stats do. Where many hosts do, the fleet is overloaded, and the
// weight taken from them would only overload others. A host that reports idle cores is unreachable from this
// controller, but may be reachable from its proxies.
func (b *Balancer) suspicionPenalty(host *hostRecord) float64 {
	utilization := host.load.effectiveUtilization()
	idle := utilization >= 0 && utilization <= idleUtilization
	if !b.checks.suspicionApplies || idle {
		return 1
	}
	return math.Pow(penaltyPerSuspicion, host.health.suspicion*b.checks.suspicionScale)
}

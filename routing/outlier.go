package routing

import "math"

const (
	// unresponsiveFailures is the number of unanswered health checks in a row after which a host may be unresponsive.
	unresponsiveFailures = 3

	// unreachableFailures is the same number for a host at whose address nothing listens, and for a host to count
	// toward a network partition.
	unreachableFailures = 2

	// recoveredSuccesses is the number of healthy answers in a row after which an ejected host returns.
	recoveredSuccesses = 2

	// partitionShare is the fraction of a zone's hosts that leave health checks unanswered, and of another zone's
	// that answer them, in a network partition.
	partitionShare = 0.75

	// minPartitionHosts is the least number of hosts of a zone that can show a network partition.
	minPartitionHosts = 2

	// minServingShare is the fraction of the fleet's base weight that must not be ejected, whatever health checks
	// show.
	minServingShare = 0.34

	// maxSuspectShare is the fraction of the hosts up to which the suspicion of each counts in full. With more suspect
	// hosts it is scaled down.
	maxSuspectShare = 0.25

	// hostsPerSuspect limits the unresponsive hosts to one for each hostsPerSuspect hosts, rounded up: more of them
	// mean that the fleet is overloaded, or that this controller's own network has a fault.
	hostsPerSuspect = 4

	// minFleetSuccessRatio is the fleet's success ratio up to which an unanswered health check does not count against
	// a host.
	minFleetSuccessRatio = 0.5

	// noSuccessCycleShare is the fraction of the report cycle that must pass without a success before a host may count
	// as unresponsive.
	noSuccessCycleShare = 0.7

	// recoveryInitialFactor is the fraction of its weight with which a host returns. It doubles each recoveryStepMs.
	recoveryInitialFactor = 0.4
	recoveryStepMs        = 1000.0
)

// outlierRecord is a host's ejection state: serving, ejected, or on the recovery ramp.
type outlierRecord struct {
	ejected           bool
	recovering        bool    // it is on the recovery ramp, or has completed it
	recoveringSinceMs float64 // valid while recovering
}

// zoneHealth counts the ready hosts of a zone.
type zoneHealth struct {
	hosts      int
	answering  int // hosts whose last health check was healthy
	unanswered int // hosts with at least unreachableFailures unanswered health checks in a row
}

// fleetHealth sums up the health of the ready hosts for one round.
type fleetHealth struct {
	hosts         int
	baseWeight    float64
	servingWeight float64 // base weight of the hosts that are not ejected
	unresponsive  int     // hosts whose last health check timed out
	suspicion     float64 // sum over the hosts, each counted as at most 1
	zones         []zoneHealth
}

// detectOutliers ejects hosts that serve nothing, and returns ejected hosts to service. A host is ejected (isOutlier)
// where nothing listens at its address, or where health checks time out while no attempt succeeds, at this host alone
// or at nearly all hosts of its zone. An overloaded host must not be ejected: where many hosts are unresponsive, or
// most attempts of the fleet fail, timed out health checks of a single host are no evidence. At least minServingShare
// of the base weight, times the fraction of all proxies that are connected, stays in service. An ejected host returns
// (mayRecover) on the recovery ramp after recoveredSuccesses healthy answers in a row, or once a proxy of its zone
// connects, unless nothing listened at its address.
func (b *Balancer) detectOutliers(writer UpdateWriter) {
	fleet := b.measureFleetHealth()
	b.updateSuspicionScale(&fleet)
	minServingWeight := minServingShare * fleet.baseWeight * b.connectedShare()
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		switch {
		case host.endpoint.state != Ready: // it leaves the tables in any case
		case host.outlier.ejected:
			if b.mayRecover(host) {
				b.recoverHost(writer, index)
				fleet.servingWeight += host.endpoint.baseWeight
			}
		case b.isOutlier(host, &fleet):
			remaining := fleet.servingWeight - host.endpoint.baseWeight
			if remaining >= minServingWeight && remaining > 0 {
				b.ejectHost(writer, index, remaining/fleet.baseWeight)
				fleet.servingWeight = remaining
			}
		}
	}
	clear(b.zoneReconnected)
}

// measureFleetHealth sums up the health of the ready hosts. The zones of the result are valid until the next call.
func (b *Balancer) measureFleetHealth() fleetHealth {
	b.checks.zones = grow(b.checks.zones, b.deployment.Zones, zoneHealth{})
	clear(b.checks.zones)
	fleet := fleetHealth{suspicion: minDivisor, zones: b.checks.zones}
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if host.endpoint.state != Ready {
			continue
		}
		zone := &fleet.zones[host.endpoint.zone]
		zone.hosts++
		zone.answering += min(host.health.consecutiveSuccesses, 1)
		if host.health.consecutiveFailures >= unreachableFailures {
			zone.unanswered++
		}
		fleet.hosts++
		fleet.baseWeight += host.endpoint.baseWeight
		fleet.suspicion += math.Min(host.health.suspicion, 1)
		if host.health.consecutiveFailures > 0 && !host.health.unreachable {
			fleet.unresponsive++
		}
		if !host.outlier.ejected {
			fleet.servingWeight += host.endpoint.baseWeight
		}
	}
	return fleet
}

// updateSuspicionScale decides whether unanswered health checks count against a host, and scales suspicion so that
// the suspicion of all hosts together counts at most as much as a suspicion of 1 for maxSuspectShare of them.
func (b *Balancer) updateSuspicionScale(fleet *fleetHealth) {
	fewUnresponsive := fleet.unresponsive*hostsPerSuspect < fleet.hosts+hostsPerSuspect
	b.checks.suspicionApplies = fewUnresponsive && b.fleet.successRatio > minFleetSuccessRatio
	b.checks.suspicionScale = math.Min(1, maxSuspectShare*float64(fleet.hosts)/fleet.suspicion)
}

// isOutlier reports whether the evidence shows that a host serves nothing: see detectOutliers.
func (b *Balancer) isOutlier(host *hostRecord, fleet *fleetHealth) bool {
	failures := host.health.consecutiveFailures
	if failures < unreachableFailures {
		return false
	}
	if host.health.unreachable {
		return true
	}
	withoutSuccessMs := b.reports.lastAtMs - host.stats.lastSuccessAtMs
	if withoutSuccessMs < b.reports.cycleMs*noSuccessCycleShare {
		return false
	}
	unresponsiveAlone := failures >= unresponsiveFailures && b.checks.suspicionApplies
	return unresponsiveAlone || fleet.isPartitioned(host.endpoint.zone)
}

// isPartitioned reports whether a zone is unreachable behind a network partition or has failed as a whole: nearly all
// of its hosts leave health checks unanswered at the same time, while nearly all hosts of some other zone answer
// theirs.
func (f *fleetHealth) isPartitioned(zone int) bool {
	own := f.zones[zone]
	if own.hosts < minPartitionHosts || float64(own.unanswered) < partitionShare*float64(own.hosts) {
		return false
	}
	for i, other := range f.zones {
		if i != zone && other.hosts > 0 && float64(other.answering) >= partitionShare*float64(other.hosts) {
			return true
		}
	}
	return false
}

// ejectHost ejects a host: its target weight is 0 until recoverHost. remainingRatio is the fraction of the fleet's
// base weight that stays in service.
func (b *Balancer) ejectHost(writer UpdateWriter, index int, remainingRatio float64) {
	host := &b.hosts[index]
	host.outlier.ejected = true
	host.health.consecutiveSuccesses = 0
	writer.Log(Event{HostEjected, index, []Field{
		{"consecutive_failures", float64(host.health.consecutiveFailures), 0},
		{"unreachable", indicator(host.health.unreachable), 0},
		{"remaining_weight_ratio", remainingRatio, 2},
	}})
}

// mayRecover reports whether an ejected host may return: health checks are answered again, or a proxy of its zone has
// connected, which shows that the zone is reachable. The latter does not return a host at whose address nothing
// listened.
func (b *Balancer) mayRecover(host *hostRecord) bool {
	if host.health.consecutiveSuccesses >= recoveredSuccesses {
		return true
	}
	return !host.health.unreachable && b.zoneReconnected[host.endpoint.zone]
}

// recoverHost returns an ejected host to service on the recovery ramp. A host that was unreachable may have
// restarted, and warms up instead, unless dropAssumedStarts finds otherwise.
func (b *Balancer) recoverHost(writer UpdateWriter, index int) {
	host := &b.hosts[index]
	host.outlier.ejected = false
	host.health.consecutiveFailures = 0
	host.health.suspicion = 0
	host.balance.cooldownUntilMs = b.nowMs + b.reports.settlingMs
	host.stats.meanLatencyMs = b.fleet.medianLatencyMs
	if host.health.unreachable {
		host.outlier.recovering = false
		host.endpoint.assumedStartMs = b.nowMs
	} else {
		host.outlier.recovering = true
		host.outlier.recoveringSinceMs = b.nowMs
	}
	writer.Log(Event{HostRecovering, index, nil})
}

// recoveryFactor returns the fraction of its weight that a host gets on the recovery ramp, 1 where it is not on the
// ramp.
func (b *Balancer) recoveryFactor(host *hostRecord) float64 {
	if !host.outlier.recovering {
		return 1
	}
	steps := math.Floor((b.nowMs - host.outlier.recoveringSinceMs) / recoveryStepMs)
	return math.Min(1, recoveryInitialFactor*math.Exp2(steps))
}

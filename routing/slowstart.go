package routing

import "math"

const (
	// slowStartOnlyMargin is what hosts that are warming up must be able to bear where no host is warm, as a multiple
	// of the fleet's base weight.
	slowStartOnlyMargin = 2.0

	// slowStartBudgetShare is the part used of the load at which a host that is warming up collapses: it may be half as
	// fast as its base weight says.
	slowStartBudgetShare = 0.25

	// maxEjectProbability is the chance of ProxyEjectAfter failures in a row over which no host starts slowly. Where
	// proxies eject hosts by themselves, a fleet that fails would send all its requests to the one fresh host.
	maxEjectProbability = 0.1

	// slowStartCutRatio is the part of its published weight under which the target weight of a host that is warming up
	// is as urgent as a removal.
	slowStartCutRatio = 0.6
)

// slowStartState tells what hosts that are warming up may get.
type slowStartState struct {
	allowed bool    // they may get traffic at all
	share   float64 // published weight of the warm hosts, as a part of what all ready hosts can do now
}

// warmCapacity sums up, in units of weight, what the fleet can do.
type warmCapacity struct {
	total     float64 // base weights of all hosts
	ready     float64 // base weights of the ready hosts, times their slow-start factors
	published float64 // what the tables hold, or should, of warm hosts
	anyWarm   bool    // some ready host is warm
}

// slowStartFactor is the least part of its capacity that a host has after its start, from SlowStartInitialFactor up to
// 1 when it is warm.
func (b *Balancer) slowStartFactor(host *hostRecord) float64 {
	startedAtMs := host.endpoint.startedAtMs
	if startedAtMs < 0 || b.nowMs >= startedAtMs+b.limits.SlowStartMs {
		return 1
	}
	initial := b.limits.SlowStartInitialFactor
	return initial + (1-initial)*math.Max(b.nowMs-startedAtMs, 0)/b.limits.SlowStartMs
}

// slowStartCaution scales down what hosts that are warming up get: less where the fleet fails attempts or its warm
// hosts are published with less than they can do, so that all proxies together stay under the load at which such a host
// collapses.
func (b *Balancer) slowStartCaution() float64 {
	budget := math.Min(1, b.limits.CollapseMultiple*slowStartBudgetShare)
	return b.fleet.successRatio * b.slowStart.share * budget
}

// updateSlowStart decides whether hosts that are warming up may get traffic, and which share. Where proxies eject hosts
// by themselves, a fresh host must not be the only one that they have left; and until reports show this instance's own
// first weights nobody knows how the fleet fares under them. Where no ready host is warm, those that are warming up
// must bear the traffic together.
func (b *Balancer) updateSlowStart(writer UpdateWriter) {
	capacity := b.measureWarmCapacity()
	var allowed bool
	if capacity.anyWarm {
		b.slowStart.share = math.Min(1, capacity.published/math.Max(capacity.ready, minDivisor))
		allowed = b.reports.lastAtMs >= b.reports.observableAtMs && !b.proxiesMayEjectMost()
	} else {
		b.slowStart.share = 1
		allowed = capacity.ready*b.limits.CollapseMultiple >= slowStartOnlyMargin*capacity.total
	}
	if allowed == b.slowStart.allowed {
		return
	}
	b.slowStart.allowed = allowed
	writer.Log(Event{SlowStartChanged, NoHost, []Field{
		{"allowed", indicator(allowed), 0},
		{"success_ratio", b.fleet.successRatio, 2},
	}})
}

// measureWarmCapacity sums over all hosts; those that are not ready count only for the total.
func (b *Balancer) measureWarmCapacity() warmCapacity {
	var capacity warmCapacity
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		capacity.total += host.endpoint.baseWeight
		if host.endpoint.state != Ready {
			continue
		}
		factor := b.slowStartFactor(host)
		capacity.ready += host.endpoint.baseWeight * factor
		if factor < 1 {
			continue
		}
		capacity.anyWarm = true
		if host.publication.weight > 0 {
			capacity.published += math.Max(host.publication.weight, host.balance.weight)
		}
	}
	return capacity
}

// proxiesMayEjectMost tells whether proxies that eject hosts by themselves are likely to do so with most hosts.
func (b *Balancer) proxiesMayEjectMost() bool {
	failuresInARow := float64(b.deployment.ProxyEjectAfter)
	return failuresInARow != 0 && math.Pow(1-b.fleet.successRatio, failuresInARow) > maxEjectProbability
}

// exceedsSlowStart tells whether the tables hold far more of a host that is warming up than it may get. What the fleet
// fails does not count: that cuts all such hosts at once, and would keep removals out of the control channel.
func (b *Balancer) exceedsSlowStart(host *hostRecord) bool {
	return b.slowStartFactor(host) < 1 &&
		b.targetWeight(host, false) < host.publication.weight*slowStartCutRatio*b.fleet.successRatio
}

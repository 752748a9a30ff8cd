package routing

import (
	"math"
	"sort"
)

const (
	// minWeightRatio is the fraction of its base weight that a host keeps at least, so that its latency can still be
	// measured.
	minWeightRatio = 0.1

	// relaxRatio is the fraction of the difference to its base weight by which a host's weight relaxes in each report
	// round.
	relaxRatio = 0.05

	// minWeightChange is the smallest relative change of a weight that is transferred or published. A smaller one
	// would only delay the next by its cooldown.
	minWeightChange = 0.06
)

// balanceRecord is the rebalancing state of a host.
type balanceRecord struct {
	weight          float64 // the weight after all transfers, in the unit of the base weight
	cooldownUntilMs float64 // no transfer before this instant
}

// transferCandidate is a host that takes part in weight transfers. Rates are in requests a second.
type transferCandidate struct {
	host          *hostRecord
	overload      float64 // arrival rate less capacity; a negative overload is headroom
	sheddableRate float64 // the rate that the host can transfer and still keep minWeightRatio
}

// fleetTotals are sums over the hosts that take part in rebalancing.
type fleetTotals struct {
	arrivalRate float64
	weight      float64
}

// isRebalanced reports whether a host takes part in rebalancing: it is ready, and neither ejected, recovering nor
// warming up.
func (b *Balancer) isRebalanced(host *hostRecord) bool {
	return host.endpoint.state == Ready && !host.outlier.ejected &&
		b.recoveryFactor(host) >= 1 && b.slowStartFactor(host) >= 1
}

// rebalance transfers weight, by section 4.3 of the paper named in the package comment: min{overload, headroom,
// sheddable rate} moves from the most overloaded host to the host with the most headroom, hosts of the same zone
// first. Where no host exceeds its capacity all weights relax toward their base weights.
func (b *Balancer) rebalance() {
	candidates, overloaded, totals := b.transferCandidates()
	sort.SliceStable(overloaded, func(i, j int) bool { return overloaded[i].overload > overloaded[j].overload })
	for _, sender := range overloaded {
		b.shedWeight(sender, candidates, totals)
	}
	if len(overloaded) == 0 {
		b.relaxWeights()
	}
}

// transferCandidates returns the hosts that may send or receive weight now, those of them that must send some, and the
// sums over all hosts that take part.
func (b *Balancer) transferCandidates() (candidates, overloaded []transferCandidate, totals fleetTotals) {
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if !b.isRebalanced(host) {
			continue
		}
		totals.arrivalRate += host.stats.arrivalRate
		totals.weight += host.balance.weight
		measured := host.stats.attempts() >= 1 && host.stats.meanLatencyMs > 0 && b.fleet.medianLatencyMs > 0
		if b.nowMs < host.balance.cooldownUntilMs || !measured {
			continue
		}
		candidate := newTransferCandidate(host, b.fleet.medianLatencyMs)
		candidates = append(candidates, candidate)
		if math.Min(candidate.overload, candidate.sheddableRate) > minWeightChange*host.stats.arrivalRate {
			overloaded = append(overloaded, candidate)
		}
	}
	return candidates, overloaded, totals
}

// newTransferCandidate measures a host's overload. A host with several cores answers fast until nearly all are busy, so
// its mean latency overstates its headroom: its headroom is limited to what raises its reported utilization to
// targetUtilization. A load report can only reduce headroom, and never moves weight by itself.
func newTransferCandidate(host *hostRecord, medianLatencyMs float64) transferCandidate {
	rate := host.stats.arrivalRate
	candidate := transferCandidate{
		host:          host,
		overload:      rate - deadlineCapacity(rate, host.stats.meanLatencyMs, medianLatencyMs),
		sheddableRate: rate * (1 - minWeightRatio*host.endpoint.baseWeight/host.balance.weight),
	}
	if utilization := host.load.effectiveUtilization(); utilization > 0 {
		headroomByLoad := math.Min(0, rate*(1-targetUtilization/utilization))
		candidate.overload = math.Max(candidate.overload, headroomByLoad)
	}
	return candidate
}

// shedWeight transfers weight from one overloaded host to those with headroom. Sender and receiver get a cooldown
// until the transfer shows in the reports.
func (b *Balancer) shedWeight(sender transferCandidate, candidates []transferCandidate, totals fleetTotals) {
	if totals.arrivalRate <= 0 {
		return
	}
	senderZone := sender.host.endpoint.zone
	sort.SliceStable(candidates, func(i, j int) bool {
		sameZone := candidates[i].host.endpoint.zone == senderZone
		otherSameZone := candidates[j].host.endpoint.zone == senderZone
		return sameZone && !otherSameZone || sameZone == otherSameZone && candidates[i].overload < candidates[j].overload
	})
	for i := range candidates {
		receiver := &candidates[i]
		movedRate := math.Min(math.Min(sender.overload, -receiver.overload), sender.sheddableRate)
		if movedRate <= 0 {
			continue
		}
		movedWeight := movedRate / totals.arrivalRate * totals.weight
		sender.host.balance.weight -= movedWeight
		receiver.host.balance.weight += movedWeight
		sender.overload -= movedRate
		sender.sheddableRate -= movedRate
		receiver.overload += movedRate
		cooldownUntilMs := b.nowMs + b.reports.settlingMs + b.reports.delayMs
		sender.host.balance.cooldownUntilMs = cooldownUntilMs
		receiver.host.balance.cooldownUntilMs = cooldownUntilMs
	}
}

// relaxWeights moves the weights of all hosts without a cooldown one step toward their base weights.
func (b *Balancer) relaxWeights() {
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if b.nowMs >= host.balance.cooldownUntilMs {
			host.balance.weight += relaxRatio * (host.endpoint.baseWeight - host.balance.weight)
		}
	}
}

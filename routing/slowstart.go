package routing

import "math"

const (
	// slowStartOnlyMargin is the load, as a multiple of a table's base weight, that the hosts that are warming up must
	// be able to take together before they get traffic in a table without a warm host.
	slowStartOnlyMargin = 2.0

	// slowStartLoadShare is the load that a host that is warming up may get, as a fraction of the load at which it
	// collapses: the host may be half as fast as its base weight suggests.
	slowStartLoadShare = 0.25

	// maxEjectProbability is the probability of ProxyEjectAfter failures in a row above which hosts that are warming
	// up get no traffic. Where proxies eject hosts by themselves, they would eject most hosts of a failing fleet and
	// send all requests to the one that has just started.
	maxEjectProbability = 0.1

	// slowStartCutRatio is the fraction of its published weight below which the target weight of a host that is
	// warming up is published as urgently as a removal.
	slowStartCutRatio = 0.6

	// assumedStartShare is the fraction of SafetyLimits.EmptyTableMs for which a table may be without a warm host until
	// assumed starts of its hosts are dropped. The endpoint list shows a true restart within that time.
	assumedStartShare = 0.5
)

// slowStartState limits the traffic of the hosts of a shared table that are warming up.
type slowStartState struct {
	allowed        bool    // hosts that are warming up may get traffic at all
	publishedShare float64 // published weight of the warm hosts, as a fraction of the current capacity of all ready hosts
	capacity       tableCapacity
	warmAtMs       float64 // when a ready host of it was last warm
}

// tableCapacity holds sums over the hosts of a shared table, in units of weight.
type tableCapacity struct {
	total     float64 // base weights of all hosts
	ready     float64 // base weights of the ready hosts, times their slow-start factors
	published float64 // published weights of the warm hosts, or their weights after rebalancing where larger
	silent    float64 // part of published of the hosts that leave health checks unanswered
	anyWarm   bool    // some ready host is warm
}

// answeringRatio returns the part of the published weight of the warm hosts whose hosts answer their health checks.
func (c *tableCapacity) answeringRatio() float64 {
	return 1 - c.silent/math.Max(c.published, minDivisor)
}

// slowStartFactor returns the fraction of its capacity that a host is known to have after its start. It rises linearly
// from SlowStartInitialFactor to 1, within SlowStartMs of the start.
func (b *Balancer) slowStartFactor(host *hostRecord) float64 {
	startedAtMs := host.endpoint.effectiveStartMs()
	if startedAtMs < 0 || b.nowMs >= startedAtMs+b.limits.SlowStartMs {
		return 1
	}
	initial := b.limits.SlowStartInitialFactor
	return initial + (1-initial)*math.Max(b.nowMs-startedAtMs, 0)/b.limits.SlowStartMs
}

// slowStartOf returns the slow-start state of the shared table that holds a host.
func (b *Balancer) slowStartOf(host *hostRecord) *slowStartState {
	return &b.slowStart[b.sharedTable(host.endpoint.zone)]
}

// slowStartLoadFactor returns a factor from 0 to 1 on the weight of a host that is warming up. It is lower where the
// hosts of its table fail attempts, or the warm ones are published with less than their capacity, so that all proxies
// together stay below the load at which such a host collapses.
func (b *Balancer) slowStartLoadFactor(host *hostRecord) float64 {
	loadShare := math.Min(1, b.limits.CollapseMultiple*slowStartLoadShare)
	return b.tableOf(host).successRatio * b.slowStartOf(host).publishedShare * loadShare
}

// updateSlowStart decides for each shared table whether its hosts that are warming up may get traffic.
func (b *Balancer) updateSlowStart(writer UpdateWriter) {
	b.measureTableCapacities()
	if b.dropAssumedStarts(writer) {
		b.measureTableCapacities()
	}
	if !b.zoneLocal {
		b.updateTableSlowStart(writer, b.sharedTable(0), nil)
		return
	}
	for zone := range b.deployment.Zones {
		fields := []Field{{"zone", float64(zone), 0}}
		b.updateTableSlowStart(writer, b.sharedTable(zone), fields)
	}
}

// dropAssumedStarts drops the assumption that hosts have restarted while they were unreachable, in each shared table
// that has been without a warm host for too long: hosts that refuse connections for a while return without a restart,
// and a table must not stay empty beside hosts that the endpoint list shows as warm. All hosts of a table count as warm
// at once, so that none gets the traffic of the others. It reports whether any assumption was dropped.
func (b *Balancer) dropAssumedStarts(writer UpdateWriter) bool {
	for i := range b.slowStart {
		if b.slowStart[i].capacity.anyWarm {
			b.slowStart[i].warmAtMs = b.nowMs
		}
	}
	dropped := false
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		withoutWarmMs := b.nowMs - b.slowStartOf(host).warmAtMs
		if host.endpoint.assumedStartMs >= 0 && withoutWarmMs >= b.limits.EmptyTableMs*assumedStartShare {
			host.endpoint.assumedStartMs = startUnknown
			dropped = true
			writer.Log(Event{RestartNotConfirmed, index, nil})
		}
	}
	return dropped
}

// updateTableSlowStart decides whether hosts of a table that are warming up may get traffic, and updates the published
// share of its warm hosts. While a ready host is warm they get none until reports show the effect of this instance's
// own first weights, nor while proxies that eject hosts by themselves may eject most of them and leave only a host that
// has just started. Unanswered health checks of the warm hosts show that before reports do: an attempt at a host that
// hangs is reported as failed only once the proxy has given it up. Where no ready host is warm, those that are warming
// up get traffic once they can take all of it together. It logs a change with the given fields first.
func (b *Balancer) updateTableSlowStart(writer UpdateWriter, number int, fields []Field) {
	table := &b.slowStart[number]
	successRatio := b.tables[number].successRatio
	capacity := &table.capacity
	var allowed bool
	if capacity.anyWarm {
		table.publishedShare = math.Min(1, capacity.published/math.Max(capacity.ready, minDivisor))
		likelyRatio := math.Min(successRatio, capacity.answeringRatio())
		allowed = b.reports.lastAtMs >= b.reports.observableAtMs && !b.proxiesMayEjectMost(likelyRatio)
	} else {
		table.publishedShare = 1
		allowed = capacity.ready*b.limits.CollapseMultiple >= slowStartOnlyMargin*capacity.total
	}
	if allowed == table.allowed {
		return
	}
	table.allowed = allowed
	fields = append(fields, Field{"allowed", indicator(allowed), 0}, Field{"success_ratio", successRatio, 2})
	if answeringRatio := capacity.answeringRatio(); answeringRatio < 1 {
		fields = append(fields, Field{"answering_ratio", answeringRatio, 2})
	}
	writer.Log(Event{SlowStartChanged, NoHost, fields})
}

// measureTableCapacities sums the capacity over the hosts of each shared table; those that are not ready count only in
// the total.
func (b *Balancer) measureTableCapacities() {
	for table := range b.slowStart {
		b.slowStart[table].capacity = tableCapacity{}
	}
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		capacity := &b.slowStartOf(host).capacity
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
			weight := math.Max(host.publication.weight, host.balance.weight)
			capacity.published += weight
			if host.health.consecutiveFailures >= unreachableFailures {
				capacity.silent += weight
			}
		}
	}
}

// proxiesMayEjectMost reports whether proxies that eject hosts by themselves are likely to eject most hosts of a table
// with the given success ratio.
func (b *Balancer) proxiesMayEjectMost(successRatio float64) bool {
	failuresInARow := float64(b.deployment.ProxyEjectAfter)
	return failuresInARow != 0 && math.Pow(1-successRatio, failuresInARow) > maxEjectProbability
}

// exceedsSlowStart reports whether the published weight of a host that is warming up is far above its table weight.
// A weight that is lower because of the table's success ratio does not count: that lowers all such hosts of the
// table at once, and their updates would keep removals out of the control channel.
func (b *Balancer) exceedsSlowStart(host *hostRecord) bool {
	return b.slowStartFactor(host) < 1 &&
		b.tableWeight(host) < host.publication.weight*slowStartCutRatio*b.tableOf(host).successRatio
}

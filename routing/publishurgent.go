package routing

import (
	"math"
	"slices"
	"sort"
)

const (
	// urgentGatherMs is the least time for which urgent updates are collected into one message.
	urgentGatherMs = 350.0

	// urgentGatherMaxMs is the longest time for which urgent updates are collected, on a channel that stays busy.
	urgentGatherMaxMs = 1000.0

	// urgentGatherGraceShare is the fraction of the drain grace for which urgent updates are collected at the most, so
	// that the messages that a proxy may be sent last.
	urgentGatherGraceShare = 0.3
)

// updateUrgency ranks the weight updates of a round.
type updateUrgency int

// The urgencies, most urgent first. While an update of the first two is pending no other update is written, since a
// proxy's acknowledgement of a later version would count for the pending update too.
const (
	removalUrgency   updateUrgency = iota // the host is draining or removed
	slowStartUrgency                      // the host is warming up, published with far more than its target weight
	ordinaryUrgency
)

// urgencyFill is the fraction of the channel's limits that updates of each urgency may fill.
var urgencyFill = [...]float64{
	removalUrgency:   removalFill,
	slowStartUrgency: removalFill,
	ordinaryUrgency:  protectiveFill,
}

// publishUrgent writes the urgent weight updates, by urgency, and collects the others in round.ordinary.
func (b *Balancer) publishUrgent(round *publishRound) {
	round.urgentDue = b.urgentDue(round)
	order := b.publishOrder()
	for urgency := range updateUrgency(len(urgencyFill)) {
		for _, index := range order {
			// The urgency is computed again: a host whose slow start was just published is now ordinary.
			if b.urgency(&b.hosts[index]) == urgency {
				b.publishHost(round, index, urgency)
			}
		}
	}
}

// urgentDue reports whether urgent updates may be written. Each message has an overhead, so they are collected until
// the channel has capacity for all of them or is about to be idle: while it is busy, a message that is written later
// arrives no later. Where proxies do not acknowledge, the channel may only seem to be busy: then they are collected for
// urgentGatherMaxMs.
func (b *Balancer) urgentDue(round *publishRound) bool {
	gatheredMs := b.nowMs - b.publishing.urgentSentAtMs
	if gatheredMs < b.minUrgentGatherMs(round) {
		return false
	}
	idleEntries := b.channel.EntriesPerSecond * urgentGatherMs / msPerSecond
	return round.batch.initialBacklog <= idleEntries ||
		b.pendingUrgentUpdatesFit(round) ||
		gatheredMs >= urgentGatherMaxMs
}

// minUrgentGatherMs returns the time for which urgent updates are collected at least: urgentGatherMs or, where the
// messages that may still be sent to a proxy would not last, longer, within urgentGatherGraceShare of the drain grace.
func (b *Balancer) minUrgentGatherMs(round *publishRound) float64 {
	spacingMs := math.Min(round.assignments.messageSpacingMs, b.limits.DrainGraceMs*urgentGatherGraceShare)
	return math.Max(urgentGatherMs, spacingMs)
}

// pendingUrgentUpdatesFit reports whether the channel has capacity for all urgent updates.
func (b *Balancer) pendingUrgentUpdatesFit(round *publishRound) bool {
	counts := &round.assignments
	return round.batch.fitsEntries(b.pendingUrgentEntries(round), counts.assigned, counts.maxMessagesSent, removalFill)
}

// pendingUrgentEntries returns the number of entries, without the message overhead, that the urgent updates need.
func (b *Balancer) pendingUrgentEntries(round *publishRound) float64 {
	entries := 0
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if b.urgency(host) == ordinaryUrgency {
			continue
		}
		if b.tableWeight(host) != host.publication.weight {
			entries += host.publication.holders
		}
	}
	return float64(entries)
}

// publishOrder returns the hosts in the order of discovery or, where urgent updates are waiting for the channel, in
// the order in which their state or start last changed.
func (b *Balancer) publishOrder() []int {
	if !b.publishing.urgentPending {
		return b.hostOrder
	}
	order := slices.Clone(b.hostOrder)
	sort.SliceStable(order, func(i, j int) bool {
		return b.hosts[order[i]].endpoint.changedAtMs < b.hosts[order[j]].endpoint.changedAtMs
	})
	return order
}

// urgency returns the urgency of a host's weight update.
func (b *Balancer) urgency(host *hostRecord) updateUrgency {
	switch {
	case host.endpoint.state != Ready:
		return removalUrgency
	case b.exceedsSlowStart(host):
		return slowStartUrgency
	default:
		return ordinaryUrgency
	}
}

// publishHost writes a host's weight where it is urgent and fits the channel, and otherwise collects it in
// round.ordinary.
func (b *Balancer) publishHost(round *publishRound, index int, urgency updateUrgency) {
	host := &b.hosts[index]
	table := &round.tables[b.sharedTable(host.endpoint.zone)]
	weight := b.tableWeight(host)
	if weight > 0 {
		table.entries++
	}
	published := host.publication.weight
	change := math.Abs(weight - published)
	if change > 0 && b.maySendNow(round, host, weight, urgency) {
		if host.publication.holders > 0 && weight < published { // a removal that follows an addition does not wait
			b.publishing.urgentSentAtMs = b.nowMs
		}
		b.publishWeight(round, index, weight)
		return
	}
	if change > 0 && urgency < ordinaryUrgency {
		round.urgentPending = true
		table.urgentPending = true
		// Other tables do not wait for the message window of this one's proxies, only for the channel.
		round.urgentBlocked = round.urgentBlocked || b.channel.allowsMessage(table.messagesSent, removalFill)
	}
	if change > minWeightChange*math.Max(published, minWeightRatio*host.endpoint.baseWeight) {
		round.ordinary = append(round.ordinary, weightUpdate{index, weight, change})
	}
}

// maySendNow reports whether a host's weight may be written before the ordinary ones: no proxy's table holds the
// host, or the update protects the host or the proxies, has been collected for long enough and fits the channel.
// Updates of a table that is about to get its first warm host are not collected, since proxies may be without a host
// until then.
func (b *Balancer) maySendNow(round *publishRound, host *hostRecord, weight float64, urgency updateUrgency) bool {
	if host.publication.holders == 0 {
		return true
	}
	table := &round.tables[b.sharedTable(host.endpoint.zone)]
	added := host.publication.weight == 0 && table.withoutWarmEntry
	protective := urgency == slowStartUrgency || weight == 0 || added
	firstWarm := table.withoutWarmEntry && !table.withoutWarmTarget
	waits := round.urgentBlocked || table.urgentPending
	if !protective || waits || !round.urgentDue && !firstWarm {
		return false
	}
	fill := urgencyFill[urgency]
	if added && firstWarm {
		fill = removalFill
	}
	return round.batch.fits(host.publication.holders, table.messagesSent, fill)
}

// findWarmHosts determines which shared tables hold a warm host, and which should.
func (b *Balancer) findWarmHosts(tables []sharedTableState) {
	for zone := range b.deployment.Zones {
		number := b.sharedTable(zone)
		tables[number].withoutWarmTarget = !b.hasWarmTarget(number)
		tables[number].withoutWarmEntry = !b.hasWarmEntry(number)
	}
}

// logWarmHosts logs each shared table that has lost its last warm host, or has one again, since the last round.
func (b *Balancer) logWarmHosts(writer UpdateWriter, tables []sharedTableState) {
	for zone := range b.deployment.Zones {
		number := b.sharedTable(zone)
		table := &b.tables[number]
		hasWarmHost := !tables[number].withoutWarmTarget
		switch {
		case !hasWarmHost && table.hadWarmHost:
			table.lostWarmHost = true
			writer.Log(b.warmHostEvent(NoWarmHost, zone, tables[number].proxies))
		case hasWarmHost && table.lostWarmHost:
			table.lostWarmHost = false
			writer.Log(b.warmHostEvent(WarmHostAgain, zone, tables[number].proxies))
		}
		table.hadWarmHost = hasWarmHost
	}
}

// warmHostEvent returns the event of a shared table, by which the given number of proxies route.
func (b *Balancer) warmHostEvent(kind EventKind, zone, proxies int) Event {
	var fields []Field
	if b.zoneLocal {
		fields = append(fields, Field{"zone", float64(zone), 0})
	}
	return Event{kind, NoHost, append(fields, Field{"proxies", float64(proxies), 0})}
}

// hasWarmTarget reports whether a shared table should hold a warm host.
func (b *Balancer) hasWarmTarget(table int) bool {
	return slices.ContainsFunc(b.hostOrder, func(index int) bool {
		return b.isWarmTarget(&b.hosts[index], table)
	})
}

// hasWarmEntry reports whether a shared table holds a warm host that it should hold.
func (b *Balancer) hasWarmEntry(table int) bool {
	return slices.ContainsFunc(b.hostOrder, func(index int) bool {
		host := &b.hosts[index]
		return host.publication.weight > 0 && b.isWarmTarget(host, table)
	})
}

// isWarmTarget reports whether a host is warm and should be in a shared table.
func (b *Balancer) isWarmTarget(host *hostRecord, table int) bool {
	return b.sharedTable(host.endpoint.zone) == table && b.slowStartFactor(host) >= 1 && b.targetWeight(host, false) > 0
}

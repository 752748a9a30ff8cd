package routing

import "sort"

const (
	// tableAssignmentEntries is the number of entries that the assignment of a shared table costs, in addition to one
	// for each host.
	tableAssignmentEntries = 2

	// reassignmentBudgetSeconds is the update budget, in seconds of the channel's throughput, that must have
	// accumulated before a proxy that has a table is assigned a shared one, so that weights take precedence.
	reassignmentBudgetSeconds = 0.5
)

// assignmentCounts counts the proxies by the tables that they route by.
type assignmentCounts struct {
	assigned         int     // connected proxies with a table
	unassigned       int     // connected proxies without a table
	maxMessagesSent  int     // messages sent within the message window to the proxy that was sent most
	messageSpacingMs float64 // the longest ControlChannel.messageSpacingMs of a proxy
	ratePerWeight    float64 // requests a second for each unit of published weight
}

// sharedTable returns the number of the table that a zone's proxies share: one for all zones, or the zone's own where
// a request class must stay in its zone.
func (b *Balancer) sharedTable(zone int) int {
	if b.zoneLocal {
		return 1 + zone
	}
	return 0
}

// subsetTable returns the number of a proxy's own table.
func (b *Balancer) subsetTable(proxy int) int { return 1 + b.deployment.Zones + proxy }

// SubsetTable returns the number of the table that a proxy may be given for itself.
func (b *Balancer) SubsetTable(proxy int) int { return b.subsetTable(proxy) }

// countAssignments counts the proxies with and without tables, and the proxies of each shared table. For each host it
// counts the proxies whose table holds the host, and sums the traffic that subsets send to it. It drops expired
// messages.
func (b *Balancer) countAssignments(tables []sharedTableState) assignmentCounts {
	var counts assignmentCounts
	requestRate := 0.0
	maxTransitMs := b.channel.maxTransitMs()
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected {
			continue
		}
		b.expireMessages(proxy, maxTransitMs)
		counts.maxMessagesSent = max(counts.maxMessagesSent, len(proxy.messageTimesMs))
		counts.messageSpacingMs = max(counts.messageSpacingMs,
			b.channel.messageSpacingMs(proxy.messageTimesMs, b.nowMs))
		requestRate += proxy.requestRate
		if !proxy.assigned {
			counts.unassigned++
			continue
		}
		counts.assigned++
		shared := &tables[b.sharedTable(proxy.zone)]
		shared.messagesSent = max(shared.messagesSent, len(proxy.messageTimesMs))
		if !proxy.ownsTable {
			shared.proxies++
		}
		b.countFallbackTable(tables, i)
	}
	weight := minDivisor
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		host.publication.holders = tables[b.sharedTable(host.endpoint.zone)].proxies
		host.publication.subsetRate = 0
		weight += host.publication.weight
	}
	b.countSubsets()
	counts.ratePerWeight = requestRate / weight
	return counts
}

// countSubsets adds the proxies with their own tables to the counts of their hosts.
func (b *Balancer) countSubsets() {
	for i := range b.proxies {
		proxy := &b.proxies[i]
		proxy.subsetWeight = 0
		if !proxy.connected || !b.usesOwnTable(i) {
			continue
		}
		ratePerHost := proxy.requestRate / float64(len(proxy.subset))
		for _, index := range proxy.subset {
			publication := &b.hosts[index].publication
			publication.holders++
			publication.subsetRate += ratePerHost
			proxy.subsetWeight += publication.weight
		}
	}
}

// assignTables gives proxies a shared table or a subset of the hosts. A proxy that cannot get the shared table in time
// gets a subset first, since it must not keep routing by an old table; the subset is empty where its zone has no host
// for one. In subset mode and while a retry storm is quiesced every proxy gets a subset. A subset that lost hosts is
// refilled.
func (b *Balancer) assignTables(round *publishRound, proxies []int) {
	if len(proxies) > 0 {
		b.countSubsetHosts(round.tables)
	}
	for _, index := range proxies {
		proxy := &b.proxies[index]
		if !b.maySendMessage(proxy) {
			continue
		}
		hosts := round.tables[b.sharedTable(proxy.zone)].entries
		cost := float64(hosts) + tableAssignmentEntries + round.batch.messageOverhead
		subsetFirst := b.needsSubset(round, proxy, hosts, cost)
		switch {
		case !subsetFirst && b.maySendSharedTable(round, proxy, cost):
			b.assignSharedTable(round, index, cost)
		case subsetFirst && !proxy.ownsTable || !round.urgentPending && b.lacksHosts(proxy, round.assignments.ratePerWeight):
			b.assignSubset(round, index, protectiveFill, !proxy.assigned)
		}
	}
}

// proxiesToAssign returns the proxies without a table, and those that should get another table than the one they have,
// or more hosts in their own; each list has the proxies with the most traffic first.
func (b *Balancer) proxiesToAssign(ratePerWeight float64) (unassigned, reassigned []int) {
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected {
			continue
		}
		wrongTable := proxy.ownsTable != b.subsetMode.active && !b.retryStorm.quiescing
		switch {
		case !proxy.assigned:
			unassigned = append(unassigned, i)
		case wrongTable || b.lacksHosts(proxy, ratePerWeight):
			reassigned = append(reassigned, i)
		}
	}
	b.sortByTraffic(unassigned)
	b.sortByTraffic(reassigned)
	return unassigned, reassigned
}

// sortByTraffic sorts proxies by descending traffic.
func (b *Balancer) sortByTraffic(proxies []int) {
	sort.SliceStable(proxies, func(i, j int) bool {
		return b.proxies[proxies[i]].requestRate > b.proxies[proxies[j]].requestRate
	})
}

// maySendMessage reports whether a proxy may be sent one more message for its table. A proxy without a table may use
// more of the message limit.
func (b *Balancer) maySendMessage(proxy *proxyRecord) bool {
	sent := len(proxy.messageTimesMs)
	return b.channel.allowsMessage(sent, protectiveFill) ||
		!proxy.assigned && b.channel.allowsMessage(sent, removalFill)
}

// needsSubset reports whether a proxy should get a subset of the hosts instead of a shared table, which has the given
// number of hosts. cost is that of the shared table, in entries with the message overhead.
func (b *Balancer) needsSubset(round *publishRound, proxy *proxyRecord, hosts int, cost float64) bool {
	if b.subsetMode.active || b.retryStorm.quiescing {
		return true
	}
	entries := float64(round.assignments.unassigned)*cost + round.batch.initialBacklog
	late := hosts > minSubsetSize && b.exceedsAssignmentGrace(entries)
	return !proxy.assigned && (late || round.urgentPending)
}

// maySendSharedTable reports whether a shared table of the given cost, in entries, fits the channel and, where the
// proxy already has a table, the update budget.
func (b *Balancer) maySendSharedTable(round *publishRound, proxy *proxyRecord, cost float64) bool {
	backlog := round.batch.backlog
	fits := backlog == 0 || backlog+cost <= assignmentFill*b.channel.MaxBacklog
	affordable := !proxy.assigned || b.publishing.budget > b.channel.EntriesPerSecond*reassignmentBudgetSeconds
	return fits && affordable && !round.urgentPending
}

// assignSharedTable makes a proxy route by its zone's shared table. cost is in entries, with the message overhead.
func (b *Balancer) assignSharedTable(round *publishRound, index int, cost float64) {
	proxy := &b.proxies[index]
	round.batch.addEntries(index, cost-round.batch.messageOverhead)
	if proxy.assigned {
		b.publishing.budget -= cost
	}
	round.writer.AssignTable(index, b.sharedTable(proxy.zone), 0)
	proxy.assigned = true
	proxy.ownsTable = false
	proxy.fallbackTable = noFallbackTable
}

// assignSubset makes a proxy route by its own table, which holds a subset of the hosts, or refills that table. It does
// nothing, and returns false, where the channel has no capacity left within the fraction fill of its limits, or where
// there are no hosts to add and an empty table is not allowed. An empty table is better than none for a proxy that
// may route by a table with draining or removed hosts.
func (b *Balancer) assignSubset(round *publishRound, index int, fill float64, allowEmpty bool) bool {
	batch := &round.batch
	if !batch.hasCapacity(batch.messageOverhead+minSubsetSize, fill) {
		return false
	}
	proxy := &b.proxies[index]
	if !proxy.ownsTable {
		b.clearSubset(round.writer, index)
	}
	added := b.fillSubset(round, index, false)
	if added == 0 && !allowEmpty {
		return false
	}
	batch.addEntries(index, float64(added))
	if !proxy.ownsTable {
		batch.addEntries(index, 1)
		round.writer.AssignTable(index, b.subsetTable(index), 0)
		proxy.fallbackTable = noFallbackTable
	}
	proxy.assigned = true
	proxy.ownsTable = true
	return true
}

// clearSubset removes all hosts from a proxy's own table.
func (b *Balancer) clearSubset(writer UpdateWriter, index int) {
	proxy := &b.proxies[index]
	for _, host := range proxy.subset {
		writer.SetWeight(b.subsetTable(index), host, 0)
	}
	proxy.subset = proxy.subset[len(proxy.subset):]
}

package routing

import "sort"

// removalGraceShare is the fraction of the drain grace within which the channel must be able to send its backlog and
// the waiting urgent updates: the rest is for the time that they were collected, and for removals that follow.
const removalGraceShare = 0.5

// assignSubsetsForRemovals gives proxies a subset of the hosts in place of the shared table where the waiting removals,
// with the slow-start cuts that are sent with them, could not leave the channel in time: a subset has no such host and
// costs a few entries, the updates cost an entry for each host. It gives them to as few proxies as needed, those with
// the least traffic first. They get the shared table again as assignTables finds capacity for it.
func (b *Balancer) assignSubsetsForRemovals(round *publishRound) {
	if b.nowMs < b.publishing.urgentSentAtMs+b.minUrgentGatherMs(round) {
		return
	}
	if !b.countUrgentUpdates(round.tables) {
		return
	}
	b.countSubsetHosts(round.tables)
	excess := round.batch.backlog + b.urgentCost(round) - b.removalCapacity()
	if excess <= 0 {
		return
	}
	assigned := false
	for _, index := range b.sharedTableProxies() {
		updates := round.tables[b.sharedTable(b.proxies[index].zone)].urgentUpdates
		if updates <= minSubsetSize { // a subset would cost as much
			continue
		}
		before := round.batch.backlog
		if !b.maySendMessage(&b.proxies[index]) || !b.assignSubset(round, index, removalFill, true) {
			continue
		}
		assigned = true
		saved := float64(updates) + round.batch.messageOverhead - (round.batch.backlog - before)
		excess -= saved
		if excess <= 0 || saved <= 0 {
			break
		}
	}
	if assigned {
		clear(round.tables)
		round.assignments = b.countAssignments(round.tables)
		b.findWarmHosts(round.tables)
	}
}

// removalCapacity returns the number of entries that the channel can send within removalGraceShare of the drain grace.
func (b *Balancer) removalCapacity() float64 {
	return b.channel.EntriesPerSecond * b.limits.DrainGraceMs / msPerSecond * removalGraceShare
}

// countUrgentUpdates counts the waiting urgent updates of each shared table, and reports whether there are any.
func (b *Balancer) countUrgentUpdates(tables []sharedTableState) bool {
	pending := false
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		host.publication.urgentPending = host.publication.weight > 0 && b.urgency(host) != ordinaryUrgency
		if host.publication.urgentPending {
			tables[b.sharedTable(host.endpoint.zone)].urgentUpdates++
			pending = true
		}
	}
	return pending
}

// urgentCost returns the number of entries that all waiting urgent updates cost, with the message overhead.
func (b *Balancer) urgentCost(round *publishRound) float64 {
	cost := 0.0
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected || !proxy.assigned {
			continue
		}
		updates := round.tables[b.sharedTable(proxy.zone)].urgentUpdates
		if proxy.ownsTable {
			updates = b.countUrgentSubsetUpdates(proxy)
		}
		if updates > 0 {
			cost += float64(updates) + round.batch.messageOverhead
		}
	}
	return cost
}

// countUrgentSubsetUpdates counts the waiting urgent updates of a proxy's own table.
func (b *Balancer) countUrgentSubsetUpdates(proxy *proxyRecord) int {
	count := 0
	for _, index := range proxy.subset {
		if b.hosts[index].publication.urgentPending {
			count++
		}
	}
	return count
}

// sharedTableProxies returns the connected proxies that route by a shared table, by ascending traffic.
func (b *Balancer) sharedTableProxies() []int {
	var proxies []int
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if proxy.connected && proxy.assigned && !proxy.ownsTable {
			proxies = append(proxies, i)
		}
	}
	sort.SliceStable(proxies, func(i, j int) bool {
		return b.proxies[proxies[i]].requestRate < b.proxies[proxies[j]].requestRate
	})
	return proxies
}

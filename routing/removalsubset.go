package routing

import "sort"

// removalGraceShare is the fraction of the drain grace within which the channel must be able to send its backlog and
// the waiting removals: the rest is for the time that they were collected, and for removals that follow.
const removalGraceShare = 0.5

// assignSubsetsForRemovals gives proxies a subset of the hosts in place of the shared table where the waiting removals
// could not leave the channel in time: a subset has no removed host and costs a few entries, the removals cost an entry
// for each removed host. It gives them to as few proxies as needed, those with the least traffic first. They get the
// shared table again as assignTables finds capacity for it.
func (b *Balancer) assignSubsetsForRemovals(round *publishRound) {
	if b.nowMs < b.publishing.urgentSentAtMs+b.minUrgentGatherMs(round) {
		return
	}
	b.countTableRemovals(round.tables)
	excess := round.batch.backlog + b.removalCost(round) - b.removalCapacity()
	if excess <= 0 {
		return
	}
	assigned := false
	for _, index := range b.sharedTableProxies() {
		removals := round.tables[b.sharedTable(b.proxies[index].zone)].removals
		if removals <= minSubsetSize { // a subset would cost as much
			continue
		}
		before := round.batch.backlog
		if !b.maySendMessage(&b.proxies[index]) || !b.assignSubset(round, index, removalFill, true) {
			continue
		}
		assigned = true
		saved := float64(removals) + round.batch.messageOverhead - (round.batch.backlog - before)
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

// countTableRemovals counts the waiting removals from each shared table.
func (b *Balancer) countTableRemovals(tables []sharedTableState) {
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if host.isRemovalPending() {
			tables[b.sharedTable(host.endpoint.zone)].removals++
		}
	}
}

// removalCost returns the number of entries that all waiting removals cost, with the message overhead.
func (b *Balancer) removalCost(round *publishRound) float64 {
	cost := 0.0
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected || !proxy.assigned {
			continue
		}
		removals := round.tables[b.sharedTable(proxy.zone)].removals
		if proxy.ownsTable {
			removals = b.countSubsetRemovals(proxy)
		}
		if removals > 0 {
			cost += float64(removals) + round.batch.messageOverhead
		}
	}
	return cost
}

// countSubsetRemovals counts the waiting removals from a proxy's own table.
func (b *Balancer) countSubsetRemovals(proxy *proxyRecord) int {
	count := 0
	for _, index := range proxy.subset {
		if b.hosts[index].isRemovalPending() {
			count++
		}
	}
	return count
}

// isRemovalPending reports whether a host is draining or removed and still published.
func (h *hostRecord) isRemovalPending() bool {
	return h.endpoint.state != Ready && h.publication.weight > 0
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

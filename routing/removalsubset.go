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
	removals := b.countRemovals(b.hostOrder)
	gathered := b.nowMs >= b.publishing.urgentSentAtMs+b.minUrgentGatherMs(round)
	if b.zoneLocal || removals == 0 || !gathered {
		return
	}
	excess := round.batch.backlog + b.removalCost(round, removals) - b.removalCapacity()
	if excess <= 0 {
		return
	}
	messageCost := float64(removals) + round.batch.messageOverhead
	assigned := false
	for _, index := range b.sharedTableProxies() {
		before := round.batch.backlog
		if !b.maySendMessage(&b.proxies[index]) || !b.assignSubset(round, index, removalFill) {
			continue
		}
		assigned = true
		saved := messageCost - (round.batch.backlog - before)
		excess -= saved
		if excess <= 0 || saved <= 0 {
			break
		}
	}
	if assigned {
		clear(round.tables)
		round.assignments = b.countAssignments(round.tables)
	}
}

// removalCapacity returns the number of entries that the channel can send within removalGraceShare of the drain grace.
func (b *Balancer) removalCapacity() float64 {
	return b.channel.EntriesPerSecond * b.limits.DrainGraceMs / msPerSecond * removalGraceShare
}

// removalCost returns the number of entries that all waiting removals cost, with the message overhead. sharedRemovals
// is the number of those from the shared table.
func (b *Balancer) removalCost(round *publishRound, sharedRemovals int) float64 {
	cost := 0.0
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected || !proxy.assigned {
			continue
		}
		removals := sharedRemovals
		if proxy.ownsTable {
			removals = b.countRemovals(proxy.subset)
		}
		if removals > 0 {
			cost += float64(removals) + round.batch.messageOverhead
		}
	}
	return cost
}

// countRemovals counts the hosts that are draining or removed and still published.
func (b *Balancer) countRemovals(hosts []int) int {
	count := 0
	for _, index := range hosts {
		host := &b.hosts[index]
		if host.endpoint.state != Ready && host.publication.weight > 0 {
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

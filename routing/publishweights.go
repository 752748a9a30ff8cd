package routing

import (
	"slices"
	"sort"
)

const (
	// ackQuorum is the fraction of the proxies that must have acknowledged the last weights before the next are
	// published.
	ackQuorum = 0.8

	// ackTimeoutMs is the time after which the next weights are published whatever was acknowledged.
	ackTimeoutMs = 2000.0

	// weightGraceShare is the fraction of the drain grace within which the channel must be able to send its backlog,
	// or no weights are added to it: a host that begins to drain next must still be removed from the tables in time.
	weightGraceShare = 0.4
)

// weightRollout counts the proxies that have acknowledged the last batch with ordinary weights.
type weightRollout struct {
	version  int
	proxies  int // number of proxies that it was sent to
	acks     int
	sentAtMs float64
}

// weightUpdate is a target weight that is not published yet.
type weightUpdate struct {
	host   int
	weight float64
	change float64 // absolute difference from the published weight
}

// rolloutAcknowledged reports whether most proxies that were sent the last weights have acknowledged them, or
// ackTimeoutMs have passed.
func (b *Balancer) rolloutAcknowledged() bool {
	acknowledged := float64(b.rollout.acks) >= ackQuorum*float64(b.rollout.proxies)
	return acknowledged || b.nowMs >= b.rollout.sentAtMs+ackTimeoutMs
}

// publishWeight sets a host's weight in every table that holds it.
func (b *Balancer) publishWeight(round *publishRound, index int, weight float64) {
	host := &b.hosts[index]
	host.publication.weight = weight
	table := b.sharedTable(host.endpoint.zone)
	round.writer.SetWeight(table, index, weight)
	if host.publication.holders == 0 {
		return
	}
	subsetWeight := weight
	if b.slowStartFactor(host) < 1 { // it might be the only host left in a subset
		subsetWeight = 0
	}
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if !proxy.connected || !proxy.assigned { // it has no table
			continue
		}
		if b.usesOwnTable(i) {
			b.publishSubsetWeight(round, i, index, subsetWeight)
		}
		if !proxy.ownsTable && b.sharedTable(proxy.zone) == table {
			round.batch.addEntries(i, 1)
		}
		if proxy.fallbackTable == table && table != noFallbackTable {
			round.batch.addEntries(i, 1)
		}
	}
}

// publishSubsetWeight sets a host's weight in a proxy's own table, where the host is in it.
func (b *Balancer) publishSubsetWeight(round *publishRound, proxyIndex, hostIndex int, weight float64) {
	proxy := &b.proxies[proxyIndex]
	position := slices.Index(proxy.subset, hostIndex)
	if position < 0 {
		return
	}
	round.batch.addEntries(proxyIndex, 1)
	round.writer.SetWeight(b.subsetTable(proxyIndex), hostIndex, weight)
	if weight == 0 {
		proxy.subset = slices.Delete(proxy.subset, position, position+1)
	}
}

// publishWeights writes the ordinary weight updates, the largest changes first. An update waits where the update
// budget is used up, where the backlog could not leave the channel within weightGraceShare of the drain grace, or
// where it does not fit weightFill of the channel. Once one update is written the others need no budget, since the
// messages are sent in any case.
func (b *Balancer) publishWeights(round *publishRound) {
	updates := round.ordinary
	batch := &round.batch
	sort.SliceStable(updates, func(i, j int) bool { return updates[i].change > updates[j].change })
	initialBacklog := batch.backlog
	// In a fleet so large that one entry for all proxies takes longer than the grace, waiting would not help.
	graceEntries := b.channel.EntriesPerSecond * b.limits.DrainGraceMs / msPerSecond * weightGraceShare
	entriesForAll := float64(batch.assigned) * (batch.messageOverhead + 1)
	for _, update := range updates {
		before := batch.backlog
		affordable := b.publishing.budget > 0 || before > initialBacklog
		leavesInTime := before <= graceEntries || entriesForAll > graceEntries
		host := &b.hosts[update.host]
		messagesSent := round.tables[b.sharedTable(host.endpoint.zone)].messagesSent
		if affordable && leavesInTime && batch.fits(host.publication.holders, messagesSent, weightFill) {
			b.publishWeight(round, update.host, update.weight)
			b.publishing.budget -= batch.backlog - before
		}
	}
	if batch.backlog > initialBacklog {
		b.rollout = weightRollout{version: batch.version, proxies: batch.proxies, sentAtMs: b.nowMs}
	}
}

package routing

import (
	"math"
	"slices"
	"sort"
)

const (
	// maxVersion is the last version stamp before they start again at 1.
	maxVersion = 60000

	// ackQuorum is the part of the proxies that must have acknowledged the last weights before the next are published.
	ackQuorum = 0.8

	// ackTimeoutMs is the time after which the next weights are published whatever was acknowledged.
	ackTimeoutMs = 2000.0

	// urgentGatherMs is the time in which urgent updates gather into one message.
	urgentGatherMs = 350.0

	// weightGraceShare is the part of the drain grace within which all that is in the channel must have left it before
	// weights are added: a host that drains next must still be out of the tables in time.
	weightGraceShare = 0.4

	// minQuotaChange is the change of an admission quota that is worth an entry.
	minQuotaChange = 0.02

	// unlimitedQuota is published where admission quotas are not heeded.
	unlimitedQuota = 1e6
)

// updateUrgency ranks the weight updates of a round.
type updateUrgency int

// The urgencies, most urgent first. While an update of the first two is left unwritten no other is written, since a
// proxy's acknowledgement of a later update would count as knowing it.
const (
	removalUrgency   updateUrgency = iota // the host is draining or removed
	slowStartUrgency                      // the host is warming up, and published with far more than it may get
	ordinaryUrgency
)

// urgencyFill gives the fill of the channel for each urgency.
var urgencyFill = [...]float64{
	removalUrgency:   removalFill,
	slowStartUrgency: removalFill,
	ordinaryUrgency:  protectiveFill,
}

// publicationRecord is what the published tables hold of a host.
type publicationRecord struct {
	weight     float64
	holders    int     // proxies whose table must be sent a change of the weight
	subsetRate float64 // requests a second that proxies with their own tables send there
}

// publishingState is what publish keeps from round to round.
type publishingState struct {
	version        int     // of the last update batch; 0: none yet
	lastAtMs       float64 // when publish last ran
	urgentSentAtMs float64 // when an urgent update was last written
	urgentPending  bool    // removals or slow starts wait for the control channel
	budget         float64 // entries that weights and reassignments may cost

	costs  []float64          // kept from round to round to spare an allocation
	tables []sharedTableState // the same
}

// weightRollout tells how many proxies have acknowledged the last batch with ordinary weights.
type weightRollout struct {
	version  int
	proxies  int // that were sent it
	acks     int
	sentAtMs float64
}

// sharedTableState is what a round knows of a shared table.
type sharedTableState struct {
	proxies           int  // that route by it
	entries           int  // hosts that it should hold
	withoutWarmTarget bool // it should hold no warm host: ejections are passed over
	withoutWarmEntry  bool // it holds no warm host: additions are as urgent as removals
}

// weightUpdate is a weight that is not published yet.
type weightUpdate struct {
	host   int
	weight float64
	change float64 // by how much the weight differs from the published one
}

// publishRound is what the steps of one call of publish share.
type publishRound struct {
	writer        UpdateWriter
	batch         updateBatch
	assignments   assignmentCounts
	tables        []sharedTableState // by table number
	urgentDue     bool               // urgent updates have gathered for long enough
	urgentPending bool               // a removal or slow start was left unwritten in this round
	ordinary      []weightUpdate     // updates to be written last
}

// publish writes the updates that the control channel has room for: removals first, then what protects hosts that are
// warming up or ejected, admission quotas, tables for proxies, and ordinary weights, the largest changes first, once
// most proxies have the last ones. Each kind may fill a part of the channel's limits; what does not fit waits.
func (b *Balancer) publish(writer UpdateWriter) {
	b.refillChannel()
	b.publishing.tables = grow(b.publishing.tables, b.deployment.Zones+1, sharedTableState{})
	clear(b.publishing.tables)
	assignments := b.countAssignments(b.publishing.tables)
	round := &publishRound{
		writer:      writer,
		batch:       b.newUpdateBatch(assignments),
		assignments: assignments,
		tables:      b.publishing.tables,
		urgentDue:   b.nowMs >= b.publishing.urgentSentAtMs+urgentGatherMs,
	}
	if b.publishing.version == 0 && assignments.unassigned == 0 {
		return
	}
	b.updateSlowStart(writer)
	b.publishUrgent(round)
	b.publishing.urgentPending = round.urgentPending
	weightsAllowed := b.rolloutAcknowledged() && !round.urgentPending
	if weightsAllowed && round.batch.fits(assignments.assigned, protectiveFill) {
		b.publishAdmission(round)
	}
	b.assignTables(round)
	if weightsAllowed {
		b.publishWeights(round)
	}
	b.sendBatch(writer, &round.batch)
}

// rolloutAcknowledged tells whether most proxies that were sent the last weights have acknowledged them, or
// ackTimeoutMs have passed.
func (b *Balancer) rolloutAcknowledged() bool {
	acknowledged := float64(b.rollout.acks) >= ackQuorum*float64(b.rollout.proxies)
	return acknowledged || b.nowMs >= b.rollout.sentAtMs+ackTimeoutMs
}

// publishUrgent goes through all hosts by urgency. It writes the urgent updates, and leaves the others in the round.
func (b *Balancer) publishUrgent(round *publishRound) {
	for zone := range b.deployment.Zones {
		number := b.sharedTable(zone)
		round.tables[number].withoutWarmTarget = !b.hasWarmTarget(number)
		round.tables[number].withoutWarmEntry = !b.hasWarmEntry(number)
	}
	order := b.publishOrder()
	for urgency := range updateUrgency(len(urgencyFill)) {
		for _, index := range order {
			// The urgency is judged anew: a host whose slow start was just published counts as ordinary, too.
			if b.urgency(&b.hosts[index]) == urgency {
				b.publishHost(round, index, urgency)
			}
		}
	}
}

// publishOrder gives the hosts in the order of discovery or, where urgent updates have been waiting for the channel,
// with those that changed first before the others.
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

// urgency ranks a host's weight update.
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

// publishHost writes a host's weight where it is urgent and fits the channel, and else leaves it in the round.
func (b *Balancer) publishHost(round *publishRound, index int, urgency updateUrgency) {
	host := &b.hosts[index]
	table := &round.tables[b.sharedTable(host.endpoint.zone)]
	weight := b.targetWeight(host, table.withoutWarmTarget)
	if weight > 0 {
		table.entries++
	}
	published := host.publication.weight
	change := math.Abs(weight - published)
	if change > 0 && round.maySend(host, weight, urgency, table.withoutWarmEntry) {
		if host.publication.holders > 0 {
			b.publishing.urgentSentAtMs = b.nowMs
		}
		b.publishWeight(round, index, weight)
		return
	}
	if change > 0 && urgency < ordinaryUrgency {
		round.urgentPending = true
	}
	if change > minWeightChange*math.Max(published, minWeightRatio*host.endpoint.baseWeight) {
		round.ordinary = append(round.ordinary, weightUpdate{index, weight, change})
	}
}

// maySend tells whether a host's weight may be written before the ordinary ones: no proxy has to be sent it, or it
// protects the host or the proxies and fits the channel.
func (r *publishRound) maySend(host *hostRecord, weight float64, urgency updateUrgency, withoutWarmEntry bool) bool {
	if host.publication.holders == 0 {
		return true
	}
	protective := urgency == slowStartUrgency || weight == 0 || withoutWarmEntry && host.publication.weight == 0
	return protective && !r.urgentPending && (r.urgentDue || withoutWarmEntry) &&
		r.batch.fits(host.publication.holders, urgencyFill[urgency])
}

// hasWarmTarget tells whether a shared table should hold a warm host.
func (b *Balancer) hasWarmTarget(table int) bool {
	return slices.ContainsFunc(b.hostOrder, func(index int) bool {
		return b.isWarmTarget(&b.hosts[index], table)
	})
}

// hasWarmEntry tells whether a shared table holds a warm host that it should hold.
func (b *Balancer) hasWarmEntry(table int) bool {
	return slices.ContainsFunc(b.hostOrder, func(index int) bool {
		host := &b.hosts[index]
		return host.publication.weight > 0 && b.isWarmTarget(host, table)
	})
}

// isWarmTarget tells whether a host is warm and should be in a shared table.
func (b *Balancer) isWarmTarget(host *hostRecord, table int) bool {
	return b.sharedTable(host.endpoint.zone) == table && b.slowStartFactor(host) >= 1 && b.targetWeight(host, false) > 0
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
	if b.slowStartFactor(host) < 1 { // it might be all that is left of a subset
		subsetWeight = 0
	}
	for i := range b.proxies {
		proxy := &b.proxies[i]
		switch {
		case !proxy.connected || !proxy.assigned: // it has no table
		case proxy.ownsTable:
			b.publishSubsetWeight(round, i, index, subsetWeight)
		case b.sharedTable(proxy.zone) == table:
			round.batch.account(i, 1)
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
	round.batch.account(proxyIndex, 1)
	round.writer.SetWeight(b.subsetTable(proxyIndex), hostIndex, weight)
	if weight == 0 {
		proxy.subset = slices.Delete(proxy.subset, position, position+1)
	}
}

// publishAdmission writes what changed of the admission quotas and the retry policy, for all connected proxies.
func (b *Balancer) publishAdmission(round *publishRound) {
	policyChanged := b.admission.retryPolicy != b.admission.publishedRetryPolicy
	b.admission.publishedRetryPolicy = b.admission.retryPolicy
	for class, quota := range b.admission.quotas {
		quotaChanged := math.Abs(quota-b.admission.publishedQuotas[class]) > minQuotaChange
		if !quotaChanged && !policyChanged {
			continue
		}
		b.admission.publishedQuotas[class] = quota
		if !b.deployment.AdmissionControl {
			quota = unlimitedQuota
		}
		round.writer.SetAdmission(AllTables, 1<<class, quota, b.admission.retryPolicy)
		for i := range b.proxies {
			if b.proxies[i].connected {
				round.batch.account(i, 1)
			}
		}
	}
}

// publishWeights writes the ordinary weight updates, the largest changes first, as far as the budget and the channel
// allow. Once one is written the others may go with it, whatever is left of the budget: the messages go out anyway.
func (b *Balancer) publishWeights(round *publishRound) {
	updates, batch := round.ordinary, &round.batch
	sort.SliceStable(updates, func(i, j int) bool { return updates[i].change > updates[j].change })
	initialBacklog := batch.backlog
	// In a fleet so large that one entry for all proxies takes longer than the grace, waiting would help nothing.
	graceEntries := b.channel.EntriesPerSecond * b.limits.DrainGraceMs / msPerSecond * weightGraceShare
	entriesForAll := float64(batch.assigned) * (batch.messageOverhead + 1)
	for _, update := range updates {
		before := batch.backlog
		affordable := b.publishing.budget > 0 || before > initialBacklog
		leavesInTime := before <= graceEntries || entriesForAll > graceEntries
		if affordable && leavesInTime && batch.fits(b.hosts[update.host].publication.holders, weightFill) {
			b.publishWeight(round, update.host, update.weight)
			b.publishing.budget -= batch.backlog - before
		}
	}
	if batch.backlog > initialBacklog {
		b.rollout = weightRollout{version: batch.version, proxies: batch.proxies, sentAtMs: b.nowMs}
	}
}

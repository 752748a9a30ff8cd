package routing

// maxVersion is the last version stamp before they start again at 1.
const maxVersion = 60000

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

// sharedTableState is what a round knows of a shared table.
type sharedTableState struct {
	proxies           int  // that route by it
	entries           int  // hosts that it should hold
	withoutWarmTarget bool // it should hold no warm host: ejections are passed over
	withoutWarmEntry  bool // it holds no warm host: additions are as urgent as removals
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

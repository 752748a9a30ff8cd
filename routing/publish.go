package routing

// maxVersion is the largest version stamp; the stamp after it is 1.
const maxVersion = 60000

// publicationRecord describes a host in the published tables.
type publicationRecord struct {
	weight     float64
	holders    int     // connected proxies whose table has the host; each needs a message for a change of its weight
	subsetRate float64 // requests a second that proxies with their own tables send there

	// urgentPending is set while the host waits for its removal or for a slow-start cut. It is valid within
	// assignSubsetsForRemovals.
	urgentPending bool
}

// publishingState is the state that publish keeps between rounds.
type publishingState struct {
	version        int     // version stamp of the last update batch; 0: none yet
	lastAtMs       float64 // when publish last ran
	urgentSentAtMs float64 // when an urgent update was last written
	urgentPending  bool    // removals or slow-start cuts wait for the control channel
	budget         float64 // update budget: tokens, in entries, for weights and reassignments

	costs  []float64          // reused in each round to avoid an allocation
	tables []sharedTableState // reused in each round likewise
}

// sharedTableState describes a shared table within one round.
type sharedTableState struct {
	proxies           int  // connected proxies that route by it
	entries           int  // number of hosts that it should hold
	messagesSent      int  // messages sent within the message window to the proxy of it that was sent most
	urgentUpdates     int  // hosts that are waiting for their removal or for a slow-start cut
	urgentPending     bool // a removal or slow-start cut of it does not fit this round
	subsetHosts       int  // hosts of it that may be in subsets
	withoutWarmTarget bool // no warm host of it has a target weight above 0: ejections are ignored
	withoutWarmEntry  bool // it holds no warm host: additions are as urgent as removals
}

// publishRound is the state that the steps of one call of publish share.
type publishRound struct {
	writer        UpdateWriter
	batch         updateBatch
	assignments   assignmentCounts
	tables        []sharedTableState // by table number
	urgentDue     bool               // urgent updates have been collected for long enough
	urgentPending bool               // a removal or slow-start cut does not fit this round
	urgentBlocked bool               // such an update waits for the channel, and so do all that follow
	ordinary      []weightUpdate     // updates to write after the urgent ones
}

// publish writes the updates for which the control channel has capacity, in this order: removals; updates that
// protect hosts that are warming up or ejected; admission quotas; table assignments; and ordinary weights, the
// largest changes first. Weights wait while the channel's backlog is too large (updateBatch.fits), while the update
// budget is used up or the backlog exceeds its fraction of the drain grace (publishWeights), and until most proxies
// have acknowledged the last weights (rolloutAcknowledged). Each kind of update may fill only a fraction of the
// channel's limits; what does not fit waits for a later round.
func (b *Balancer) publish(writer UpdateWriter) {
	b.refillUpdateBudget()
	b.publishing.tables = grow(b.publishing.tables, b.deployment.Zones+1, sharedTableState{})
	clear(b.publishing.tables)
	assignments := b.countAssignments(b.publishing.tables)
	round := &publishRound{
		writer:      writer,
		batch:       b.newUpdateBatch(assignments),
		assignments: assignments,
		tables:      b.publishing.tables,
	}
	if b.publishing.version == 0 && assignments.unassigned == 0 {
		return
	}
	b.updateSlowStart(writer)
	b.findWarmHosts(round.tables)
	b.logWarmHosts(writer, round.tables)
	b.assignSubsetsForRemovals(round)
	b.publishUrgent(round)
	b.publishing.urgentPending = round.urgentPending
	weightsAllowed := b.rolloutAcknowledged() && !round.urgentPending
	if weightsAllowed && round.batch.fits(assignments.assigned, assignments.maxMessagesSent, protectiveFill) {
		b.publishAdmission(round)
	}
	unassigned, reassigned := b.proxiesToAssign(round.assignments.ratePerWeight)
	b.assignTables(round, unassigned)
	b.assignFallbackTables(round)
	b.assignTables(round, reassigned)
	if weightsAllowed {
		b.publishWeights(round)
	}
	b.sendBatch(writer, &round.batch)
}

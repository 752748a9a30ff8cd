package routing

// updateBatch counts the cost, in entries, of the updates of one round.
type updateBatch struct {
	channel         ControlChannel
	version         int
	costs           []float64 // entries by proxy, with the message overhead
	messageOverhead float64   // fixed cost of a message, in entries
	proxies         int       // number of proxies that the batch reaches
	initialBacklog  float64   // entries in the channel before the batch
	backlog         float64   // entries in the channel with the batch
	unacknowledged  float64   // unacknowledged entries before the batch
	assigned        int       // number of proxies that have a table
}

// newUpdateBatch starts the batch of a round.
func (b *Balancer) newUpdateBatch(assignments assignmentCounts) updateBatch {
	b.publishing.costs = grow(b.publishing.costs, len(b.proxies), 0)
	clear(b.publishing.costs)
	inChannel := b.backlog.inChannel()
	return updateBatch{
		channel:         b.channel,
		version:         b.publishing.version%maxVersion + 1,
		costs:           b.publishing.costs,
		messageOverhead: b.channel.MessageOverhead + 1 + float64(len(b.admission.quotas)), // 1: the version stamp
		initialBacklog:  inChannel,
		backlog:         inChannel,
		unacknowledged:  b.backlog.unacknowledged,
		assigned:        assignments.assigned,
	}
}

// addEntries adds entries to a proxy's message, and the message overhead where it has none yet.
func (u *updateBatch) addEntries(proxy int, entries float64) {
	if u.costs[proxy] == 0 {
		u.proxies++
		entries += u.messageOverhead
	}
	u.costs[proxy] += entries
	u.backlog += entries
}

// fits reports whether the control channel has capacity for one more entry to each of the given number of proxies.
// messagesSent is the number of messages within the message window to the one of them that was sent most.
func (u *updateBatch) fits(proxies, messagesSent int, fill float64) bool {
	return u.fitsEntries(float64(proxies), proxies, messagesSent, fill)
}

// fitsEntries reports whether the control channel has capacity for more entries, without the message overhead, to the
// given number of proxies: the backlog, and the messages to each proxy, stay within the fraction fill of the channel's
// limits.
func (u *updateBatch) fitsEntries(entries float64, proxies, messagesSent int, fill float64) bool {
	newMessages := min(proxies, u.assigned-u.proxies)
	if !u.hasCapacity(entries+float64(newMessages)*u.messageOverhead, fill) {
		return false
	}
	return u.proxies >= u.assigned || u.channel.allowsMessage(messagesSent, fill)
}

// hasCapacity reports whether the backlog stays within the fraction fill of its limit with more entries, the message
// overhead included, and all unacknowledged entries within removalFill.
func (u *updateBatch) hasCapacity(entries, fill float64) bool {
	backlog := u.backlog + entries
	inTransit := u.unacknowledged - u.initialBacklog
	return backlog <= fill*u.channel.MaxBacklog && backlog+inTransit <= removalFill*u.channel.MaxBacklog
}

// sendBatch stamps the round's updates with their version, and counts each proxy's message as unacknowledged.
func (b *Balancer) sendBatch(writer UpdateWriter, batch *updateBatch) {
	if batch.backlog > batch.initialBacklog {
		writer.StampVersion(batch.version)
		b.publishing.version = batch.version
	}
	for i, entries := range batch.costs {
		if entries <= 0 {
			continue
		}
		proxy := &b.proxies[i]
		proxy.messageTimesMs = append(proxy.messageTimesMs, b.nowMs)
		proxy.unacknowledged = append(proxy.unacknowledged, updateMessage{batch.version, entries, b.nowMs})
		b.backlog.unacknowledged += entries
	}
}

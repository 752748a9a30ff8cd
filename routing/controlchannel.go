package routing

import (
	"math"
	"slices"
)

// The parts of the control channel's limits up to which each kind of update may fill it, most urgent first.
const (
	removalFill    = 0.95 // removals of draining and removed hosts, and cuts of hosts that have just started
	protectiveFill = 0.55 // ejections, what protects hosts that are warming up, subset tables, admission quotas
	weightFill     = 0.45 // weights
	assignmentFill = 0.3  // shared tables for single proxies, which cost an entry for each host
)

const (
	// assumedPaceRatio is the part of its pace at which the channel is taken to run.
	assumedPaceRatio = 0.5

	// minPaceRatio is the part of its pace that the channel never runs slower than: a message not acknowledged by then
	// has left it all the same.
	minPaceRatio = 0.1

	// assignmentGraceShare is the part of the drain grace within which proxies that have connected must have a table of
	// ours, since an old one may name drained hosts.
	assignmentGraceShare = 0.3

	// updateCostShare is the part of the deployment's result that the cost of weights may take.
	updateCostShare = 0.03

	// minPropagationDelayMs keeps the decay of the arriving entries finite.
	minPropagationDelayMs = 1.0
)

// controlBacklog counts the entries in the control channel.
type controlBacklog struct {
	unacknowledged float64 // entries written to connected proxies that they have not acknowledged
	arriving       float64 // entries acknowledged within the last propagation delay, decaying
}

// inChannel is the number of entries that take up the channel. What was acknowledged within the last propagation delay
// tells how much is on its way to the proxies now, and has left the channel.
func (c controlBacklog) inChannel() float64 {
	return math.Max(0, c.unacknowledged-c.arriving)
}

// updateMessage counts against the control channel until its proxy acknowledges its version or a later one.
type updateMessage struct {
	version  int
	entries  float64 // with the message overhead
	sentAtMs float64
}

// updateBatch counts what the updates of one round cost.
type updateBatch struct {
	channel         ControlChannel
	version         int
	costs           []float64 // entries by proxy, with the message overhead
	messageOverhead float64   // entries that a message costs besides its own
	proxies         int       // number of proxies that the batch reaches
	initialBacklog  float64   // entries in the channel before the batch
	backlog         float64   // entries in the channel with the batch
	unacknowledged  float64   // unacknowledged entries before the batch
	assigned        int       // number of proxies that have a table
	mostMessages    int       // messages sent within the message window to the proxy that was sent most
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
		messageOverhead: b.channel.MessageOverhead + 1 + float64(len(b.admission.quotas)), // 1: the version
		initialBacklog:  inChannel,
		backlog:         inChannel,
		unacknowledged:  b.backlog.unacknowledged,
		assigned:        assignments.assigned,
		mostMessages:    assignments.mostMessages,
	}
}

// account adds entries to a proxy's message, and the message overhead where it has none yet.
func (u *updateBatch) account(proxy int, entries float64) {
	if u.costs[proxy] == 0 {
		u.proxies++
		entries += u.messageOverhead
	}
	u.costs[proxy] += entries
	u.backlog += entries
}

// fits tells whether one more entry for each of so many proxies leaves the channel filled up to a part of its limits.
// The unacknowledged entries, on their way or not, stay under removalFill in any case.
func (u *updateBatch) fits(proxies int, fill float64) bool {
	newMessages := min(proxies, u.assigned-u.proxies)
	backlog := u.backlog + float64(proxies) + float64(newMessages)*u.messageOverhead
	limit := u.channel.MaxBacklog
	if backlog > fill*limit || backlog+u.unacknowledged-u.initialBacklog > removalFill*limit {
		return false
	}
	return u.proxies >= u.assigned || u.channel.allowsMessage(u.mostMessages, fill)
}

// allowsMessage tells whether a proxy that was sent so many messages within the message window may be sent one more,
// with one to spare, within a part of the limit.
func (c ControlChannel) allowsMessage(sent int, fill float64) bool {
	return c.MaxMessages == 0 || float64(sent+2) <= fill*float64(c.MaxMessages)
}

// maxTransitMs is the time after which a message has left the channel, acknowledged or not: that of a full channel at
// its least pace.
func (c ControlChannel) maxTransitMs() float64 {
	return c.PropagationDelayMs + c.MaxBacklog/(c.EntriesPerSecond*minPaceRatio)*msPerSecond
}

// exceedsDrainGrace tells whether so many entries take too long for proxies that wait for a table.
func (b *Balancer) exceedsDrainGrace(entries float64) bool {
	transitMs := entries / (b.channel.EntriesPerSecond * assumedPaceRatio) * msPerSecond
	return transitMs > b.limits.DrainGraceMs*assignmentGraceShare
}

// refillChannel adds what the time since the last round allows to the update budget, and lets the arriving entries
// decay. The budget is a token bucket of one second's pace; it fills at the part of the pace at which the cost of
// updates stays within updateCostShare.
func (b *Balancer) refillChannel() {
	channel := &b.channel
	passedMs := b.nowMs - b.publishing.lastAtMs
	b.publishing.lastAtMs = b.nowMs
	refill := passedMs / msPerSecond * channel.EntriesPerSecond * updateCostShare / math.Max(channel.Cost, updateCostShare)
	b.publishing.budget = math.Min(channel.EntriesPerSecond, b.publishing.budget+refill)
	b.backlog.arriving *= math.Exp(-passedMs / math.Max(channel.PropagationDelayMs, minPropagationDelayMs))
}

// Ack records that a proxy has acknowledged a version. The channel keeps its order, so that all messages before it have
// left the channel too. An unknown version counts for nothing.
func (b *Balancer) Ack(proxy, version int) {
	if proxy >= len(b.proxies) {
		return
	}
	record := &b.proxies[proxy]
	position := slices.IndexFunc(record.unacknowledged, func(m updateMessage) bool { return m.version == version })
	before := b.backlog.unacknowledged
	b.releaseMessages(record, position+1)
	b.backlog.arriving += before - b.backlog.unacknowledged
}

// releaseMessages takes a proxy's oldest messages out of the channel: they are acknowledged, too old, or their proxy
// has disconnected.
func (b *Balancer) releaseMessages(proxy *proxyRecord, count int) {
	for _, message := range proxy.unacknowledged[:count] {
		b.backlog.unacknowledged -= message.entries
		if proxy.connected && message.version == b.rollout.version {
			b.rollout.acks++
		}
	}
	proxy.unacknowledged = slices.Delete(proxy.unacknowledged, 0, count)
}

// expireMessages drops what is too old to count: messages sent before the message window, and unacknowledged ones that
// have left the channel in any case.
func (b *Balancer) expireMessages(proxy *proxyRecord, maxTransitMs float64) {
	windowStartMs := b.nowMs - b.channel.MessageWindowMs
	for len(proxy.messageTimesMs) > 0 && proxy.messageTimesMs[0] < windowStartMs {
		proxy.messageTimesMs = proxy.messageTimesMs[1:]
	}
	oldestInTransitMs := b.nowMs - maxTransitMs
	for len(proxy.unacknowledged) > 0 && proxy.unacknowledged[0].sentAtMs < oldestInTransitMs {
		b.releaseMessages(proxy, 1)
	}
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

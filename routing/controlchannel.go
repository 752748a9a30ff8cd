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

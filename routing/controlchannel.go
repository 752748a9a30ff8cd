package routing

import (
	"math"
	"slices"
)

// The fractions of the control channel's limits up to which each kind of update may fill it, most urgent first.
const (
	removalFill    = 0.95 // removals of draining and removed hosts, and slow-start cuts of hosts that have just started
	protectiveFill = 0.55 // ejections, updates that protect hosts that are warming up, subset tables, quotas
	weightFill     = 0.45 // ordinary weight updates
	assignmentFill = 0.3  // shared tables for single proxies, which cost an entry for each host
)

const (
	// assumedThroughputRatio is the fraction of its maximum throughput at which the channel is assumed to run.
	assumedThroughputRatio = 0.5

	// minThroughputRatio is the fraction of its maximum throughput that the channel is assumed to reach at least. A
	// message that stays unacknowledged for longer than a full channel needs at that throughput counts as sent.
	minThroughputRatio = 0.1

	// assignmentGraceShare is the fraction of the drain grace within which proxies that have connected must have a
	// table from this instance, since an old one may hold drained hosts.
	assignmentGraceShare = 0.3

	// updateCostShare is the fraction of the deployment's result that the cost of weight updates may consume.
	updateCostShare = 0.03

	// reservedMessages is the number of messages to each proxy that stay in reserve within the message window.
	reservedMessages = 1

	// minPropagationDelayMs keeps the decay of the arriving entries finite.
	minPropagationDelayMs = 1.0
)

// controlBacklog counts the entries in the control channel.
type controlBacklog struct {
	unacknowledged float64 // entries written to connected proxies that they have not acknowledged
	arriving       float64 // entries acknowledged within the last propagation delay, decaying
}

// inChannel returns the number of entries in the channel's queue. Of the unacknowledged entries some have already
// left the queue and are in transit to the proxies; their number is estimated by the entries acknowledged within the
// last propagation delay.
func (c controlBacklog) inChannel() float64 {
	return math.Max(0, c.unacknowledged-c.arriving)
}

// updateMessage counts against the control channel until its proxy acknowledges its version or a later one.
type updateMessage struct {
	version  int
	entries  float64 // with the message overhead
	sentAtMs float64
}

// allowsMessage reports whether a proxy that was sent the given number of messages within the message window may be
// sent one more and still have one in reserve, within the fraction fill of MaxMessages.
func (c ControlChannel) allowsMessage(sent int, fill float64) bool {
	return c.MaxMessages == 0 || float64(sent+1+reservedMessages) <= fill*float64(c.MaxMessages)
}

// messageSpacingMs returns the time between messages to a proxy by which those that it may still be sent last until
// its oldest one leaves the message window. sentAtMs are the send times within the window, oldest first.
func (c ControlChannel) messageSpacingMs(sentAtMs []float64, nowMs float64) float64 {
	if c.MaxMessages == 0 || len(sentAtMs) == 0 {
		return 0
	}
	left := math.Floor(removalFill*float64(c.MaxMessages)) - float64(reservedMessages+len(sentAtMs))
	return (sentAtMs[0] + c.MessageWindowMs - nowMs) / math.Max(1, left)
}

// maxTransitMs returns the time after which a message has left the channel, acknowledged or not: that of a full
// channel at its lowest throughput.
func (c ControlChannel) maxTransitMs() float64 {
	return c.PropagationDelayMs + c.MaxBacklog/(c.EntriesPerSecond*minThroughputRatio)*msPerSecond
}

// exceedsAssignmentGrace reports whether sending the given number of entries takes too long for proxies that wait for a
// table: more than assignmentGraceShare of the drain grace.
func (b *Balancer) exceedsAssignmentGrace(entries float64) bool {
	transitMs := entries / (b.channel.EntriesPerSecond * assumedThroughputRatio) * msPerSecond
	return transitMs > b.limits.DrainGraceMs*assignmentGraceShare
}

// refillUpdateBudget refills the update budget for the time since the last round, and decays the arriving entries. The
// budget is a token bucket, in entries, with a capacity of one second's throughput. It is refilled at the fraction of
// the throughput at which the cost of updates stays within updateCostShare.
func (b *Balancer) refillUpdateBudget() {
	channel := &b.channel
	passedMs := b.nowMs - b.publishing.lastAtMs
	b.publishing.lastAtMs = b.nowMs
	refill := passedMs / msPerSecond * channel.EntriesPerSecond * updateCostShare / math.Max(channel.Cost, updateCostShare)
	b.publishing.budget = math.Min(channel.EntriesPerSecond, b.publishing.budget+refill)
	b.backlog.arriving *= math.Exp(-passedMs / math.Max(channel.PropagationDelayMs, minPropagationDelayMs))
}

// Ack records that a proxy has acknowledged a version. The channel delivers in order, so all earlier messages have
// left it too. An unknown version or proxy is ignored.
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

// releaseMessages removes a proxy's oldest count messages from the backlog: they are acknowledged or expired, or
// their proxy has disconnected.
func (b *Balancer) releaseMessages(proxy *proxyRecord, count int) {
	for _, message := range proxy.unacknowledged[:count] {
		b.backlog.unacknowledged -= message.entries
		if proxy.connected && message.version == b.rollout.version {
			b.rollout.acks++
		}
	}
	proxy.unacknowledged = slices.Delete(proxy.unacknowledged, 0, count)
}

// expireMessages drops messages that were sent before the message window, and unacknowledged ones that must have left
// the channel by now.
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

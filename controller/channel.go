package controller

import (
	"iter"
	"math"

	"barleysail/routing"
)

// controlChannel models the channel of updates to the proxies as the balancer does: messages are sent one after the
// other at the configured rate, and each takes as long as its entries and its overhead need. Queued messages with a
// removal are sent before the others. The messages to one proxy keep their order, since at most one is queued, to which
// later updates are added.
type controlChannel struct {
	entriesPerMs    float64
	messageOverhead float64 // entries that each message counts in addition to its own
	cost            float64 // ratio of the objective that is lost while the channel is used at its whole rate
	maxMessages     int     // limit of the messages to a proxy within messageWindowMs; 0: no limit
	messageWindowMs float64
	maxBacklog      float64 // in entries

	removals, updates []*updateMessage // queues; a message stays in updates when a removal puts it into removals as well
	inFlight          *updateMessage   // message that is being sent; nil: none
	busyUntilMs       float64          // time at which the message in flight is sent completely
	queuedEntries     float64          // entries of the queued messages, including their overhead
	peakBacklog       float64          // largest backlog so far, in entries
}

// Entries of a message in addition to those of its tables. The balancer counts them in the same way.
const (
	stampEntries      = 1 // for the version stamp of a message
	assignmentEntries = 1 // for the assignment of a table
)

// updateMessage is a message to a proxy.
type updateMessage struct {
	session    *proxySession
	entries    float64
	stamps     []int // version stamps of the rounds whose updates the message contains
	hasRemoval bool
	dropped    bool // the proxy has disconnected
}

func newControlChannel(settings routing.ControlChannel) controlChannel {
	return controlChannel{
		entriesPerMs:    settings.EntriesPerSecond / msPerSecond,
		messageOverhead: settings.MessageOverhead,
		cost:            settings.Cost,
		maxMessages:     settings.MaxMessages,
		messageWindowMs: settings.MessageWindowMs,
		maxBacklog:      settings.MaxBacklog,
		busyUntilMs:     math.Inf(-1),
	}
}

// enqueue adds entries to the queued message of a proxy, or queues a new message if there is none. The proxy
// acknowledges the stamp together with the message.
func (c *controlChannel) enqueue(session *proxySession, entries float64, hasRemoval bool, stamp int) {
	message := session.queuedMessage
	if message == nil {
		message = &updateMessage{session: session}
		session.queuedMessage = message
		c.updates = append(c.updates, message)
		c.queuedEntries += c.messageOverhead
	}
	message.entries += entries
	c.queuedEntries += entries
	if stamp != noStamp {
		message.stamps = append(message.stamps, stamp)
	}
	c.peakBacklog = max(c.peakBacklog, c.backlog())
	if hasRemoval && !message.hasRemoval {
		message.hasRemoval = true
		c.removals = append(c.removals, message)
	}
}

// unqueue ends the queueing of a message that is about to be sent or dropped. The message may remain in the slices of
// the queues, which skip it from then on.
func (c *controlChannel) unqueue(message *updateMessage) {
	message.session.queuedMessage = nil
	c.queuedEntries -= message.entries + c.messageOverhead
}

// dropMessages discards the messages to a proxy, the one in flight included.
func (c *controlChannel) dropMessages(session *proxySession) {
	if message := session.queuedMessage; message != nil {
		message.dropped = true
		c.unqueue(message)
	}
	if c.inFlight != nil && c.inFlight.session == session {
		c.inFlight.dropped = true
	}
}

// dequeue removes and returns the next message that may be sent, nil if there is none: removals first, each queue in
// its order, and none beyond the limit of messages to its proxy.
func (c *controlChannel) dequeue(nowMs float64) *updateMessage {
	var message *updateMessage
	message, c.removals = c.dequeueFrom(c.removals, nowMs, isQueued)
	if message != nil {
		return message
	}
	message, c.updates = c.dequeueFrom(c.updates, nowMs, isQueuedUpdate)
	return message
}

// dequeueFrom returns the first message of a queue that may be sent, and the rest of the queue without the messages
// that are no longer valid in it.
func (c *controlChannel) dequeueFrom(queue []*updateMessage, nowMs float64, valid func(*updateMessage) bool) (
	next *updateMessage, rest []*updateMessage) {
	rest = queue[:0]
	for i, message := range queue {
		if !valid(message) {
			continue
		}
		if !c.canSend(message.session, nowMs) {
			rest = append(rest, message)
			continue
		}
		if len(rest) == 0 {
			return message, queue[i+1:]
		}
		return message, append(rest, queue[i+1:]...)
	}
	return nil, rest
}

// isQueued reports whether a message is still queued in the channel.
func isQueued(message *updateMessage) bool {
	return !message.dropped && message.session.queuedMessage == message
}

// isQueuedUpdate reports whether a message is still in the queue of messages without a removal.
func isQueuedUpdate(message *updateMessage) bool { return isQueued(message) && !message.hasRemoval }

// queued yields each queued message once.
func (c *controlChannel) queued() iter.Seq[*updateMessage] {
	return func(yield func(*updateMessage) bool) {
		for _, message := range c.removals {
			if isQueued(message) && !yield(message) {
				return
			}
		}
		for _, message := range c.updates {
			if isQueuedUpdate(message) && !yield(message) {
				return
			}
		}
	}
}

// recentMessages returns the number of messages that were sent to a proxy within the window of the limit.
func (c *controlChannel) recentMessages(session *proxySession, nowMs float64) int {
	for len(session.sentMs) > 0 && session.sentMs[0] <= nowMs-c.messageWindowMs {
		session.sentMs = session.sentMs[1:]
	}
	return len(session.sentMs)
}

// canSend reports whether one more message to a proxy stays within the limit.
func (c *controlChannel) canSend(session *proxySession, nowMs float64) bool {
	recent := c.recentMessages(session, nowMs)
	return c.maxMessages == 0 || recent < c.maxMessages
}

// nextMs returns the time at which the message in flight is sent completely or, if there is none, the time at which
// the next message may be sent.
func (c *controlChannel) nextMs() float64 {
	if c.inFlight != nil {
		return c.busyUntilMs
	}
	next := math.Inf(1)
	for message := range c.queued() {
		sentMs := message.session.sentMs
		if c.maxMessages == 0 || len(sentMs) < c.maxMessages {
			return math.Inf(-1)
		}
		next = math.Min(next, sentMs[0]+c.messageWindowMs)
	}
	return next
}

// backlog returns the number of entries that are queued or in flight, including the overhead of their messages.
func (c *controlChannel) backlog() float64 {
	if c.inFlight != nil {
		return c.queuedEntries + c.inFlight.entries + c.messageOverhead
	}
	return c.queuedEntries
}

// queuedMessages returns the number of queued messages.
func (c *controlChannel) queuedMessages() int {
	count := 0
	for range c.queued() {
		count++
	}
	return count
}

// startNext starts to send the next message that may be sent, and reports whether there is one.
func (c *controlChannel) startNext(nowMs float64) bool {
	message := c.dequeue(nowMs)
	if message == nil {
		return false
	}
	c.unqueue(message)
	c.inFlight = message
	c.busyUntilMs = math.Max(c.busyUntilMs, nowMs) + (message.entries+c.messageOverhead)/c.entriesPerMs
	return true
}

// finish removes and returns the message in flight if it is sent completely by nowMs, and returns nil otherwise.
func (c *controlChannel) finish(nowMs float64) *updateMessage {
	if c.inFlight == nil || c.busyUntilMs > nowMs {
		return nil
	}
	message := c.inFlight
	c.inFlight = nil
	if !message.dropped && c.maxMessages > 0 {
		message.session.sentMs = append(message.session.sentMs, nowMs)
	}
	return message
}

// sendUpdates publishes the messages that the channel has sent by now. A message contains the tables that its proxy has
// when it is sent, so the content of a message that was queued for a long time is not outdated.
func (c *Controller) sendUpdates() {
	for {
		if c.channel.inFlight == nil && !c.channel.startNext(c.nowMs) {
			return
		}
		message := c.channel.finish(c.nowMs)
		if message == nil {
			return
		}
		if !message.dropped {
			c.publish(message.session, message.stamps)
		}
	}
}

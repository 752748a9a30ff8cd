package controller

import (
	"iter"
	"math"

	"barleysail/routing"
)

// controlChannel is the path of updates to the proxies, as the balancer counts it: messages leave one after the other
// at the rate of the settings, each at the cost of its entries and its overhead. Queued messages with a removal leave
// before the others. The messages of one proxy keep their order, since it has one queued message at most, which later
// updates join.
type controlChannel struct {
	entriesPerMs    float64
	messageOverhead float64 // of a message, in entries
	cost            float64 // of the whole rate used all the time, as a part of the result
	maxMessages     int     // to a proxy within messageWindowMs; 0: no limit
	messageWindowMs float64
	maxBacklog      float64 // in entries

	removals, updates []*updateMessage // queues; a message stays in updates when a removal puts it into removals as well
	inFlight          *updateMessage   // is leaving; nil: none is
	busyUntilMs       float64          // when it has left
	queuedEntries     float64          // of queued messages, with their overhead
	peakBacklog       float64
}

// Entries that a message holds besides those of the tables, as the balancer counts them.
const (
	stampEntries      = 1 // the version stamp of a message
	assignmentEntries = 1 // the assignment of a table
)

// updateMessage is a message to a proxy.
type updateMessage struct {
	session    *proxySession
	entries    float64
	stamps     []int // of the rounds with an update in the message
	hasRemoval bool
	dropped    bool // the proxy has disconnected
}

func newControlChannel(settings routing.ControlChannel) controlChannel {
	return controlChannel{
		entriesPerMs:    settings.EntriesPerSecond / 1000,
		messageOverhead: settings.MessageOverhead,
		cost:            settings.Cost,
		maxMessages:     settings.MaxMessages,
		messageWindowMs: settings.MessageWindowMs,
		maxBacklog:      settings.MaxBacklog,
		busyUntilMs:     math.Inf(-1),
	}
}

// enqueue adds entries to the queued message of a proxy, or queues a new one. The stamp is acknowledged with the
// message.
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

// unqueue takes a message that is about to leave or to be dropped off the backlog. The queues skip it from then on.
func (c *controlChannel) unqueue(message *updateMessage) {
	message.session.queuedMessage = nil
	c.queuedEntries -= message.entries + c.messageOverhead
}

// drop discards the messages to a proxy, the one in flight included.
func (c *controlChannel) drop(session *proxySession) {
	if message := session.queuedMessage; message != nil {
		message.dropped = true
		c.unqueue(message)
	}
	if c.inFlight != nil && c.inFlight.session == session {
		c.inFlight.dropped = true
	}
}

// dequeue takes the next message that may leave: removals first, each queue in its order, none beyond the limit on
// messages to its proxy. It gives nil where there is none.
func (c *controlChannel) dequeue(nowMs float64) *updateMessage {
	var message *updateMessage
	message, c.removals = c.takeFrom(c.removals, nowMs, isQueued)
	if message != nil {
		return message
	}
	message, c.updates = c.takeFrom(c.updates, nowMs, isQueuedUpdate)
	return message
}

// takeFrom takes the first message of a queue that may leave, and returns the rest of the queue without the messages
// that are no longer valid in it.
func (c *controlChannel) takeFrom(queue []*updateMessage, nowMs float64, valid func(*updateMessage) bool) (
	taken *updateMessage, rest []*updateMessage) {
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

// isQueued reports whether a message still waits in the channel.
func isQueued(message *updateMessage) bool {
	return !message.dropped && message.session.queuedMessage == message
}

// isQueuedUpdate reports whether a message still waits in the queue of messages without a removal.
func isQueuedUpdate(message *updateMessage) bool { return isQueued(message) && !message.hasRemoval }

// queued yields the messages that wait, each once.
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

// recentMessages counts the messages to a proxy within the window of the limit.
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

// nextMs is the time at which the message in flight has left, or at which the next one may leave.
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

// backlog counts the entries that wait or are in flight, with the overhead of their messages.
func (c *controlChannel) backlog() float64 {
	if c.inFlight != nil {
		return c.queuedEntries + c.inFlight.entries + c.messageOverhead
	}
	return c.queuedEntries
}

// queuedMessages counts the messages that wait.
func (c *controlChannel) queuedMessages() int {
	count := 0
	for range c.queued() {
		count++
	}
	return count
}

// startNext puts the next message that may leave in flight, and reports whether there is one.
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

// finish takes the message in flight where it has left by nowMs, else nil.
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

// sendUpdates publishes the messages that have left the channel by now. A message carries the tables of its proxy as
// they are when it leaves, so that one that has waited holds nothing outdated.
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

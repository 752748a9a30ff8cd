package controller

import (
	"math"

	"barleysail/routing"
)

// controlChannel is the way of a steward's orders to its proxies, as the module counts it: messages leave one after
// the other at the pace of the settings, each costing its lines and its head. Of the messages that wait,
// those with a removal go first; a proxy's own messages keep their order, since what waits for it is one
// message that later orders join.
type controlChannel struct {
	entriesPerMs, messageOverhead float64 // lines a ms
	cost                          float64 // of the pace, used all the time, as a part of the result
	maxMessages                   int     // messages to a proxy within over; 0: no limit
	messageWindowMs               float64
	removals, updates             []*updateMessage
	inFlight                      *updateMessage
	busyUntilMs                   float64 // when it has left
	queuedEntries                 float64 // that wait, heads included
	peakBacklog                   float64 // the most that ever did
	maxBacklog                    float64 // that may
}

// updateMessage is what waits for a proxy.
type updateMessage struct {
	session     *session
	entries     float64
	stamps      []versionStamp
	oldestRound int64 // the first round that ordered a part of it
	hasRemoval  bool
	dropped     bool
}

func newControlChannel(c routing.ControlChannel) controlChannel {
	return controlChannel{entriesPerMs: c.EntriesPerSecond / 1000, messageOverhead: c.MessageOverhead, cost: c.Cost, maxBacklog: c.MaxBacklog, maxMessages: c.MaxMessages, messageWindowMs: c.MessageWindowMs,
		busyUntilMs: math.Inf(-1)}
}

// enqueue adds lines to the message that waits for a proxy, or makes one.
func (c *controlChannel) enqueue(m *session, lines float64, removal bool, k versionStamp) {
	g := m.queuedMessage
	if g == nil {
		g = &updateMessage{session: m, oldestRound: k.round}
		m.queuedMessage = g
		c.updates = append(c.updates, g)
		c.queuedEntries += c.messageOverhead
	}
	g.entries += lines
	c.queuedEntries += lines
	if k.number > 0 {
		g.stamps = append(g.stamps, k)
	}
	c.peakBacklog = max(c.peakBacklog, c.backlog())
	if removal && !g.hasRemoval {
		g.hasRemoval = true
		c.removals = append(c.removals, g)
	}
}

// drop takes a proxy's message out of the channel; what is on its way is lost.
func (c *controlChannel) drop(m *session) {
	if g := m.queuedMessage; g != nil {
		g.dropped, m.queuedMessage = true, nil
		c.queuedEntries -= g.entries + c.messageOverhead
	}
	if c.inFlight != nil && c.inFlight.session == m {
		c.inFlight.dropped = true
	}
}

// dequeue takes the next message that may leave: removals first, each in the order it came, none that would
// pass the cap on messages to its proxy.
func (c *controlChannel) dequeue(now float64) *updateMessage {
	for _, queue := range []*[]*updateMessage{&c.removals, &c.updates} {
		kept, held := (*queue)[:0], (*updateMessage)(nil)
		for i, g := range *queue {
			if g.dropped || g.session.queuedMessage != g || queue == &c.updates && g.hasRemoval {
				continue // left already, or stands in the other queue
			}
			if held == nil && c.canSend(g.session, now) {
				if held = g; len(kept) == 0 {
					kept = (*queue)[i+1:]
				} else {
					kept = append(kept, (*queue)[i+1:]...)
				}
				break
			}
			kept = append(kept, g)
		}
		*queue = kept
		if held != nil {
			return held
		}
	}
	return nil
}

// canSend tells whether a message more stays within the cap on messages to a proxy.
func (c *controlChannel) canSend(m *session, now float64) bool {
	for len(m.sentMs) > 0 && m.sentMs[0] <= now-c.messageWindowMs {
		m.sentMs = m.sentMs[1:]
	}
	return c.maxMessages == 0 || len(m.sentMs) < c.maxMessages
}

// nextMs is when a message has left, or when one may.
func (c *controlChannel) nextMs() float64 {
	if c.inFlight != nil {
		return c.busyUntilMs
	}
	at := math.Inf(1)
	for _, queue := range [][]*updateMessage{c.removals, c.updates} {
		for _, g := range queue {
			if !g.dropped && g.session.queuedMessage == g {
				if len(g.session.sentMs) < c.maxMessages || c.maxMessages == 0 {
					return math.Inf(-1)
				}
				at = math.Min(at, g.session.sentMs[0]+c.messageWindowMs)
			}
		}
	}
	return at
}

// backlog counts the lines that wait, heads and the message that is leaving included.
func (c *controlChannel) backlog() float64 {
	if c.inFlight != nil {
		return c.queuedEntries + c.inFlight.entries + c.messageOverhead
	}
	return c.queuedEntries
}

func (c *controlChannel) queuedMessages() int {
	n := 0
	for _, g := range c.updates {
		if !g.dropped && g.session.queuedMessage == g && !g.hasRemoval {
			n++
		}
	}
	for _, g := range c.removals {
		if !g.dropped && g.session.queuedMessage == g {
			n++
		}
	}
	return n
}

// oldestRound is the first round of which a part has not left.
func (c *controlChannel) oldestRound() int64 {
	first := int64(math.MaxInt64)
	if c.inFlight != nil && !c.inFlight.dropped {
		first = c.inFlight.oldestRound
	}
	for _, queue := range [][]*updateMessage{c.removals, c.updates} {
		for _, g := range queue {
			if !g.dropped && g.session.queuedMessage == g {
				first = min(first, g.oldestRound)
			}
		}
	}
	return first
}

// sendUpdates lets leave what may have left by now. A message carries what its proxy's tables hold when it
// leaves, so that one that waited names nothing outdated.
func (s *Controller) sendUpdates() {
	c := &s.channel
	for {
		if c.inFlight == nil {
			g := c.dequeue(s.nowMs)
			if g == nil {
				return
			}
			g.session.queuedMessage = nil
			c.queuedEntries -= g.entries + c.messageOverhead
			c.inFlight = g
			c.busyUntilMs = math.Max(c.busyUntilMs, s.nowMs) + (g.entries+c.messageOverhead)/c.entriesPerMs
		}
		if c.busyUntilMs > s.nowMs {
			return
		}
		g := c.inFlight
		c.inFlight = nil
		if !g.dropped {
			if c.maxMessages > 0 {
				g.session.sentMs = append(g.session.sentMs, s.nowMs)
			}
			s.publish(g.session, g.stamps)
		}
		s.releaseAcks()
	}
}

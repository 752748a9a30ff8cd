package controller

import (
	"math"

	"barleysail/routing"
)

// channel is the way of a steward's orders to its proxies, as the module counts it: messages leave one after
// the other at the pace of the settings, each costing its lines and its head. Of the messages that wait,
// those with a removal go first; a proxy's own messages keep their order, since what waits for it is one
// message that later orders join.
type channel struct {
	pace, head    float64 // lines a ms
	price         float64 // of the pace, used all the time, as a part of the result
	most          int     // messages to a proxy within over; 0: no limit
	over          float64
	urgent, plain []*message
	sending       *message
	until         float64 // when it has left
	lines         float64 // that wait, heads included
	peak          float64 // the most that ever did
	mostWaiting   float64 // that may
}

// message is what waits for a proxy.
type message struct {
	to      *member
	lines   float64
	marks   []mark
	oldest  int64 // the first round that ordered a part of it
	removal bool
	dropped bool
}

func newChannel(c routing.ControlChannel) channel {
	return channel{pace: c.EntriesPerSecond / 1000, head: c.MessageOverhead, price: c.Cost, mostWaiting: c.MaxBacklog, most: c.MaxMessages, over: c.MessageWindowMs,
		until: math.Inf(-1)}
}

// order adds lines to the message that waits for a proxy, or makes one.
func (c *channel) order(m *member, lines float64, removal bool, k mark) {
	g := m.message
	if g == nil {
		g = &message{to: m, oldest: k.round}
		m.message = g
		c.plain = append(c.plain, g)
		c.lines += c.head
	}
	g.lines += lines
	c.lines += lines
	if k.number > 0 {
		g.marks = append(g.marks, k)
	}
	c.peak = max(c.peak, c.waiting())
	if removal && !g.removal {
		g.removal = true
		c.urgent = append(c.urgent, g)
	}
}

// drop takes a proxy's message out of the channel; what is on its way is lost.
func (c *channel) drop(m *member) {
	if g := m.message; g != nil {
		g.dropped, m.message = true, nil
		c.lines -= g.lines + c.head
	}
	if c.sending != nil && c.sending.to == m {
		c.sending.dropped = true
	}
}

// pick takes the next message that may leave: removals first, each in the order it came, none that would
// pass the cap on messages to its proxy.
func (c *channel) pick(now float64) *message {
	for _, queue := range []*[]*message{&c.urgent, &c.plain} {
		kept, held := (*queue)[:0], (*message)(nil)
		for i, g := range *queue {
			if g.dropped || g.to.message != g || queue == &c.plain && g.removal {
				continue // left already, or stands in the other queue
			}
			if held == nil && c.may(g.to, now) {
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

// may tells whether a message more stays within the cap on messages to a proxy.
func (c *channel) may(m *member, now float64) bool {
	for len(m.sent) > 0 && m.sent[0] <= now-c.over {
		m.sent = m.sent[1:]
	}
	return c.most == 0 || len(m.sent) < c.most
}

// next is when a message has left, or when one may.
func (c *channel) next() float64 {
	if c.sending != nil {
		return c.until
	}
	at := math.Inf(1)
	for _, queue := range [][]*message{c.urgent, c.plain} {
		for _, g := range queue {
			if !g.dropped && g.to.message == g {
				if len(g.to.sent) < c.most || c.most == 0 {
					return math.Inf(-1)
				}
				at = math.Min(at, g.to.sent[0]+c.over)
			}
		}
	}
	return at
}

// waiting counts the lines that wait, heads and the message that is leaving included.
func (c *channel) waiting() float64 {
	if c.sending != nil {
		return c.lines + c.sending.lines + c.head
	}
	return c.lines
}

func (c *channel) messages() int {
	n := 0
	for _, g := range c.plain {
		if !g.dropped && g.to.message == g && !g.removal {
			n++
		}
	}
	for _, g := range c.urgent {
		if !g.dropped && g.to.message == g {
			n++
		}
	}
	return n
}

// oldest is the first round of which a part has not left.
func (c *channel) oldest() int64 {
	first := int64(math.MaxInt64)
	if c.sending != nil && !c.sending.dropped {
		first = c.sending.oldest
	}
	for _, queue := range [][]*message{c.urgent, c.plain} {
		for _, g := range queue {
			if !g.dropped && g.to.message == g {
				first = min(first, g.oldest)
			}
		}
	}
	return first
}

// depart lets leave what may have left by now. A message carries what its proxy's tables hold when it
// leaves, so that one that waited names nothing outdated.
func (s *Controller) depart() {
	c := &s.channel
	for {
		if c.sending == nil {
			g := c.pick(s.now)
			if g == nil {
				return
			}
			g.to.message = nil
			c.lines -= g.lines + c.head
			c.sending = g
			c.until = math.Max(c.until, s.now) + (g.lines+c.head)/c.pace
		}
		if c.until > s.now {
			return
		}
		g := c.sending
		c.sending = nil
		if !g.dropped {
			if c.most > 0 {
				g.to.sent = append(g.to.sent, s.now)
			}
			s.publish(g.to, g.marks)
		}
		s.tellAnswers()
	}
}

package controller

import (
	"testing"

	"barleysail/routing"
)

// Messages with a removal leave the channel before others, and the queued message of a proxy takes in what is enqueued
// while it waits, its stamps in order.
func TestChannel(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	c := newControlChannel(routing.ControlChannel{EntriesPerSecond: 1000, MessageOverhead: 5, MaxMessages: 2, MessageWindowMs: 1000})
	one, two, three := &session{proxy: "one"}, &session{proxy: "two"}, &session{proxy: "three"}
	c.enqueue(one, 10, false, 1)
	c.enqueue(two, 10, false, 1)
	c.enqueue(three, 10, false, 1)
	d.printf("waiting %.0f lines in %d messages", c.backlog(), c.queuedMessages())
	c.enqueue(three, 3, true, 2)
	d.printf("a removal for three: waiting %.0f in %d", c.backlog(), c.queuedMessages())
	for range 4 {
		g := c.dequeue(0)
		if g == nil {
			d.printf("nothing")
			continue
		}
		d.printf("%s leaves with %.0f lines and marks %v", g.session.proxy, g.entries, g.stamps)
		c.unqueue(g)
		g.session.sentMs = append(g.session.sentMs, 0)
	}
	d.printf("waiting %.0f in %d", c.backlog(), c.queuedMessages())
	c.enqueue(one, 1, false, 3)
	one.sentMs = append(one.sentMs, 0)
	c.enqueue(two, 1, false, 3)
	d.printf("one has had two messages, as many as it may: %s goes", c.dequeue(1).session.proxy)
	c.drop(two)
	d.printf("two leaves: waiting %.0f in %d, next at %.0f", c.backlog(), c.queuedMessages(), c.nextMs())
	d.printf("after a second: %s", c.dequeue(1000).session.proxy)
	d.checkTrace()
}

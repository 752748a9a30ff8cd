package controller

import (
	"testing"

	"barleysail/routing"
)

// Messages with a removal leave the channel before others, and the queued message of a proxy takes in what is enqueued
// while it waits, its stamps in order.
func TestChannel(t *testing.T) {
	h := newHarness(t, defaultTestSettings())
	channel := newControlChannel(routing.ControlChannel{
		EntriesPerSecond: 1000, MessageOverhead: 5, MaxMessages: 2, MessageWindowMs: 1000,
	})
	one := &proxySession{proxy: "one"}
	two := &proxySession{proxy: "two"}
	three := &proxySession{proxy: "three"}
	channel.enqueue(one, 10, false, 1)
	channel.enqueue(two, 10, false, 1)
	channel.enqueue(three, 10, false, 1)
	h.printf("waiting %.0f lines in %d messages", channel.backlog(), channel.queuedMessages())
	channel.enqueue(three, 3, true, 2)
	h.printf("a removal for three: waiting %.0f in %d", channel.backlog(), channel.queuedMessages())
	for range 4 {
		message := channel.dequeue(0)
		if message == nil {
			h.printf("nothing")
			continue
		}
		h.printf("%s leaves with %.0f lines and marks %v", message.session.proxy, message.entries, message.stamps)
		channel.unqueue(message)
		message.session.sentMs = append(message.session.sentMs, 0)
	}
	h.printf("waiting %.0f in %d", channel.backlog(), channel.queuedMessages())
	channel.enqueue(one, 1, false, 3)
	one.sentMs = append(one.sentMs, 0)
	channel.enqueue(two, 1, false, 3)
	h.printf("one has had two messages, as many as it may: %s goes", channel.dequeue(1).session.proxy)
	channel.dropMessages(two)
	h.printf("two leaves: waiting %.0f in %d, next at %.0f", channel.backlog(), channel.queuedMessages(),
		channel.nextMs())
	h.printf("after a second: %s", channel.dequeue(1000).session.proxy)
	h.checkTrace()
}

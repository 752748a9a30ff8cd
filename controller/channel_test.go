package controller

import (
	"testing"

	"barleysail/routing"
)

// Messages with a removal are sent before others. Updates for a proxy that has a queued message are added to it, with
// their stamps in order.
func TestChannel(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	channel := newControlChannel(routing.ControlChannel{
		EntriesPerSecond: 1000, MessageOverhead: 5, MaxMessages: 2, MessageWindowMs: 1000,
	})
	one := &proxySession{proxy: "one"}
	two := &proxySession{proxy: "two"}
	three := &proxySession{proxy: "three"}
	channel.enqueue(one, 10, false, 1)
	channel.enqueue(two, 10, false, 1)
	channel.enqueue(three, 10, false, 1)
	h.printf("backlog %.0f entries in %d messages", channel.backlog(), channel.queuedMessages())
	channel.enqueue(three, 3, true, 2)
	h.printf("after a removal for three: backlog %.0f entries in %d messages", channel.backlog(), channel.queuedMessages())
	for range 4 {
		message := channel.dequeue(0)
		if message == nil {
			h.printf("no message to send")
			continue
		}
		h.printf("%s is sent %.0f entries with the stamps %v",
			message.session.proxy, message.entries, message.stamps)
		channel.unqueue(message)
		message.session.sentMs = append(message.session.sentMs, 0)
	}
	h.printf("backlog %.0f entries in %d messages", channel.backlog(), channel.queuedMessages())
	channel.enqueue(one, 1, false, 3)
	one.sentMs = append(one.sentMs, 0)
	channel.enqueue(two, 1, false, 3)
	h.printf("one has reached the message limit: %s is sent a message", channel.dequeue(1).session.proxy)
	channel.dropMessages(two)
	h.printf("after two has disconnected: backlog %.0f entries in %d messages, next at %.0f",
		channel.backlog(), channel.queuedMessages(), channel.nextMs())
	h.printf("after a second: %s is sent a message", channel.dequeue(1000).session.proxy)
	h.checkTrace()
}

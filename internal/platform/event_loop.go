package platform

import (
	"context"
	"time"
)

const (
	// maxQueuedEvents bounds the events that are queued for the event loop. While the queue is full, no event is
	// dropped: the goroutines that read connections block in post, and TCP flow control slows down their peers.
	maxQueuedEvents = 1024

	// maintenanceIntervalMs is the shortest time between two checks for expired hosts and sessions.
	maintenanceIntervalMs = 500.0

	nanosecondsPerMs = 1e6
)

// post queues an event for the event loop. It blocks while the queue is full (maxQueuedEvents); events that are posted
// after the loop has ended are dropped.
func (n *Node) post(event func()) {
	select {
	case n.events <- event:
	case <-n.done:
	}
}

// runEventLoop runs events until the context ends. Only its goroutine uses the balancer. After an event it runs further
// ones for the round delay, and then the balancer decides on the batch in one round.
func (n *Node) runEventLoop(ctx context.Context) {
	output := &balancerOutput{updateEncoder: n.updates, node: n, ctx: ctx}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.events:
			event()
			timer.Reset(n.config.RoundDelay)
			if !n.gatherEvents(ctx, timer) {
				return
			}
		case <-timer.C:
		}
		n.runRound(output)
		timer.Reset(n.untilNextRound())
	}
}

// gatherEvents runs events until the timer fires, and reports false if the context ends first.
func (n *Node) gatherEvents(ctx context.Context, timer *time.Timer) bool {
	for {
		select {
		case event := <-n.events:
			event()
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// runRound runs one round of the balancer and queues the updates that it publishes on the proxies' connections.
func (n *Node) runRound(output *balancerOutput) {
	nowMs := n.clock.Now()
	n.maintain(nowMs)
	n.balancer.Round(nowMs, output)
	n.updates.flush(func(proxy int, message []byte, stamp int) {
		session := n.sessions.active[proxy]
		if session == nil {
			return
		}
		if stamp != noStamp {
			session.recordStamp(stamp, nowMs)
		}
		session.enqueue(message)
	})
	n.traceHosts(nowMs)
}

// maintain drops expired hosts and sessions, at most once per maintenanceIntervalMs.
func (n *Node) maintain(nowMs float64) {
	if nowMs < n.lastMaintenanceMs+maintenanceIntervalMs {
		return
	}
	n.lastMaintenanceMs = nowMs
	n.releaseRemovedHosts(nowMs)
	n.expireSessions(nowMs)
}

// untilNextRound returns the time until the round that the balancer has scheduled, 0 if that time has passed.
func (n *Node) untilNextRound() time.Duration {
	return time.Duration(max(n.nextRoundMs-n.clock.Now(), 0) * nanosecondsPerMs)
}

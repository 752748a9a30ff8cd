package platform

import (
	"context"
	"time"
)

const (
	// maxQueuedEvents bounds the events that wait for the event loop. Readers of connections wait while it is full,
	// and TCP then holds back their peers.
	maxQueuedEvents = 1024

	// maintenanceIntervalMs is the least time between looks for what has expired.
	maintenanceIntervalMs = 500.0

	nanosecondsPerMs = 1e6
)

// post queues an event for the event loop, and waits while the queue is full. Events posted after the loop has ended
// are dropped.
func (n *Node) post(event func()) {
	select {
	case n.events <- event:
	case <-n.done:
	}
}

// runEventLoop is the one goroutine that owns the balancer. After an event it gathers further ones for the round
// delay; then the balancer decides on all of them in one round. It returns when the context ends.
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

// gatherEvents runs events until the timer fires; false means that the context has ended.
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

// runRound has the balancer decide on what it has observed, and queues the updates that come of it.
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

// maintain drops hosts and sessions that have expired, from time to time.
func (n *Node) maintain(nowMs float64) {
	if nowMs < n.lastMaintenanceMs+maintenanceIntervalMs {
		return
	}
	n.lastMaintenanceMs = nowMs
	n.releaseRemovedHosts(nowMs)
	n.expireSessions(nowMs)
}

// untilNextRound is how long it is until the round that the balancer has scheduled.
func (n *Node) untilNextRound() time.Duration {
	return time.Duration(max(n.nextRoundMs-n.clock.Now(), 0) * nanosecondsPerMs)
}

package routing

import "slices"

const (
	ackQuorum            = 0.8    // of the proxies answered a mark: the next changes may go
	ackTimeoutMs         = 2000.0 // or so long after it
	updateCostShare      = 0.03   // of the result may go into the price of weights
	urgentGatherMs       = 350.0  // ms in which urgent orders gather into one message
	removalFill          = 0.95   // of the channel's caps may be filled by removals of hosts that drain or are gone
	protectiveFill       = 0.55   // by withdrawals, by what guards cold hosts and by tables of a few hosts
	weightFill           = 0.45   // by weights and levels
	weightGraceShare     = 0.4    // of the grace for drains: what is in the channel before weights has left
	assignmentFill       = 0.3    // by whole tables
	assignmentGraceShare = 0.3    // of the grace for drains: joining proxies get a table of ours
	assumedPaceRatio     = 0.5    // the channel is taken to run at this part of its pace
	minPaceRatio         = 0.1    // and never slower than so: what is not answered by then has left it
)

// weightRollout tells how many proxies have acknowledged the last batch with ordinary weights.
type weightRollout struct {
	version  int
	proxies  int // that were sent it
	acks     int
	sentAtMs float64
}

// controlBacklog counts the entries in the control channel.
type controlBacklog struct {
	unacknowledged float64 // entries written to connected proxies that they have not acknowledged
	arriving       float64 // entries acknowledged within the last propagation delay, decaying
}

// allowsMessage tells whether a proxy that was sent so many messages may be sent one more within a part of the cap.
func (c ControlChannel) allowsMessage(sent int, part float64) bool {
	return c.MaxMessages == 0 || float64(sent+2) <= part*float64(c.MaxMessages)
}

// exceedsDrainGrace tells whether so many lines take too long to keep the grace for drains.
func (s *Balancer) exceedsDrainGrace(lines float64, c ControlChannel) bool {
	return lines/(c.EntriesPerSecond*assumedPaceRatio)*1000 > s.limits.DrainGraceMs*assignmentGraceShare
}

// rolloutAcknowledged tells whether most proxies that got the last weights answered, or 2 s have passed.
func (s *Balancer) rolloutAcknowledged() bool {
	return float64(s.rollout.acks) >= ackQuorum*float64(s.rollout.proxies) || s.nowMs >= s.rollout.sentAtMs+ackTimeoutMs
}

// releaseMessages takes a proxy's n oldest messages out of the channel, by an answer, its leaving or their age.
func (s *Balancer) releaseMessages(q *proxyRecord, n int) {
	for _, m := range q.unacknowledged[:n] {
		if s.backlog.unacknowledged -= m.entries; q.connected && m.version == s.rollout.version {
			s.rollout.acks++
		}
	}
	q.unacknowledged = slices.Delete(q.unacknowledged, 0, n)
}

// Ack notes a proxy's answer to a mark. The channel keeps its order: what was written to it before has left.
func (s *Balancer) Ack(p, number int) {
	if p >= len(s.proxies) {
		return
	}
	q, was := &s.proxies[p], s.backlog.unacknowledged
	s.releaseMessages(q, 1+slices.IndexFunc(q.unacknowledged, func(m updateMessage) bool { return m.version == number }))
	s.backlog.arriving += was - s.backlog.unacknowledged
}

// updateMessage counts against the channel until its proxy answers its mark or a later one.
type updateMessage struct {
	version           int
	entries, sentAtMs float64
}

package routing

import "slices"

const (
	ackPart    = 0.8    // of the proxies answered a mark: the next changes may go
	ackWait    = 2000.0 // or so long after it
	ordersPart = 0.03   // of the result may go into the price of weights
	gather     = 350.0  // ms in which urgent orders gather into one message
	startsTo   = 0.6    // of its weight in the tables a cold host is cut to before all but removals
	drainsTo   = 0.95   // of the channel's caps may be filled by removals of hosts that drain or are gone
	guardsTo   = 0.55   // by withdrawals, by what guards cold hosts and by tables of a few hosts
	weightsTo  = 0.45   // by weights and levels
	weightsIn  = 0.4    // of the grace for drains: what is in the channel before weights has left
	joinsTo    = 0.3    // by whole tables
	inTime     = 0.3    // of the grace for drains: joining proxies get a table of ours
	slowest    = 0.5    // the channel is taken to run at this part of its pace
	crawl      = 0.1    // and never slower than so: what is not answered by then has left it
)

// may tells whether a proxy that was sent so many messages may be sent one more within a part of the cap.
func (c ControlChannel) may(sent int, part float64) bool {
	return c.MaxMessages == 0 || float64(sent+2) <= part*float64(c.MaxMessages)
}

// tooLate tells whether so many lines take too long to keep the grace for drains.
func (s *Balancer) tooLate(lines float64, c ControlChannel) bool {
	return lines/(c.EntriesPerSecond*slowest)*1000 > s.guard.DrainGraceMs*inTime
}

// open tells whether most proxies that got the last weights answered, or 2 s have passed.
func (s *Balancer) open() bool {
	return float64(s.answers) >= ackPart*float64(s.asked) || s.now >= s.markAt+ackWait
}

// gone takes a proxy's n oldest messages out of the channel, by an answer, its leaving or their age.
func (s *Balancer) gone(q *proxy, n int) {
	for _, m := range q.unanswered[:n] {
		if s.waiting -= m.lines; q.joined && m.number == s.mark {
			s.answers++
		}
	}
	q.unanswered = slices.Delete(q.unanswered, 0, n)
}

// Ack notes a proxy's answer to a mark. The channel keeps its order: what was written to it before has left.
func (s *Balancer) Ack(p, number int) {
	if p >= len(s.proxies) {
		return
	}
	q, was := &s.proxies[p], s.waiting
	s.gone(q, 1+slices.IndexFunc(q.unanswered, func(m message) bool { return m.number == number }))
	s.arriving += was - s.waiting
}

// message counts against the channel until its proxy answers its mark or a later one.
type message struct {
	number    int
	lines, at float64
}

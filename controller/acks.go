package controller

import (
	"slices"
	"strconv"
	"strings"
)

// versionStamp is a number that the module gave the messages of a round; rounds count on where its numbers repeat.
type versionStamp struct {
	round  int64
	number int
}

// deferredAcks holds the answers to marks back until all that was ordered before has left the channel, since withdrawals go in
// front of weights here. The module takes an answer as proof only of what was written to the same proxy.
type deferredAcks struct{ pending []deferredAck }

// deferredAck is a proxy's to a mark.
type deferredAck struct {
	versionStamp
	proxy int
}

// acknowledge takes the newest version that the tags name as applied by the proxy, with all before it, and
// gives its number, or 0 where no tag names a version of the history. A version is acknowledged once; a tag of
// another life, or of a version never given to this proxy, acknowledges nothing.
func (s *Controller) acknowledge(m *session, tags []string) int64 {
	newest := int64(0)
	for _, tag := range tags {
		rest, ours := strings.CutPrefix(tag, s.deployment.Incarnation+"-")
		n, err := strconv.ParseInt(rest, 10, 64)
		if ours && err == nil && n > newest && m.version(n) != nil {
			newest = n
		}
		if v := m.versionByInheritedTag(tag); v != nil && v.number > newest {
			newest = v.number
		}
	}
	if newest > m.ackedVersion {
		for i := range m.versions {
			if v := &m.versions[i]; v.number <= newest {
				for _, k := range v.stamps {
					s.acks.pending = append(s.acks.pending, deferredAck{k, m.index})
				}
				v.stamps = nil
			}
		}
		m.ackedVersion = newest
		s.releaseAcks()
	}
	return newest
}

// releaseAcks gives the module the answers that prove what it takes them for.
func (s *Controller) releaseAcks() {
	a := &s.acks
	if len(a.pending) == 0 {
		return
	}
	slices.SortStableFunc(a.pending, func(x, y deferredAck) int { return int(x.round - y.round) })
	waiting := s.channel.oldestRound()
	n := 0
	for n < len(a.pending) && a.pending[n].round <= waiting {
		s.balancer.Ack(a.pending[n].proxy, a.pending[n].number)
		n++
	}
	a.pending = append(a.pending[:0], a.pending[n:]...)
}

package controller

import (
	"slices"
	"strconv"
	"strings"
)

// versionStamp is a number that the balancer gave the messages of a round. The balancer's numbers repeat, rounds do
// not.
type versionStamp struct {
	round  int64
	number int
}

// deferredAcks holds acknowledgements back until all messages of earlier rounds have left the channel, since messages
// with removals overtake others there.
type deferredAcks struct{ pending []deferredAck }

// deferredAck is the acknowledgement of a version stamp by a proxy.
type deferredAck struct {
	versionStamp
	proxy int // the balancer's index
}

// acknowledge takes the newest version that the tags name as applied by the proxy, with all before it, and returns its
// number, 0 where no tag names a version of the history. A version is acknowledged once. A tag of another incarnation
// that was not carried over, or of a version that this proxy was never given, acknowledges nothing.
func (c *Controller) acknowledge(session *session, tags []string) int64 {
	newest := c.newestTagged(session, tags)
	if newest <= session.ackedVersion {
		return newest
	}
	for i := range session.versions {
		acked := &session.versions[i]
		if acked.number > newest {
			continue
		}
		for _, stamp := range acked.stamps {
			c.acks.pending = append(c.acks.pending, deferredAck{stamp, session.index})
		}
		acked.stamps = nil
	}
	session.ackedVersion = newest
	c.releaseAcks()
	return newest
}

// newestTagged is the number of the newest version of the history that one of the tags names, 0 where none does.
func (c *Controller) newestTagged(session *session, tags []string) int64 {
	newest := int64(0)
	for _, tag := range tags {
		suffix, ours := strings.CutPrefix(tag, c.deployment.Incarnation+"-")
		number, err := strconv.ParseInt(suffix, 10, 64)
		if ours && err == nil && number > newest && session.version(number) != nil {
			newest = number
		}
		if inherited := session.versionByInheritedTag(tag); inherited != nil {
			newest = max(newest, inherited.number)
		}
	}
	return newest
}

// releaseAcks passes on to the balancer the acknowledgements that need not be deferred any more, by round.
func (c *Controller) releaseAcks() {
	deferred := &c.acks
	if len(deferred.pending) == 0 {
		return
	}
	slices.SortStableFunc(deferred.pending, func(a, b deferredAck) int { return int(a.round - b.round) })
	oldestQueued := c.channel.oldestRound()
	released := 0
	for released < len(deferred.pending) && deferred.pending[released].round <= oldestQueued {
		ack := deferred.pending[released]
		c.balancer.Ack(ack.proxy, ack.number)
		released++
	}
	deferred.pending = append(deferred.pending[:0], deferred.pending[released:]...)
}

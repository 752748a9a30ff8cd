package controller

import (
	"strconv"
	"strings"
)

// noStamp is used instead of a version stamp for a message that needs no acknowledgement.
const noStamp = 0

// acknowledge records that the proxy has applied the newest version that the tags name, with all before it, and returns
// its number, 0 if no tag names a version of the history. A tag of another incarnation that was not carried over, or of
// a version that this proxy never got, acknowledges nothing.
//
// The balancer is notified of each stamp at once: it counts the unacknowledged messages for each proxy separately, so
// messages that are queued for other proxies do not matter.
func (c *Controller) acknowledge(session *proxySession, tags []string) int64 {
	newest := c.newestTagged(session, tags)
	for _, stamp := range session.acknowledge(newest) {
		c.balancer.Ack(session.index, stamp)
	}
	return newest
}

// newestTagged returns the number of the newest version of the history that one of the tags names, 0 if none does.
func (c *Controller) newestTagged(session *proxySession, tags []string) int64 {
	newest := int64(0)
	for _, tag := range tags {
		suffix, fromThisIncarnation := strings.CutPrefix(tag, c.deployment.Incarnation+"-")
		number, err := strconv.ParseInt(suffix, 10, 64)
		if fromThisIncarnation && err == nil && number > newest && session.version(number) != nil {
			newest = number
		}
		if inherited := session.versionByInheritedTag(tag); inherited != nil {
			newest = max(newest, inherited.number)
		}
	}
	return newest
}

// acknowledge records that the proxy has applied a version, with all before it, and returns their stamps in the order
// in which they were sent. It returns each stamp only once.
func (s *proxySession) acknowledge(number int64) []int {
	if number <= s.ackedVersion {
		return nil
	}
	s.ackedVersion = number
	var stamps []int
	for i := range s.versions {
		acked := &s.versions[i]
		if acked.number <= number {
			stamps = append(stamps, acked.stamps...)
			acked.stamps = nil
		}
	}
	return stamps
}

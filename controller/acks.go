package controller

import (
	"strconv"
	"strings"
)

// noStamp stands in place of a version stamp for a message that needs no acknowledgement.
const noStamp = 0

// acknowledge records that the proxy has applied the newest version that the tags name and all versions before it. It
// returns the number of that version, 0 if no tag names a version of the history. A tag acknowledges nothing if it is
// from another incarnation and was not carried over, or if it names a version that this proxy never received.
//
// The balancer is notified of each stamp at once. It counts the unacknowledged messages of each proxy separately, so
// messages that are still queued for other proxies do not delay the notification.
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

// acknowledge records that the proxy has applied a version and all versions before it, and returns their stamps in the
// order in which they were sent. It returns each stamp only once.
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

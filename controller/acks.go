package controller

import (
	"strconv"
	"strings"
)

// noStamp in place of a version stamp: the message needs no acknowledgement.
const noStamp = 0

// acknowledge takes the newest version that the tags name as applied by the proxy, with all before it, and returns its
// number, 0 where no tag names a version of the history. A tag of another incarnation that was not carried over, or of
// a version that this proxy was never given, acknowledges nothing.
//
// The balancer learns of each stamp at once: it counts the messages to each proxy by themselves until that proxy
// acknowledges them, so what waits in the channel for other proxies does not matter.
func (c *Controller) acknowledge(session *proxySession, tags []string) int64 {
	newest := c.newestTagged(session, tags)
	for _, stamp := range session.acknowledge(newest) {
		c.balancer.Ack(session.index, stamp)
	}
	return newest
}

// newestTagged is the number of the newest version of the history that one of the tags names, 0 where none does.
func (c *Controller) newestTagged(session *proxySession, tags []string) int64 {
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

// acknowledge notes that the proxy has applied a version, with all before it, and returns their stamps in the order in
// which they were sent. Each stamp is returned once.
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

package controller

import "strconv"

// version is a numbered version of a proxy's tables. A controller uses each number only once for all proxies, so that
// the old tag of a proxy that has disconnected and connected again names no version of its new session.
type version struct {
	number int64
	tables *tableSet
	stamps []int // version stamps of the balancer that this version acknowledges, in the order of their rounds
	// inheritedTag is the tag that another incarnation or controller gave to the version. If it is empty, the tag is
	// that of Controller.tag.
	inheritedTag string
}

// version returns the version with a number, nil if it is not in the history.
func (s *proxySession) version(number int64) *version {
	for i := range s.versions {
		if s.versions[i].number == number {
			return &s.versions[i]
		}
	}
	return nil
}

// versionByInheritedTag returns the version that was carried over with a tag, nil if there is none.
func (s *proxySession) versionByInheritedTag(tag string) *version {
	for i := range s.versions {
		candidate := &s.versions[i]
		if candidate.inheritedTag != "" && candidate.inheritedTag == tag {
			return candidate
		}
	}
	return nil
}

// tag returns the entity tag of a version of this incarnation.
func (c *Controller) tag(number int64) string {
	return c.deployment.Incarnation + "-" + strconv.FormatInt(number, 10)
}

// tagOf returns the entity tag by which the proxy knows a version.
func (c *Controller) tagOf(version *version) string {
	if version.inheritedTag != "" {
		return version.inheritedTag
	}
	return c.tag(version.number)
}

// publish makes the current tables of a proxy its newest version, and responds to its pending poll. The stamps of a
// version that is dropped from the history pass to the next version.
func (c *Controller) publish(session *proxySession, stamps []int) {
	c.sessions.lastVersion++
	session.versions = append(session.versions, version{
		number: c.sessions.lastVersion,
		tables: c.tableSetOf(session),
		stamps: stamps,
	})
	for len(session.versions) > c.settings.VersionHistory {
		session.versions[1].stamps = append(session.versions[0].stamps, session.versions[1].stamps...)
		session.versions = append(session.versions[:0], session.versions[1:]...)
	}
	if session.pendingPoll != nil {
		c.respond(session, session.pendingPoll)
	}
}

// carryOver makes the tables that a proxy holds from another incarnation or controller a version, so that the proxy can
// get a delta onto them.
func (c *Controller) carryOver(session *proxySession, tag string, tables *tableSet) {
	c.sessions.lastVersion++
	number := c.sessions.lastVersion
	session.versions = append(session.versions, version{number: number, tables: tables, inheritedTag: tag})
	session.ackedVersion = number
}

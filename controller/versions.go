package controller

import "strconv"

// version is a numbered state of the tables of a proxy. A controller gives each number once, so that the tag of a proxy
// that disconnected and came back names no version of its new session.
type version struct {
	number int64
	tables *tableSet
	stamps []int // numbers of the balancer that are acknowledged with this version, in the order of their rounds
	// inheritedTag is the tag that another incarnation or controller gave the version; empty: the tag of its number.
	inheritedTag string
}

// version finds a version in the history, nil where it is not retained.
func (s *proxySession) version(number int64) *version {
	for i := range s.versions {
		if s.versions[i].number == number {
			return &s.versions[i]
		}
	}
	return nil
}

// versionByInheritedTag finds the version that was carried over under a tag, nil where there is none.
func (s *proxySession) versionByInheritedTag(tag string) *version {
	for i := range s.versions {
		candidate := &s.versions[i]
		if candidate.inheritedTag != "" && candidate.inheritedTag == tag {
			return candidate
		}
	}
	return nil
}

// tag is the entity tag of a version of this incarnation.
func (c *Controller) tag(number int64) string {
	return c.deployment.Incarnation + "-" + strconv.FormatInt(number, 10)
}

// tagOf is the entity tag by which the proxy knows a version.
func (c *Controller) tagOf(version *version) string {
	if version.inheritedTag != "" {
		return version.inheritedTag
	}
	return c.tag(version.number)
}

// publish makes the present tables of a proxy its newest version, and answers its pending poll. Stamps of a version
// that leaves the history pass to the next one.
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

// carryOver makes the tables that a proxy holds from another incarnation or controller its version, so that a delta
// onto them can be given.
func (c *Controller) carryOver(session *proxySession, tag string, tables *tableSet) {
	c.sessions.lastVersion++
	number := c.sessions.lastVersion
	session.versions = append(session.versions, version{number: number, tables: tables, inheritedTag: tag})
	session.ackedVersion = number
}

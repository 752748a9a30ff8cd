package controller

import (
	"strconv"
)

// version is a numbered state of a proxy's tables. Numbers are never given twice in a steward's life, so a
// tag of a proxy that left and came back names no version of its new stay.
type version struct {
	number       int64
	tables       *tableSet
	stamps       []versionStamp
	inheritedTag string // the tag it has from an earlier life; empty: that of its number
}

// version finds a version in the history.
func (m *session) version(number int64) *version {
	for i := range m.versions {
		if m.versions[i].number == number {
			return &m.versions[i]
		}
	}
	return nil
}

// versionByInheritedTag finds the version that has a tag from an earlier life.
func (m *session) versionByInheritedTag(tag string) *version {
	for i := range m.versions {
		if v := &m.versions[i]; v.inheritedTag != "" && v.inheritedTag == tag {
			return v
		}
	}
	return nil
}

// tag names a version in a steward's life.
func (s *Controller) tag(number int64) string {
	return s.deployment.Incarnation + "-" + strconv.FormatInt(number, 10)
}

// tagOf names a version as the proxy knows it.
func (s *Controller) tagOf(v *version) string {
	if v.inheritedTag != "" {
		return v.inheritedTag
	}
	return s.tag(v.number)
}

// publish makes what the tables now hold for a proxy its newest version.
func (s *Controller) publish(m *session, marks []versionStamp) {
	s.sessions.lastVersion++
	m.versions = append(m.versions, version{number: s.sessions.lastVersion, tables: s.tableSetOf(m), stamps: marks})
	for len(m.versions) > s.settings.VersionHistory {
		m.versions[1].stamps = append(m.versions[0].stamps, m.versions[1].stamps...)
		m.versions = append(m.versions[:0], m.versions[1:]...)
	}
	if m.pendingPoll != nil {
		s.respond(m, m.pendingPoll)
	}
}

// carryOver makes what a proxy holds from elsewhere its version, so that a delta goes on from there.
func (s *Controller) carryOver(m *session, tag string, v *tableSet) {
	s.sessions.lastVersion++
	m.versions = append(m.versions, version{number: s.sessions.lastVersion, tables: v, inheritedTag: tag})
	m.ackedVersion = s.sessions.lastVersion
}

package platform

import "slices"

// maxCollectorsPerZone bounds the sessions of a zone's collector. More than one is allowed, since the end of an old
// connection may not have been detected yet.
const maxCollectorsPerZone = 3

// sessionRegistry holds the current sessions. It belongs to the event loop. The number of proxies in the settings
// bounds the proxy sessions, and maxCollectorsPerZone those of collectors.
type sessionRegistry struct {
	active       map[int]*peerSession   // by proxy
	unresponsive map[int]*peerSession   // by proxy; disconnected in the balancer, but the connection is still open
	collectors   map[int][]*peerSession // by zone, oldest first

	maxAckLatencyMs float64 // longest recent time from an update to its acknowledgement
}

func newSessionRegistry() sessionRegistry {
	return sessionRegistry{
		active:       map[int]*peerSession{},
		unresponsive: map[int]*peerSession{},
		collectors:   map[int][]*peerSession{},
	}
}

// otherSessions returns the other sessions of the same proxy.
func (r *sessionRegistry) otherSessions(session *peerSession) []*peerSession {
	var others []*peerSession
	for _, other := range []*peerSession{r.active[session.proxy], r.unresponsive[session.proxy]} {
		if other != nil && other != session {
			others = append(others, other)
		}
	}
	return others
}

// isCurrent reports whether a session has neither ended nor been replaced by another one.
func (r *sessionRegistry) isCurrent(session *peerSession) bool {
	if session.proxy == noProxy {
		return slices.Contains(r.collectors[session.zone], session)
	}
	return r.active[session.proxy] == session || r.unresponsive[session.proxy] == session
}

// addCollector adds the session of a collector, and ends the oldest one of the zone if there are too many.
func (r *sessionRegistry) addCollector(session *peerSession) {
	sessions := r.collectors[session.zone]
	if len(sessions) >= maxCollectorsPerZone {
		sessions[0].terminate()
	}
	r.collectors[session.zone] = append(sessions, session)
}

func (r *sessionRegistry) removeCollector(session *peerSession) {
	sessions := r.collectors[session.zone]
	r.collectors[session.zone] = slices.DeleteFunc(sessions, func(other *peerSession) bool { return other == session })
}

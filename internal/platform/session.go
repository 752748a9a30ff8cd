package platform

import "slices"

const (
	noProxy = -1 // in session.proxy: a collector's

	// maxCollectorsPerZone is how many sessions a zone's collector may have: an old one may not have been seen to
	// end.
	maxCollectorsPerZone = 3

	// maxUnacknowledged bounds the version stamps that are kept for one session: minutes of updates at the balancer's
	// pace.
	maxUnacknowledged = 256

	// A session is unresponsive when a version stamp has been unacknowledged for minAckTimeoutMs and
	// ackLatencyFactor times the longest acknowledgement lately, and nothing came since.
	minAckTimeoutMs  = 3000.0
	ackLatencyFactor = 2
	// ackLatencyDecay is the part of the longest acknowledgement latency that stays from check to check.
	ackLatencyDecay = 0.95

	// unresponsiveRetentionMs is how long after its oldest unacknowledged stamp the connection of an unresponsive
	// session is closed.
	unresponsiveRetentionMs = 20000.0
)

// peerSession is a connection that has identified itself as a proxy's or as a zone's collector's. Its fields below
// the connection belong to the event loop; proxy never changes.
type peerSession struct {
	*connection
	proxy          int // noProxy: a collector's
	zone           int
	weight         float64        // rough requests per second that come to the proxy
	unacknowledged []versionStamp // oldest first, at most maxUnacknowledged
}

// versionStamp is a stamp that a proxy was asked to acknowledge.
type versionStamp struct {
	number int
	sentMs float64
}

func newProxySession(conn *connection, message subscribeMessage) *peerSession {
	return &peerSession{connection: conn, proxy: message.proxy, zone: message.zone, weight: message.weight}
}

func newCollectorSession(conn *connection, message collectorMessage) *peerSession {
	return &peerSession{connection: conn, proxy: noProxy, zone: message.zone}
}

// recordStamp notes a stamp that was sent. Of those never acknowledged the newest are kept.
func (s *peerSession) recordStamp(number int, nowMs float64) {
	s.unacknowledged = append(s.unacknowledged, versionStamp{number, nowMs})
	excess := max(len(s.unacknowledged)-maxUnacknowledged, 0)
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, excess)
}

// isUnresponsive reports whether a stamp has been unacknowledged for too long, by the longest acknowledgement lately,
// and nothing came since it was sent.
func (s *peerSession) isUnresponsive(nowMs, maxAckLatencyMs float64) bool {
	if len(s.unacknowledged) == 0 {
		return false
	}
	sentMs := s.unacknowledged[0].sentMs
	deadlineMs := sentMs + minAckTimeoutMs + ackLatencyFactor*maxAckLatencyMs
	return float64(s.lastReadMs.Load()) < sentMs && nowMs > deadlineMs
}

// sessionRegistry is the sessions that there are. It belongs to the event loop. The proxies of the settings bound the
// proxy sessions; maxCollectorsPerZone the collectors'.
type sessionRegistry struct {
	active       map[int]*peerSession   // by proxy
	unresponsive map[int]*peerSession   // by proxy; they count as disconnected, their connections are kept for a while
	collectors   map[int][]*peerSession // by zone, oldest first

	maxAckLatencyMs float64 // from update to acknowledgement, the longest lately
}

func newSessionRegistry() sessionRegistry {
	return sessionRegistry{
		active:       map[int]*peerSession{},
		unresponsive: map[int]*peerSession{},
		collectors:   map[int][]*peerSession{},
	}
}

// others returns the sessions of the same proxy besides the one given.
func (r *sessionRegistry) others(session *peerSession) []*peerSession {
	var others []*peerSession
	for _, other := range []*peerSession{r.active[session.proxy], r.unresponsive[session.proxy]} {
		if other != nil && other != session {
			others = append(others, other)
		}
	}
	return others
}

// addCollector notes a collector's session and ends the oldest one of a zone that has too many.
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

// connect begins a session.
func (n *Node) connect(session *peerSession) {
	if session.proxy == noProxy {
		n.sessions.addCollector(session)
		return
	}
	n.connectProxy(session)
}

// disconnect ends a session whose connection has ended.
func (n *Node) disconnect(session *peerSession) {
	if session.proxy == noProxy {
		n.sessions.removeCollector(session)
		return
	}
	n.disconnectProxy(session)
	if n.sessions.unresponsive[session.proxy] == session {
		delete(n.sessions.unresponsive, session.proxy)
	}
}

// connectProxy makes a session the proxy's present one and ends earlier ones. The connection accepted last counts, in
// whatever order the first messages are read: each connection is read by a goroutine of its own.
func (n *Node) connectProxy(session *peerSession) {
	others := n.sessions.others(session)
	for _, other := range others {
		if other.acceptNumber > session.acceptNumber {
			session.terminate()
			return
		}
	}
	for _, other := range others {
		other.terminate()
	}
	delete(n.sessions.unresponsive, session.proxy)
	n.connections.markActive(session.connection)
	n.sessions.active[session.proxy] = session
	session.unacknowledged = nil
	n.updates.forgetProxy(session.proxy)
	if n.balancer.HostIndexCount() > 0 { // until a host is known the proxy keeps its table: ours would be empty
		n.balancer.ConnectProxy(session.proxy, session.zone, session.weight)
	}
}

// disconnectProxy ends the session of a proxy where it is the present one.
func (n *Node) disconnectProxy(session *peerSession) {
	if n.sessions.active[session.proxy] != session {
		return
	}
	delete(n.sessions.active, session.proxy)
	n.updates.forgetProxy(session.proxy)
	n.balancer.DisconnectProxy(session.proxy)
}

// expireSessions looks for unresponsive sessions. Such a proxy counts as disconnected, but its connection is kept for
// a while: when a message comes after all, the session is connected again.
func (n *Node) expireSessions(nowMs float64) {
	n.sessions.maxAckLatencyMs *= ackLatencyDecay
	for _, session := range n.sessions.active {
		if session.isUnresponsive(nowMs, n.sessions.maxAckLatencyMs) {
			n.log.Debug().
				Int("proxy", session.proxy).
				Float64("unacknowledged_ms", nowMs-session.unacknowledged[0].sentMs).
				Msg("session unresponsive")
			n.disconnectProxy(session)
			n.sessions.unresponsive[session.proxy] = session
			n.connections.markUnresponsive(session.connection)
		}
	}
	for _, session := range n.sessions.unresponsive {
		if nowMs > session.unacknowledged[0].sentMs+unresponsiveRetentionMs {
			session.terminate()
		}
	}
}

package platform

import "slices"

const (
	noProxy = -1 // in peerSession.proxy: the session of a collector

	// maxCollectorsPerZone bounds the sessions of a zone's collector. More than one is allowed, since the end of an old
	// connection may not have been detected yet.
	maxCollectorsPerZone = 3

	// maxUnacknowledged bounds the version stamps that are kept for one session. The balancer takes minutes to send as
	// many.
	maxUnacknowledged = 256

	// A session is unresponsive if a version stamp has been unacknowledged for longer than minAckTimeoutMs plus
	// ackLatencyFactor times the longest recent acknowledgement latency, and no message was received since it was sent.
	minAckTimeoutMs  = 3000.0
	ackLatencyFactor = 2
	// ackLatencyDecay is the factor by which the longest acknowledgement latency decays at each check.
	ackLatencyDecay = 0.95

	// unresponsiveRetentionMs is the age of the oldest unacknowledged stamp at which the connection of an unresponsive
	// session is closed.
	unresponsiveRetentionMs = 20000.0
)

// peerSession is the session of a proxy or of a zone's collector: a connection that has identified itself. Its proxy,
// zone and weight never change; the unacknowledged stamps belong to the event loop.
type peerSession struct {
	*connection
	proxy          int            // index; noProxy: a collector
	zone           int            // index
	weight         float64        // approximate request rate of the proxy, in requests per second
	unacknowledged []versionStamp // oldest first, at most maxUnacknowledged
}

// versionStamp is a stamp that a proxy was asked to acknowledge.
type versionStamp struct {
	number int
	sentMs float64 // when it was sent, in ms of the node's clock
}

func newProxySession(conn *connection, message subscribeMessage) *peerSession {
	return &peerSession{connection: conn, proxy: message.proxy, zone: message.zone, weight: message.weight}
}

func newCollectorSession(conn *connection, message collectorMessage) *peerSession {
	return &peerSession{connection: conn, proxy: noProxy, zone: message.zone}
}

// recordStamp records a stamp that was sent. If too many are unacknowledged, the oldest are dropped.
func (s *peerSession) recordStamp(number int, nowMs float64) {
	s.unacknowledged = append(s.unacknowledged, versionStamp{number, nowMs})
	excess := max(len(s.unacknowledged)-maxUnacknowledged, 0)
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, excess)
}

// isUnresponsive reports whether the oldest stamp has been unacknowledged for too long, given the longest recent
// acknowledgement latency, and no message was received since it was sent.
func (s *peerSession) isUnresponsive(nowMs, maxAckLatencyMs float64) bool {
	if len(s.unacknowledged) == 0 {
		return false
	}
	sentMs := s.unacknowledged[0].sentMs
	deadlineMs := sentMs + minAckTimeoutMs + ackLatencyFactor*maxAckLatencyMs
	return float64(s.lastReadMs.Load()) < sentMs && nowMs > deadlineMs
}

// sessionRegistry holds the current sessions. It belongs to the event loop. The number of proxies in the settings
// bounds the proxy sessions, and maxCollectorsPerZone those of collectors.
type sessionRegistry struct {
	active       map[int]*peerSession   // by proxy
	unresponsive map[int]*peerSession   // by proxy; they count as disconnected, but their connections stay open for a time
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

// others returns the other sessions of the same proxy.
func (r *sessionRegistry) others(session *peerSession) []*peerSession {
	var others []*peerSession
	for _, other := range []*peerSession{r.active[session.proxy], r.unresponsive[session.proxy]} {
		if other != nil && other != session {
			others = append(others, other)
		}
	}
	return others
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

// connect starts a session.
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

// connectProxy makes a session the active one of its proxy and ends the proxy's earlier sessions. The order in which
// the connections were accepted decides which is earlier, since their first messages are read by different goroutines
// and may arrive here in any order.
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
	if n.balancer.HostIndexCount() > 0 { // before a host is known the table would be empty: the proxy keeps its own
		n.balancer.ConnectProxy(session.proxy, session.zone, session.weight)
	}
}

// disconnectProxy ends a session if it is the active one of its proxy.
func (n *Node) disconnectProxy(session *peerSession) {
	if n.sessions.active[session.proxy] != session {
		return
	}
	delete(n.sessions.active, session.proxy)
	n.updates.forgetProxy(session.proxy)
	n.balancer.DisconnectProxy(session.proxy)
}

// expireSessions disconnects the proxies of unresponsive sessions. Their connections stay open for
// unresponsiveRetentionMs: if a message arrives in that time, the session is connected again.
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

package platform

const (
	// ackLatencyDecay is the factor by which expireSessions decays the longest recent acknowledgement latency at each
	// check.
	ackLatencyDecay = 0.95

	// unresponsiveRetentionMs is the age of the oldest unacknowledged stamp at which the connection of an unresponsive
	// session is closed.
	unresponsiveRetentionMs = 20000.0
)

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
	others := n.sessions.otherSessions(session)
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
	if n.balancer.HostIndexCount() > 0 { // else the table would be empty; the proxy keeps the one it has
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
// unresponsiveRetentionMs after the oldest unacknowledged stamp was sent. If a message arrives before then, the session
// is connected again.
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

package platform

import (
	"errors"
	"fmt"
	"slices"
)

const (
	noProxy = -1 // in session.proxy: a collector's

	// maxCollectorsPerZone is how many sessions a zone's collector may have: an old one may not have been seen to
	// end.
	maxCollectorsPerZone = 3

	// maxUnacknowledged bounds the version stamps that are kept for one session: minutes of updates at the balancer's
	// pace.
	maxUnacknowledged = 256

	sessionCheckIntervalMs = 500.0 // between looks for unresponsive sessions

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

// session is a connection that has identified itself as a proxy's or as a zone's collector's. Its fields below the
// connection belong to the event loop; proxy never changes.
type session struct {
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

func newProxySession(conn *connection, message subscribeMessage) *session {
	return &session{connection: conn, proxy: message.proxy, zone: message.zone, weight: message.weight}
}

func newCollectorSession(conn *connection, message collectorMessage) *session {
	return &session{connection: conn, proxy: noProxy, zone: message.zone}
}

// recordStamp notes a stamp that was sent. Of those never acknowledged the newest are kept.
func (s *session) recordStamp(number int, nowMs float64) {
	s.unacknowledged = append(s.unacknowledged, versionStamp{number, nowMs})
	excess := max(len(s.unacknowledged)-maxUnacknowledged, 0)
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, excess)
}

// isUnresponsive reports whether a stamp has been unacknowledged for too long, by the longest acknowledgement lately,
// and nothing came since it was sent.
func (s *session) isUnresponsive(nowMs, maxAckLatencyMs float64) bool {
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
	active       map[int]*session   // by proxy
	unresponsive map[int]*session   // by proxy; they count as disconnected, their connections are kept for a while
	collectors   map[int][]*session // by zone, oldest first

	lastCheckMs     float64 // when unresponsive sessions were last looked for
	maxAckLatencyMs float64 // from update to acknowledgement, the longest lately
}

func newSessionRegistry() sessionRegistry {
	return sessionRegistry{
		active:       map[int]*session{},
		unresponsive: map[int]*session{},
		collectors:   map[int][]*session{},
	}
}

// others returns the sessions of the same proxy besides the one given.
func (r *sessionRegistry) others(ses *session) []*session {
	var others []*session
	for _, other := range []*session{r.active[ses.proxy], r.unresponsive[ses.proxy]} {
		if other != nil && other != ses {
			others = append(others, other)
		}
	}
	return others
}

// addCollector notes a collector's session and ends the oldest one of a zone that has too many.
func (r *sessionRegistry) addCollector(ses *session) {
	sessions := r.collectors[ses.zone]
	if len(sessions) >= maxCollectorsPerZone {
		sessions[0].terminate()
	}
	r.collectors[ses.zone] = append(sessions, ses)
}

func (r *sessionRegistry) removeCollector(ses *session) {
	r.collectors[ses.zone] = slices.DeleteFunc(r.collectors[ses.zone], func(other *session) bool { return other == ses })
}

// connect begins a session.
func (n *Node) connect(ses *session) {
	if ses.proxy == noProxy {
		n.sessions.addCollector(ses)
		return
	}
	n.connectProxy(ses)
}

// disconnect ends a session whose connection has ended.
func (n *Node) disconnect(ses *session) {
	if ses.proxy == noProxy {
		n.sessions.removeCollector(ses)
		return
	}
	n.disconnectProxy(ses)
	if n.sessions.unresponsive[ses.proxy] == ses {
		delete(n.sessions.unresponsive, ses.proxy)
	}
}

// connectProxy makes a session the proxy's present one and ends earlier ones. The connection accepted last counts, in
// whatever order the first messages are read: each connection is read by a goroutine of its own.
func (n *Node) connectProxy(ses *session) {
	others := n.sessions.others(ses)
	for _, other := range others {
		if other.acceptNumber > ses.acceptNumber {
			ses.terminate()
			return
		}
	}
	for _, other := range others {
		other.terminate()
	}
	delete(n.sessions.unresponsive, ses.proxy)
	n.connections.markActive(ses.connection)
	n.sessions.active[ses.proxy] = ses
	ses.unacknowledged = nil
	n.updates.forgetProxy(ses.proxy)
	if n.balancer.HostIndexCount() > 0 { // until a host is known the proxy keeps its table: ours would be empty
		n.balancer.ConnectProxy(ses.proxy, ses.zone, ses.weight)
	}
}

// disconnectProxy ends the session of a proxy where it is the present one.
func (n *Node) disconnectProxy(ses *session) {
	if n.sessions.active[ses.proxy] != ses {
		return
	}
	delete(n.sessions.active, ses.proxy)
	n.updates.forgetProxy(ses.proxy)
	n.balancer.DisconnectProxy(ses.proxy)
}

// checkSessions looks for unresponsive sessions, from time to time. Such a proxy counts as disconnected, but its
// connection is kept for a while: when a message comes after all, the session is connected again.
func (n *Node) checkSessions(nowMs float64) {
	if nowMs < n.sessions.lastCheckMs+sessionCheckIntervalMs {
		return
	}
	n.sessions.lastCheckMs = nowMs
	n.sessions.maxAckLatencyMs *= ackLatencyDecay
	n.releaseRemovedHosts(nowMs)
	for _, ses := range n.sessions.active {
		if ses.isUnresponsive(nowMs, n.sessions.maxAckLatencyMs) {
			n.log.Debug().
				Int("proxy", ses.proxy).
				Float64("unacknowledged_ms", nowMs-ses.unacknowledged[0].sentMs).
				Msg("session unresponsive")
			n.disconnectProxy(ses)
			n.sessions.unresponsive[ses.proxy] = ses
			n.connections.markUnresponsive(ses.connection)
		}
	}
	for _, ses := range n.sessions.unresponsive {
		if nowMs > ses.unacknowledged[0].sentMs+unresponsiveRetentionMs {
			ses.terminate()
		}
	}
}

// handleReport observes a message that came on a session, or returns why it was dropped. An unresponsive session is
// connected again by any message that has at least a kind and fields.
func (n *Node) handleReport(ses *session, message report, decodeErr error) error {
	var badLayout *layoutError
	hasFields := !errors.As(decodeErr, &badLayout)
	if hasFields && ses.proxy != noProxy && n.sessions.unresponsive[ses.proxy] == ses {
		n.connectProxy(ses)
	}
	if decodeErr != nil {
		return decodeErr
	}
	switch message := message.(type) {
	case hostReport:
		return n.observeHostReport(message)
	case demandReport:
		return n.observeDemandReport(ses, message)
	case ackMessage:
		return n.acknowledge(ses, message)
	default:
		return unknownKindError{}
	}
}

func (n *Node) observeHostReport(message hostReport) error {
	host, known := n.balancer.LookupHost(message.host)
	if !known {
		return invalidValue(fieldHost, message.host)
	}
	n.balancer.ObserveHostStats(host, message.attempts, message.failures, message.meanMs, message.intervalMs, message.load)
	return nil
}

// observeDemandReport takes a proxy's report from its own session or from a collector's.
func (n *Node) observeDemandReport(ses *session, message demandReport) error {
	if ses.proxy != noProxy && ses.proxy != message.proxy {
		return wrongProxy(message.proxy, ses)
	}
	n.balancer.ObserveDemand(message.proxy, message.class, message.attempts, message.intervalMs)
	return nil
}

// acknowledge notes that a stamp is acknowledged, and with it all sent before: updates keep their order on a
// connection, and an acknowledgement may have come malformed.
func (n *Node) acknowledge(ses *session, message ackMessage) error {
	if ses.proxy != message.proxy {
		return wrongProxy(message.proxy, ses)
	}
	index := slices.IndexFunc(ses.unacknowledged, func(stamp versionStamp) bool { return stamp.number == message.stamp })
	if index < 0 {
		return &fieldError{fieldStamp, fmt.Sprintf("is %d, which is not unacknowledged", message.stamp)}
	}
	if n.sessions.active[ses.proxy] == ses {
		n.balancer.Ack(ses.proxy, message.stamp)
		latencyMs := n.clock.Now() - ses.unacknowledged[index].sentMs
		n.sessions.maxAckLatencyMs = max(n.sessions.maxAckLatencyMs, latencyMs)
	}
	ses.unacknowledged = slices.Delete(ses.unacknowledged, 0, index+1)
	return nil
}

// wrongProxy is the error of a message that speaks for another proxy than the session's.
func wrongProxy(proxy int, ses *session) error {
	return &fieldError{fieldProxy, fmt.Sprintf("is %d on the session of proxy %d", proxy, ses.proxy)}
}

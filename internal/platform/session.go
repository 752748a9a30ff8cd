package platform

import "slices"

const (
	noProxy = -1 // in peerSession.proxy: the session of a collector

	// maxUnacknowledged bounds the unacknowledged version stamps that are kept for one session. The balancer takes
	// minutes to send that many.
	maxUnacknowledged = 256

	// A session is unresponsive if a version stamp has been unacknowledged for longer than minAckTimeoutMs plus
	// ackLatencyFactor times the longest recent acknowledgement latency, and no message was received since it was sent.
	minAckTimeoutMs  = 3000.0
	ackLatencyFactor = 2
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

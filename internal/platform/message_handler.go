package platform

import (
	"errors"
	"fmt"
	"slices"
)

// errSessionEnded is the error of a message that is handled after its session has ended, or was replaced by another one
// of the same proxy.
var errSessionEnded = errors.New("the session has ended")

// handleMessage passes a message of a session to the balancer. decodeErr is the error of decoding the message, if any.
// The error says why the message was dropped. Every message except one with a *layoutError, even a malformed one,
// reconnects an unresponsive session.
func (n *Node) handleMessage(session *peerSession, message sessionMessage, decodeErr error) error {
	if !n.sessions.isCurrent(session) {
		return errSessionEnded
	}
	var badLayout *layoutError
	hasFields := !errors.As(decodeErr, &badLayout)
	if hasFields && session.proxy != noProxy && n.sessions.unresponsive[session.proxy] == session {
		n.connectProxy(session)
	}
	if decodeErr != nil {
		return decodeErr
	}
	switch message := message.(type) {
	case hostReport:
		return n.observeHostReport(message)
	case demandReport:
		return n.observeDemandReport(session, message)
	case ackMessage:
		return n.acknowledge(session, message)
	default:
		return fmt.Errorf("unhandled message type %T", message)
	}
}

// observeHostReport passes a host report to the balancer. It returns a *fieldError for an unknown host.
func (n *Node) observeHostReport(message hostReport) error {
	host, known := n.balancer.LookupHost(message.host)
	if !known {
		return invalidValue(fieldHost, message.host)
	}
	n.balancer.ObserveHostStats(host, message.attempts, message.failures, message.meanMs, message.intervalMs, message.load)
	return nil
}

// observeDemandReport passes a demand report to the balancer. It returns a *fieldError for a report that comes neither
// from the session of its proxy nor from a collector.
func (n *Node) observeDemandReport(session *peerSession, message demandReport) error {
	if session.proxy != noProxy && session.proxy != message.proxy {
		return wrongProxy(message.proxy, session)
	}
	n.balancer.ObserveDemand(message.proxy, message.class, message.attempts, message.intervalMs)
	return nil
}

// acknowledge records that a proxy has acknowledged a version stamp and all that were sent before it: updates keep
// their order on a connection, and an earlier acknowledgement may have been dropped as malformed. It returns a
// *fieldError for another proxy than that of the session, and for a stamp that awaits no acknowledgement.
func (n *Node) acknowledge(session *peerSession, message ackMessage) error {
	if session.proxy != message.proxy {
		return wrongProxy(message.proxy, session)
	}
	index := slices.IndexFunc(session.unacknowledged, func(stamp versionStamp) bool {
		return stamp.number == message.stamp
	})
	if index < 0 {
		return &fieldError{fieldStamp, fmt.Sprintf("is %d, which awaits no acknowledgement", message.stamp)}
	}
	if n.sessions.active[session.proxy] == session {
		n.balancer.Ack(session.proxy, message.stamp)
		latencyMs := n.clock.Now() - session.unacknowledged[index].sentMs
		n.sessions.maxAckLatencyMs = max(n.sessions.maxAckLatencyMs, latencyMs)
	}
	session.unacknowledged = slices.Delete(session.unacknowledged, 0, index+1)
	return nil
}

// wrongProxy returns the error of a message that names a proxy other than the one of its session.
func wrongProxy(proxy int, session *peerSession) error {
	return &fieldError{fieldProxy, fmt.Sprintf("is %d on the session of proxy %d", proxy, session.proxy)}
}

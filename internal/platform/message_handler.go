package platform

import (
	"errors"
	"fmt"
	"slices"
)

// handleMessage observes a message that came on a session, or returns why it was dropped. An unresponsive session is
// connected again by any message that has at least a kind and fields.
func (n *Node) handleMessage(session *peerSession, message sessionMessage, decodeErr error) error {
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
		return fmt.Errorf("a message of type %T is not handled", message)
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
func (n *Node) observeDemandReport(session *peerSession, message demandReport) error {
	if session.proxy != noProxy && session.proxy != message.proxy {
		return wrongProxy(message.proxy, session)
	}
	n.balancer.ObserveDemand(message.proxy, message.class, message.attempts, message.intervalMs)
	return nil
}

// acknowledge notes that a stamp is acknowledged, and with it all sent before: updates keep their order on a
// connection, and an acknowledgement may have come malformed.
func (n *Node) acknowledge(session *peerSession, message ackMessage) error {
	if session.proxy != message.proxy {
		return wrongProxy(message.proxy, session)
	}
	index := slices.IndexFunc(session.unacknowledged, func(stamp versionStamp) bool {
		return stamp.number == message.stamp
	})
	if index < 0 {
		return &fieldError{fieldStamp, fmt.Sprintf("is %d, which is not unacknowledged", message.stamp)}
	}
	if n.sessions.active[session.proxy] == session {
		n.balancer.Ack(session.proxy, message.stamp)
		latencyMs := n.clock.Now() - session.unacknowledged[index].sentMs
		n.sessions.maxAckLatencyMs = max(n.sessions.maxAckLatencyMs, latencyMs)
	}
	session.unacknowledged = slices.Delete(session.unacknowledged, 0, index+1)
	return nil
}

// wrongProxy is the error of a message that speaks for another proxy than the session's.
func wrongProxy(proxy int, session *peerSession) error {
	return &fieldError{fieldProxy, fmt.Sprintf("is %d on the session of proxy %d", proxy, session.proxy)}
}

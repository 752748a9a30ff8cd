package platform

import (
	"errors"
	"net"
	"testing"
)

// A proxy connects, gets its table, acknowledges it and sends PING; a new session of the proxy ends the old one. A
// malformed message is dropped without ending the session, while bytes that are not a message end it.
func TestSession(t *testing.T) {
	discovery, _ := startDiscovery(t, hostOne)
	_, address := startNode(t, newTestConfig(t, discovery, 0))
	first := dial(t, address, "PING")
	first.expect("PONG")
	first.send("SUBSCRIBE proxy 3 zone a weight 21.5 fresh 1")
	first.expect("CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1")
	for _, malformed := range []string{
		"ACK proxy 3 mark x took_ms 1",
		"ACK proxy 2 mark 1 took_ms 1",
		"RATE proxy 3",
		"NOISE",
		"RATE proxy 3 class read tries -1 failed 0 span_ms 5",
	} {
		first.send(malformed)
	}
	first.send("ACK proxy 3 mark 1 took_ms 10.5")
	first.send("PING")
	first.expect("PONG")
	second := dial(t, address, "SUBSCRIBE proxy 3 zone a weight 21.5 fresh 0")
	second.expect("CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 2")
	if !first.closedByNode() {
		t.Error("old session stays open after a new one of the proxy, want it closed")
	}
	second.sendRaw("*2\r\n$3\r\nACKS")
	if !second.closedByNode() {
		t.Error("session stays open after bytes that are not a message, want it closed")
	}
	collector := dial(t, address, "SOURCE zone b")
	collector.send("LOAD zone b server s-1 tries 3 failed 0 mean_ms 5 span_ms 1000 load util:0.5")
	collector.send("PING")
	collector.expect("PONG")
}

// A connection whose first message does not identify a proxy or a collector is closed, and so is one that sends none in
// time. More unidentified connections than the limit do not prevent a proxy from connecting.
func TestUnidentifiedConnections(t *testing.T) {
	discovery, _ := startDiscovery(t, hostOne)
	const sockets = 10 // yields the lowest limit of connections
	node, address := startNode(t, newTestConfig(t, discovery, sockets))
	var unidentified []*peer
	for range 3 * node.connections.limit {
		unidentified = append(unidentified, dial(t, address, ""))
	}
	proxy := dial(t, address, "SUBSCRIBE proxy 0 zone b weight 1 fresh 1")
	proxy.expect(firstSnapshot)
	for _, first := range []string{
		"GET / HTTP/1.1",
		"SUBSCRIBE proxy 4 zone a weight 1 fresh 1",
		"SUBSCRIBE proxy 1 zone c weight 1 fresh 1",
		"SOURCE zone c",
		"RATE proxy 0 class read tries 1 failed 0 span_ms 1000",
		"CONFIG drop s-1",
		"LOAD",
		"ACK proxy 0 mark 1 took_ms 1",
	} {
		if !dial(t, address, first).closedByNode() {
			t.Errorf("connection stays open after the first message %q, want it closed", first)
		}
	}
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"*1000000\r\n",
		"*1\r\n$999999999\r\n",
		"PING\r\n",
		"*2\r\n$9\r\nSUBSC",
	} {
		client := dial(t, address, "")
		client.sendRaw(raw)
		if !client.closedByNode() {
			t.Errorf("connection stays open after the bytes %q, want it closed", raw)
		}
	}
	pinging := dial(t, address, "PING")
	pinging.expect("PONG")
	for _, client := range append(unidentified, pinging) {
		if !client.closedByNode() {
			t.Error("connection that has not identified itself stays open, want it closed")
		}
	}
	proxy.send("PING")
	proxy.expect("PONG")
}

// A session that leaves a version stamp unacknowledged and sends nothing counts as disconnected until its next message.
func TestUnresponsiveSession(t *testing.T) {
	node := newIdleNode(t)
	local, remote := net.Pipe()
	closeAtEnd(t, local)
	closeAtEnd(t, remote)
	session := &peerSession{connection: &connection{Conn: local}, proxy: 2}
	node.connectProxy(session)
	session.unacknowledged = []versionStamp{{number: 5, sentMs: 1000}}
	session.lastReadMs.Store(900)
	for _, step := range []struct {
		nowMs     float64
		connected bool
	}{{3900, true}, {4600, false}} {
		node.maintain(step.nowMs)
		if (node.sessions.active[2] == session) != step.connected {
			t.Errorf("at %.0f ms connected is %v, want %v", step.nowMs, !step.connected, step.connected)
		}
	}
	message := demandReport{proxy: 2, attemptCounts: attemptCounts{intervalMs: 1000, attempts: 1}}
	if err := node.handleMessage(session, message, nil); err != nil {
		t.Errorf("message of the unresponsive session: got error %v, want none", err)
	}
	connected, unresponsive := node.sessions.active[2] == session, len(node.sessions.unresponsive)
	if !connected || unresponsive != 0 {
		t.Errorf("after a message: got connected %v, %d unresponsive sessions, want true, 0", connected, unresponsive)
	}
}

// A malformed message connects an unresponsive session again, unless its error is a *layoutError.
func TestUnresponsiveSessionSendsMalformedMessage(t *testing.T) {
	for _, test := range []struct {
		name, words string
		connected   bool
	}{
		{"malformed field", "RATE proxy x", true},
		{"unknown kind", "NOISE", true},
		{"no fields", "RATE proxy", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newIdleNode(t)
			session := &peerSession{connection: &connection{}, proxy: 2}
			node.sessions.unresponsive[2] = session
			message, decodeErr := node.decoder.decodeSessionMessage(splitWords(test.words))
			if err := node.handleMessage(session, message, decodeErr); err == nil {
				t.Error("malformed message accepted, want an error")
			}
			if connected := node.sessions.active[2] == session; connected != test.connected {
				t.Errorf("connected is %v, want %v", connected, test.connected)
			}
		})
	}
}

// If the first message of a proxy's older connection arrives after that of its newer one, the newer one stays the
// proxy's session, and the older one is closed.
func TestOlderConnectionIdentifiesLater(t *testing.T) {
	discovery, _ := startDiscovery(t, hostOne)
	node, address := startNode(t, newTestConfig(t, discovery, 0))
	older := dial(t, address, "PING")
	older.expect("PONG") // accepted first, but identifies itself only after the newer connection
	newer := dial(t, address, subscribeProxy0)
	newer.expect(firstSnapshot)
	older.send(subscribeProxy0)
	if !older.closedByNode() {
		t.Error("older connection stays open, want it closed")
	}
	newer.send("PING")
	newer.expect("PONG")
	if !callInEventLoop(t, node, func() bool { return node.sessions.active[0] != nil }) {
		t.Error("proxy 0 has no session, want that of the newer connection")
	}
}

// A proxy that connects before the node knows any host gets its first snapshot only after the endpoint list arrives.
func TestConnectBeforeFirstSnapshot(t *testing.T) {
	discovery := listen(t)
	config := newTestConfig(t, discovery.Addr().String(), 0)
	config.knownEndpoints.Endpoints = nil
	node, address := startNode(t, config)
	proxy := dial(t, address, subscribeProxy0)
	proxy.send("PING")
	proxy.expect("PONG")
	waitForRound(t, node)
	_, call := acceptRequest(t, discovery)
	writeResponse(t, call, endpointList(7, true, hostOne))
	proxy.expect(firstSnapshot)
}

// For a proxy that never acknowledges a stamp, only the newest maxUnacknowledged stamps are kept.
func TestStampsNeverAcknowledged(t *testing.T) {
	session := &peerSession{}
	for number := range 10 * maxUnacknowledged {
		session.recordStamp(number, float64(number))
	}
	last := session.unacknowledged[len(session.unacknowledged)-1]
	if len(session.unacknowledged) != maxUnacknowledged || last.number != 10*maxUnacknowledged-1 {
		t.Errorf("%d stamps kept, the last with number %d; want %d stamps, the last with number %d",
			len(session.unacknowledged), last.number, maxUnacknowledged, 10*maxUnacknowledged-1)
	}
}

// A zone's collector may have maxCollectorsPerZone sessions; one more ends the oldest.
func TestCollectorsPerZone(t *testing.T) {
	node := newIdleNode(t)
	var collectors []*peerSession
	for range maxCollectorsPerZone + 1 {
		conn, _ := newPipeConnection(t, &node.goroutines)
		session := newCollectorSession(conn, collectorMessage{zone: 1})
		node.connect(session)
		collectors = append(collectors, session)
	}
	for i, session := range collectors {
		if session.closed != (i == 0) {
			t.Errorf("closed is %v for session %d of the collector, want %v", session.closed, i, i == 0)
		}
		node.disconnect(session)
	}
	if left := len(node.sessions.collectors[1]); left != 0 {
		t.Errorf("%d sessions registered after all have ended, want 0", left)
	}
}

// A message for another proxy than that of the session, or with an unknown host or stamp, is dropped with an error that
// names the field.
func TestMessageNotOfSession(t *testing.T) {
	node := newIdleNode(t)
	proxySession := &peerSession{connection: &connection{}, proxy: 2}
	collector := &peerSession{connection: &connection{}, proxy: noProxy}
	node.connect(proxySession)
	node.connect(collector)
	counts := attemptCounts{intervalMs: 1000, attempts: 1}
	for _, test := range []struct {
		name, field string
		session     *peerSession
		message     sessionMessage
	}{
		{"demand of another proxy", fieldProxy, proxySession, demandReport{attemptCounts: counts, proxy: 1}},
		{"acknowledgement of another proxy", fieldProxy, proxySession, ackMessage{proxy: 1, stamp: 5}},
		{"acknowledgement by a collector", fieldProxy, collector, ackMessage{proxy: 1, stamp: 5}},
		{"stamp that was not sent", fieldStamp, proxySession, ackMessage{proxy: 2, stamp: 5}},
		{"unknown host", fieldHost, collector, hostReport{attemptCounts: counts, host: "s-9"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := node.handleMessage(test.session, test.message, nil)
			var fieldErr *fieldError
			if !errors.As(err, &fieldErr) || fieldErr.field != test.field {
				t.Errorf("error %v, want a *fieldError of field %s", err, test.field)
			}
		})
	}
}

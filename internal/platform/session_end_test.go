package platform

import (
	"errors"
	"net"
	"strings"
	"testing"
)

// Guards against messages that act after their client has left: a proxy has connected again, and what its former
// connection has sent before is still waiting.
func TestMessagesOfReplacedSessionAreDropped(t *testing.T) {
	node := newIdleNode(t)
	run := func(session *peerSession, words string) error {
		message, err := node.decoder.decodeSessionMessage(strings.Fields(words))
		return node.handleMessage(session, message, err)
	}
	newSession := func(number uint64) *peerSession {
		conn, peerEnd := net.Pipe()
		closeAtEnd(t, peerEnd)
		return newProxySession(node.newConnection(conn, number), subscribeMessage{proxy: 2, weight: 1})
	}
	const demand = "RATE proxy 2 class read tries 1 failed 0 span_ms 1"
	former, current := newSession(1), newSession(2)
	node.connect(former)
	if err := run(former, demand); err != nil {
		t.Errorf("message of the session: %v, want it counted", err)
	}
	node.connect(current)
	if err := run(former, demand); !errors.Is(err, errSessionEnded) {
		t.Errorf("message of the replaced session: error %v, want %v", err, errSessionEnded)
	}
	if err := run(current, demand); err != nil {
		t.Errorf("message of the new session: %v, want it counted", err)
	}
	node.disconnect(current)
	if err := run(current, demand); !errors.Is(err, errSessionEnded) {
		t.Errorf("message of the session after its end: error %v, want %v", err, errSessionEnded)
	}
}

package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// longPollTarget returns the target of a long poll for the changes after a generation.
func longPollTarget(generation int) string {
	return fmt.Sprintf("%s?from=%d&hold_ms=1500", endpointListPath, generation)
}

// acceptRequest accepts a connection and reads a request, within testTimeout. It returns the request's target and the
// connection; the caller writes the response.
func acceptRequest(t *testing.T, listener *net.TCPListener) (target string, conn net.Conn) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	if err := listener.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	if err := conn.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	return readRequest(t, conn), conn
}

// readRequest reads the next request on a connection and returns its target.
func readRequest(t *testing.T, conn net.Conn) (target string) {
	t.Helper()
	request := ""
	for !strings.Contains(request, "\r\n\r\n") {
		part := make([]byte, 512)
		n, err := conn.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		request += string(part[:n])
	}
	return strings.Fields(request)[1]
}

// expectTarget compares the target of a request.
func expectTarget(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("request for %s, want %s", got, want)
	}
}

// writeResponse writes a 200 response with a body.
func writeResponse(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
}

// expectHosts compares the names of those of s-1 and s-2 that are known and not removed, joined by a plus sign.
func expectHosts(t *testing.T, node *Node, want string) {
	t.Helper()
	got := callInEventLoop(t, node, func() string {
		var names []string
		for _, name := range []string{"s-1", "s-2"} {
			host, known := node.balancer.LookupHost(name)
			if known && !node.hosts.isRemoved(host) {
				names = append(names, name)
			}
		}
		return strings.Join(names, "+")
	})
	if got != want {
		t.Errorf("known hosts are %q, want %q", got, want)
	}
}

// After a change of address the watcher calls the newest address at once, and begins with a snapshot.
func TestAddressChange(t *testing.T) {
	first, firstCalls := startDiscovery(t, hostOne)
	second, secondCalls := startDiscovery(t, hostOne, hostTwo)
	node, address := startNode(t, newTestConfig(t, first, 0))
	proxy := dial(t, address, subscribeProxy0)
	proxy.expect(firstSnapshot)
	for _, want := range []string{endpointListPath, longPollTarget(7)} {
		expectTarget(t, receive(t, firstCalls), want)
	}
	node.watcher.setAddress(first)
	node.watcher.setAddress(second)
	for _, want := range []string{endpointListPath, longPollTarget(7)} {
		expectTarget(t, receive(t, secondCalls), want)
	}
	expectHosts(t, node, "s-1+s-2")
}

// The new address is that of a replica that has not caught up. Its older snapshot must not bring back hosts that were
// removed since; a snapshot of the same generation or a newer delta is accepted.
func TestStaleSnapshotAfterAddressChange(t *testing.T) {
	first, second := listen(t), listen(t)
	node, _ := startNode(t, newTestConfig(t, first.Addr().String(), 0))
	target, conn := acceptRequest(t, first)
	expectTarget(t, target, endpointListPath)
	writeResponse(t, conn, endpointList(7, true, hostTwo)) // s-1 is removed
	expectTarget(t, readRequest(t, conn), longPollTarget(7))
	node.watcher.setAddress(second.Addr().String())
	target, conn = acceptRequest(t, second)
	expectTarget(t, target, endpointListPath)
	writeResponse(t, conn, endpointList(6, true, hostOne, hostTwo))
	expectTarget(t, readRequest(t, conn), endpointListPath)
	expectHosts(t, node, "s-2")
	writeResponse(t, conn, endpointList(7, true, hostTwo))
	readRequest(t, conn)
	writeResponse(t, conn, endpointList(8, false, hostOne))
	readRequest(t, conn)
	expectHosts(t, node, "s-1+s-2")
	writeResponse(t, conn, endpointList(3, false)) // an empty delta from a replica that restarted or has not caught up
	expectTarget(t, readRequest(t, conn), endpointListPath)
}

// A discovery service that returns older snapshots for longer than the stale limit has restarted its generations, so
// its snapshot is accepted.
func TestGenerationsRestart(t *testing.T) {
	discovery := listen(t)
	node, err := New(newTestConfig(t, discovery.Addr().String(), 0), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	node.watcher.generation = 40
	node.watcher.staleLimit = 0
	runNode(t, node)
	_, conn := acceptRequest(t, discovery)
	writeResponse(t, conn, endpointList(1, true, hostTwo))
	expectTarget(t, readRequest(t, conn), longPollTarget(1))
	expectHosts(t, node, "s-2")
}

// A delta in response to a call for a snapshot, a response without its generation or kind, and one that is cut off are
// rejected. The list in force stays, and the watcher calls for a snapshot again.
func TestInvalidSnapshot(t *testing.T) {
	for _, test := range []struct{ name, body string }{
		{"delta", endpointList(7, false, hostTwo)},
		{"empty object", `{}`},
		{"null", `null`},
		{"no generation", `{"reset":true,"instances":[]}`},
		{"no reset", `{"generation":7,"instances":[]}`},
		{"generation below 0", endpointList(-1, true)},
	} {
		t.Run(test.name, func(t *testing.T) {
			discovery := listen(t)
			node, _ := startNode(t, newTestConfig(t, discovery.Addr().String(), 0))
			_, conn := acceptRequest(t, discovery)
			writeResponse(t, conn, test.body)
			expectTarget(t, readRequest(t, conn), endpointListPath)
			expectHosts(t, node, "s-1")
			half := endpointList(8, true)[:20]
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n%s", half); err != nil {
				t.Fatal(err)
			}
			mustClose(t, conn)
			target, _ := acceptRequest(t, discovery)
			expectTarget(t, target, endpointListPath)
		})
	}
}

// The discovery service resets a kept-alive connection while a long poll is in flight on it: the call is retried,
// unchanged, on a new connection.
func TestIdleConnectionReset(t *testing.T) {
	discovery := listen(t)
	node, _ := startNode(t, newTestConfig(t, discovery.Addr().String(), 0))
	_, conn := acceptRequest(t, discovery)
	writeResponse(t, conn, endpointList(7, true, hostTwo))
	expectTarget(t, readRequest(t, conn), longPollTarget(7))
	resetConnection(t, conn)
	target, conn := acceptRequest(t, discovery)
	expectTarget(t, target, longPollTarget(7))
	writeResponse(t, conn, endpointList(8, false, hostOne))
	readRequest(t, conn)
	expectHosts(t, node, "s-1+s-2")
}

// The pause between retries doubles from the shortest to the longest, and is the shortest again after a reset.
func TestBackoff(t *testing.T) {
	retries := backoff{min: 50 * time.Millisecond, max: 400 * time.Millisecond}
	for _, wantMs := range []int64{50, 100, 200, 400, 400} {
		if got := retries.next().Milliseconds(); got != wantMs {
			t.Errorf("pause of %d ms, want %d ms", got, wantMs)
		}
	}
	retries.reset()
	if got := retries.next().Milliseconds(); got != 50 {
		t.Errorf("pause after a reset is %d ms, want 50 ms", got)
	}
}

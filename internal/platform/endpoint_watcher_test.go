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
		t.Errorf("called %s, not %s", got, want)
	}
}

// writeResponse writes a 200 response with a body.
func writeResponse(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
}

// expectHosts compares which of s-1 and s-2 are known and not removed, joined by a plus sign.
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
		t.Errorf("it knows %s, not %s", got, want)
	}
}

// A configuration that names another address for the list is followed there at once, from a snapshot on.
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

// The list moves to an address whose replica has not caught up: its older snapshot does not bring back hosts that were
// removed since; one of the same generation or a newer one is accepted.
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

// A service that returns an older list for longer than the stale limit has restarted its generations: the list is
// accepted.
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

// A delta in place of a snapshot, a response that does not say what it is, and one that ends in the middle are
// rejected, and a snapshot is requested again; the list in force stays.
func TestInvalidSnapshot(t *testing.T) {
	for _, test := range []struct{ name, body string }{
		{"changes", endpointList(7, false, hostTwo)},
		{"nothing", `{}`},
		{"null", `null`},
		{"no generation", `{"reset":true,"instances":[]}`},
		{"no reset", `{"generation":7,"instances":[]}`},
		{"below 0", endpointList(-1, true)},
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

// The service resets an idle connection while a call is in flight: the call is retried on a new one, at once and
// unchanged.
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

// The pause between retries doubles from the least to the longest and starts again after a success.
func TestBackoff(t *testing.T) {
	retries := backoff{min: 50 * time.Millisecond, max: 400 * time.Millisecond}
	for _, wantMs := range []int64{50, 100, 200, 400, 400} {
		if got := retries.next().Milliseconds(); got != wantMs {
			t.Errorf("a pause of %d ms, not %d", got, wantMs)
		}
	}
	retries.reset()
	if got := retries.next().Milliseconds(); got != 50 {
		t.Errorf("after a success a pause of %d ms", got)
	}
}

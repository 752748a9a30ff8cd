package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// fillNode runs a node with as many proxy sessions as it has descriptors for; all but the first have acknowledged
// their version stamp.
func fillNode(t *testing.T) (node *Node, address string, proxies []*peer) {
	t.Helper()
	discovery, _ := startDiscovery(t, hostOne)
	config := newTestConfig(t, discovery, 10)
	*config.Settings.FamilyInfo.DataPlaneSize = 1000
	node, address = startNode(t, config)
	for number := range node.connections.limit {
		client := dial(t, address, fmt.Sprintf("SUBSCRIBE proxy %d zone a weight 1 fresh 1", number))
		update := client.read()
		_, stamp, found := strings.Cut(update, "stamp ")
		if !found {
			t.Fatalf("proxy %d read %q", number, update)
		}
		if number > 0 {
			client.send(fmt.Sprintf("ACK proxy %d mark %s took_ms 1", number, stamp))
			client.send("PING")
			for answer := ""; answer != "PONG"; { // updates may come before it, since other proxies connect
				answer = client.read()
				if !strings.HasPrefix(answer, "CONFIG ") && answer != "PONG" {
					t.Fatalf("proxy %d read %q", number, answer)
				}
			}
		}
		proxies = append(proxies, client)
	}
	return node, address, proxies
}

// expectSnapshot reads an update that must bring the table of hostOne.
func expectSnapshot(t *testing.T, client *peer) {
	t.Helper()
	if update := client.read(); !strings.HasPrefix(update, "CONFIG replace 1 rows s-1:1") {
		t.Errorf("read %q", update)
	}
}

// Sessions hold all descriptors: a newcomer is closed at once, and admitted as soon as a session has ended. The
// endpoint list is called meanwhile, also at another address.
func TestSessionsHoldAllDescriptors(t *testing.T) {
	node, address, proxies := fillNode(t)
	late := dial(t, address, "SUBSCRIBE proxy 900 zone a weight 1 fresh 1")
	if !late.closedByNode() {
		t.Error("a connection is neither rejected nor served")
	}
	discovery := listen(t)
	node.watcher.setAddress(discovery.Addr().String())
	_, call := acceptCall(t, discovery)
	answer(t, call, endpointList(8, true, hostOne))
	mustClose(t, proxies[1])
	waitUntil(t, node, func() bool { return node.sessions.active[1] == nil })
	expectSnapshot(t, dial(t, address, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1"))
}

// The connection of an unresponsive session is kept only while nobody needs its descriptor.
func TestUnresponsiveSessionEvicted(t *testing.T) {
	node, address, proxies := fillNode(t)
	found := query(t, node, func() bool {
		node.lastMaintenanceMs = 0
		node.maintain(node.clock.Now() + unresponsiveRetentionMs/2)
		return len(node.sessions.unresponsive) == 1 && node.sessions.unresponsive[0] != nil
	})
	if !found {
		t.Fatal("the session that left its stamp unacknowledged does not count as unresponsive")
	}
	expectSnapshot(t, dial(t, address, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1"))
	if !proxies[0].closedByNode() {
		t.Error("the unresponsive session goes on")
	}
}

// A node ends at once whatever is under way: an idle session, a connection in the middle of its first message, one
// that sends nothing, a health check and a watch call that wait for their answers. Nothing that it started goes on.
func TestShutdown(t *testing.T) {
	host, discovery := listen(t), listen(t)
	config := newTestConfig(t, discovery.Addr().String(), 0)
	config.Settings.Limits.MayProbe = true
	config.HealthCheckTimeout = testTimeout
	config.knownEndpoints.Endpoints[0].Address = host.Addr().String()
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	listener := listen(t)
	address := listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan struct{})
	go func() {
		node.serveListener(ctx, listener)
		close(ended)
	}()
	proxy := dial(t, address, subscribeProxy0)
	proxy.expect(firstSnapshot)
	partial := dial(t, address, "PING")
	partial.expect("PONG")
	partial.sendRaw("*2\r\n$9\r\nSUBSC")
	dial(t, address, "PING").expect("PONG")
	acceptCall(t, host)
	acceptCall(t, discovery)
	cancel()
	receive(t, ended)
	expectNoGoroutines(t)
	if conn, err := net.Dial("tcp", address); err == nil {
		mustClose(t, conn)
		t.Error("it still accepts connections")
	}
}

// expectNoGoroutines fails the test where a goroutine of a node still runs.
func expectNoGoroutines(t *testing.T) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		for _, owner := range []string{"(*Node)", "(*endpointWatcher)", "(*connection)", "(*session)"} {
			if strings.Contains(stack, "platform."+owner) {
				t.Errorf("goes on after the end:\n%s", stack)
			}
		}
	}
}

// Run serves until its context ends, and fails where its address is in use.
func TestRun(t *testing.T) {
	config := newTestConfig(t, noDiscovery, 0)
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := node.Run(ctx); err != nil {
		t.Errorf("after its context has ended: %v", err)
	}
	config.Listen = listen(t).Addr().String()
	var opError *net.OpError
	if err := node.Run(ctx); !errors.As(err, &opError) {
		t.Errorf("on an address in use: %v", err)
	}
}

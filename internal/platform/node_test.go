package platform

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// One malformed entry of the known endpoints must not leave a node that has just started without hosts.
func TestKnownEndpointsWithMalformedEntry(t *testing.T) {
	config := newTestConfig(t, noDiscovery, 0)
	malformed := endpointEntry{Name: "s-0", Address: "127.0.0.1:1", Zone: "nowhere", Lifecycle: "Ready"}
	config.knownEndpoints.Endpoints = append([]endpointEntry{malformed}, config.knownEndpoints.Endpoints...)
	_, address := startNode(t, config)
	dial(t, address, subscribeProxy0).expect(firstSnapshot)
}

// The limit of health checks in flight depends on the descriptors, and not on the known endpoints, which may be absent.
func TestHealthChecksInFlight(t *testing.T) {
	for _, sockets := range []int{0, 256, 1024, 4096} {
		config := newTestConfig(t, noDiscovery, sockets)
		config.knownEndpoints.Endpoints = nil
		node, err := New(config, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if got := cap(node.healthCheckSlots); got < 16 {
			t.Errorf("with %d descriptors %d health checks may be in flight", sockets, got)
		}
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
	acceptRequest(t, host)
	acceptRequest(t, discovery)
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

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

// A malformed entry of the known endpoints is dropped alone: the node starts with the other hosts.
func TestKnownEndpointsWithMalformedEntry(t *testing.T) {
	config := newTestConfig(t, noDiscovery, 0)
	malformed := endpointEntry{Name: "s-0", Address: "127.0.0.1:1", Zone: "nowhere", Lifecycle: "Ready"}
	config.knownEndpoints.Endpoints = append([]endpointEntry{malformed}, config.knownEndpoints.Endpoints...)
	_, address := startNode(t, config)
	dial(t, address, subscribeProxy0).expect(firstSnapshot)
}

// The limit of health checks in flight is at least 16 whatever the number of descriptors, and even without known
// endpoints.
func TestHealthChecksInFlight(t *testing.T) {
	for _, sockets := range []int{0, 256, 1024, 4096} {
		config := newTestConfig(t, noDiscovery, sockets)
		config.knownEndpoints.Endpoints = nil
		node, err := New(config, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if got := cap(node.healthCheckSlots); got < 16 {
			t.Errorf("limit of health checks in flight is %d with %d descriptors, want at least 16", got, sockets)
		}
	}
}

// A node that shuts down ends all its goroutines and closes its listener, even with an idle session, a connection in
// the middle of its first message, one that sends only PING, and a health check and a long poll that await responses.
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
		t.Error("node accepts a connection after its shutdown, want it refused")
	}
}

// expectNoGoroutines fails the test for each goroutine of a node that still runs.
func expectNoGoroutines(t *testing.T) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		for _, owner := range []string{"(*Node)", "(*endpointWatcher)", "(*connection)", "(*peerSession)"} {
			if strings.Contains(stack, "platform."+owner) {
				t.Errorf("goroutine still runs after the shutdown:\n%s", stack)
			}
		}
	}
}

// Run returns nil when its context ends, and an error if its address is in use.
func TestRun(t *testing.T) {
	config := newTestConfig(t, noDiscovery, 0)
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := node.Run(ctx); err != nil {
		t.Errorf("Run returned error %v after its context ended, want nil", err)
	}
	config.Listen = listen(t).Addr().String()
	var opError *net.OpError
	if err := node.Run(ctx); !errors.As(err, &opError) {
		t.Errorf("Run returned error %v for an address in use, want a *net.OpError", err)
	}
}

package platform

import "testing"

// While a health check is in flight, the host moves to another address, or is removed and comes back at another one.
// The failure of the check must not count against the host, and the next check must go to the current address.
func TestHealthCheckOfMovedHost(t *testing.T) {
	for _, test := range []struct {
		name string
		move func(node *Node, endpoint endpointEntry)
	}{
		{"moved", func(node *Node, endpoint endpointEntry) {
			node.applyWatchEvent(watchEvent{Endpoints: []endpointEntry{endpoint}}, false)
		}},
		{"removed and back", func(node *Node, endpoint endpointEntry) {
			node.applyWatchEvent(watchEvent{Snapshot: true}, false)
			node.applyWatchEvent(watchEvent{Snapshot: true, Endpoints: []endpointEntry{endpoint}}, false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			oldHost, newHost, discovery := listen(t), listen(t), listen(t)
			config := newTestConfig(t, discovery.Addr().String(), 0)
			config.Settings.Limits.MayProbe = true
			config.HealthCheckTimeout = testTimeout
			config.knownEndpoints.Endpoints[0].Address = oldHost.Addr().String()
			moved := config.knownEndpoints.Endpoints[0]
			moved.Address = newHost.Addr().String()
			node, _ := startNode(t, config)
			_, call := acceptRequest(t, oldHost)
			callInEventLoop(t, node, func() bool { test.move(node, moved); return true })
			mustClose(t, oldHost) // a connection attempt to the old address is now refused
			resetConnection(t, call)
			acceptRequest(t, newHost)
			failures := callInEventLoop(t, node, func() int {
				view, _ := node.balancer.Explain(0)
				return view.ConsecutiveFailures
			})
			if failures != 0 {
				t.Errorf("%d consecutive failures, want 0", failures)
			}
		})
	}
}

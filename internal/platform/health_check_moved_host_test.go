package platform

import "testing"

// While a health check is in flight the host moves to another address, or is removed and comes back: the response of
// the old address or process says nothing about the current one, and the next check goes to the current address.
func TestHealthCheckOfMovedHost(t *testing.T) {
	for _, test := range []struct {
		name string
		move func(node *Node, endpoint endpointEntry)
	}{
		{"moved", func(node *Node, endpoint endpointEntry) {
			node.applyWatchEvent(watchEvent{Endpoints: []endpointEntry{endpoint}}, false)
		}},
		{"gone and back", func(node *Node, endpoint endpointEntry) {
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
			mustClose(t, oldHost) // a retry there is refused
			resetConnection(t, call)
			acceptRequest(t, newHost)
			failures := callInEventLoop(t, node, func() int {
				view, _ := node.balancer.Explain(0)
				return view.ConsecutiveFailures
			})
			if failures != 0 {
				t.Errorf("%d checks count as failed", failures)
			}
		})
	}
}

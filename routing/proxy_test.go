package routing

import (
	"slices"
	"testing"
)

// A proxy's own table is kept after it disconnects until ForgetProxy, so that its entries can still be removed.
func TestForgetProxy(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	h.proxies[1].subset = []int{0, 2}
	h.ForgetProxy(1)
	if subset := h.proxies[1].subset; !slices.Equal(subset, []int{0, 2}) {
		t.Errorf("a connected proxy has subset %v, want [0 2]", subset)
	}
	h.DisconnectProxy(1)
	h.ConnectProxy(1, 1, 1)
	if subset := h.proxies[1].subset; !slices.Equal(subset, []int{0, 2}) {
		t.Errorf("a proxy that has connected again has subset %v, want [0 2]", subset)
	}
	h.DisconnectProxy(1)
	h.ForgetProxy(1)
	if subset := h.proxies[1].subset; subset != nil {
		t.Errorf("a forgotten proxy has subset %v, want nil", subset)
	}
	h.ForgetProxy(99) // unknown: nothing to forget
}

// Messages in transit to a proxy that disconnects no longer count against the channel, nor as acknowledged.
func TestDisconnectReleasesBacklog(t *testing.T) {
	h := &harness{Balancer: defaultSettings().newBalancer(3), clockMs: 1000, quiet: true}
	h.round()
	entries := h.backlog.unacknowledged
	if entries <= 0 {
		t.Fatalf("%v entries are unacknowledged after the first round, want some", entries)
	}
	h.DisconnectProxy(0)
	if got := h.backlog.unacknowledged; got != entries/2 {
		t.Errorf("%v entries are unacknowledged, want %v", got, entries/2)
	}
	h.DisconnectProxy(1)
	h.DisconnectProxy(1) // again: no change
	if got := h.backlog.unacknowledged; got != 0 {
		t.Errorf("%v entries are unacknowledged, want 0", got)
	}
	if h.rollout.acks != 0 || h.connectedProxies != 0 {
		t.Errorf("%d acknowledgements, %d connected proxies; want 0, 0", h.rollout.acks, h.connectedProxies)
	}
}

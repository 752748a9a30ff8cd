package routing

import (
	"slices"
	"testing"
)

// A proxy's own table outlives its connection until it is forgotten, so that the entries can be taken out of it.
func TestForgetProxy(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	h.proxies[1].subset = []int{0, 2}
	h.ForgetProxy(1)
	if subset := h.proxies[1].subset; !slices.Equal(subset, []int{0, 2}) {
		t.Errorf("a connected proxy has subset %v", subset)
	}
	h.DisconnectProxy(1)
	h.ConnectProxy(1, 1, 1)
	if subset := h.proxies[1].subset; !slices.Equal(subset, []int{0, 2}) {
		t.Errorf("a proxy that has connected again has subset %v", subset)
	}
	h.DisconnectProxy(1)
	h.ForgetProxy(1)
	if subset := h.proxies[1].subset; subset != nil {
		t.Errorf("a forgotten proxy has subset %v", subset)
	}
	h.ForgetProxy(99) // unknown: nothing to forget
}

// What was on its way to a proxy that disconnects no longer counts against the channel, and is not acknowledged.
func TestDisconnectReleasesBacklog(t *testing.T) {
	h := &harness{Balancer: defaultSettings().newBalancer(3), clockMs: 1000, quiet: true}
	h.round()
	entries := h.backlog.unacknowledged
	if entries <= 0 {
		t.Fatal("nothing was sent")
	}
	h.DisconnectProxy(0)
	if got := h.backlog.unacknowledged; got != entries/2 {
		t.Errorf("%v entries are unacknowledged, not %v", got, entries/2)
	}
	h.DisconnectProxy(1)
	h.DisconnectProxy(1) // again: no change
	if got := h.backlog.unacknowledged; got != 0 {
		t.Errorf("%v entries are unacknowledged, not 0", got)
	}
	if h.rollout.acks != 0 || h.connectedProxies != 0 {
		t.Errorf("%d acknowledgements, %d connected proxies", h.rollout.acks, h.connectedProxies)
	}
}

package routing

import "testing"

// Draining and removed hosts lose their entries at once, whatever was not acknowledged.
func TestDrainingAndRemovedHosts(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	h.clockMs = 1100
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Draining, 1, 0)
	h.round()
	h.clockMs = 1110
	h.ObserveDelta()
	h.ObserveEndpoint(2, 0, Removed, 0, 0)
	h.round()
	h.run(400, nil)
	h.tracef("host 1 is ready again")
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Ready, 1, 0)
	h.run(800, uniformReports(4, healthyReport))
	h.check(t)
}

// The endpoint list must be watched: from the start, and after failures again with a growing backoff.
func TestWatchRetryBackoff(t *testing.T) {
	set := defaultSettings()
	set.deployment.WatchesEndpoints = true
	h := newHarness(set, 2)
	for range 4 {
		h.ObserveWatchFailure()
		h.run(6000, nil)
	}
	h.check(t)
}

// A controller starts again from its cached snapshot while proxies still have old tables and a retry policy that
// could repeat effects: they are assigned tables at once, the retry policy is set first, and what the snapshot lacks
// is removed.
func TestRestartFromCachedSnapshot(t *testing.T) {
	set := defaultSettings()
	set.deployment.DefaultRetryPolicy = 3
	h := newHarness(set, 3)
	h.ObserveSnapshot(false)
	h.ObserveEndpoint(0, 0, Ready, 1, 0)
	h.ObserveEndpoint(2, 0, Ready, 1, 400)
	h.clockMs = 1050
	h.Ack(0, 7)
	h.round()
	h.check(t)
}

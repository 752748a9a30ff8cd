package routing

import "testing"

// Draining and removed hosts are removed from the tables without waiting for the acknowledgement of earlier updates.
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
	h.checkTrace(t)
}

// The watch of the endpoint list starts in the first round, and is retried after failures with a growing backoff.
func TestWatchRetryBackoff(t *testing.T) {
	set := defaultSettings()
	set.deployment.WatchesEndpoints = true
	h := newHarness(set, 2)
	for range 4 {
		h.ObserveWatchFailure()
		h.run(6000, nil)
	}
	h.checkTrace(t)
}

// A controller restarts from a cached snapshot while proxies still have old tables and a retry policy that could
// execute a request twice: the retry policy is set first, tables are assigned at once, and hosts that the next snapshot
// lacks are removed.
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
	h.checkTrace(t)
}

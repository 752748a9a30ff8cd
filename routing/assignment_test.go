package routing

import "testing"

// A proxy that disconnects and connects again between two rounds is assigned its table in the next one. A proxy that
// connects and disconnects between two rounds is not assigned a table.
func TestProxyConnects(t *testing.T) {
	h := newHarness(defaultSettings(), 2)
	h.quiet = false
	h.DisconnectProxy(1)
	h.ConnectProxy(1, 0, 1)
	h.Round(1010, h)
	h.ConnectProxy(0, 0, 1)
	h.DisconnectProxy(0)
	h.Round(1020, h)
	h.checkTrace(t)
}

// All proxies connect at once on a slow channel: the backlog stays within its limit, and all proxies are assigned their
// tables in the end.
func TestManyProxiesConnect(t *testing.T) {
	set := defaultSettings()
	set.deployment.Proxies = 30
	set.channel.EntriesPerSecond = 200
	set.channel.MaxBacklog = 150
	set.limits.DrainGraceMs = 60000
	h := newHarness(set, 8)
	h.run(12000, nil)
	h.checkTrace(t)
}

// The channel cannot send the shared table to three proxies in time: each gets a subset first. A host that drains is
// removed from the subsets at once. The shared table follows when the channel has capacity.
func TestSubsetBeforeLateTable(t *testing.T) {
	set := defaultSettings()
	set.deployment.Proxies = 3
	set.channel.EntriesPerSecond = 30
	set.channel.MaxBacklog = 90
	h := newHarness(set, 14)
	h.run(400, nil)
	h.ObserveDelta()
	h.ObserveEndpoint(3, 1, Draining, 1, 0)
	h.run(12000, nil)
	h.checkTrace(t)
}

// Where a request class must stay in its zone, each zone's proxies share a table of their zone's hosts.
func TestZoneLocalTables(t *testing.T) {
	set := defaultSettings()
	set.classes[1].ZoneLocal = true
	h := newHarness(set, 4)
	h.run(2000, uniformReports(4, healthyReport))
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Draining, 1, 0)
	h.run(400, nil)
	h.checkTrace(t)
}

// Each proxy's own table has a number of its own, after those of the shared tables.
func TestSubsetTableNumbers(t *testing.T) {
	h := newHarness(defaultSettings(), 2)
	shared := []int{0, 1, 2} // the table of all zones, and those of the two zones
	for proxy := range 3 {
		if got, want := h.SubsetTable(proxy), len(shared)+proxy; got != want {
			t.Errorf("proxy %d has table %d, want %d", proxy, got, want)
		}
	}
}

package routing

import "testing"

// A host that restarts gets no traffic until reports show the first weights, and then a weight that grows as it warms
// up.
func TestSlowStart(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	reports := uniformReports(3, healthyReport)
	h.run(3000, reports)
	h.restartHost(2, 0)
	h.round()
	h.run(12000, reports)
	h.checkTrace(t)
}

// restartHost records that a host started 100 ms ago.
func (h *harness) restartHost(host, zone int) {
	h.ObserveDelta()
	h.ObserveEndpoint(host, zone, Ready, 1, h.clockMs-100)
}

// Where proxies eject hosts by themselves, a host that is warming up gets no traffic in a fleet that fails most
// attempts: the proxies could eject all other hosts.
func TestSlowStartInRejectingFleet(t *testing.T) {
	set := defaultSettings()
	set.deployment.ProxyEjectAfter = 3
	h := newHarness(set, 3)
	rejecting := uniformReports(3, hostReport{attempts: 50, failures: 45, latencyMs: 900})
	h.run(3000, rejecting)
	h.restartHost(2, 0)
	h.round()
	h.run(3000, rejecting)
	h.checkTrace(t)
}

// Most hosts restart at once on a slow channel: the slow-start cuts of all of them are published in the next round.
func TestManyHostsRestart(t *testing.T) {
	set := defaultSettings()
	set.deployment.Proxies = 4
	set.channel.EntriesPerSecond = 60
	set.channel.MaxBacklog = 200
	set.limits.DrainGraceMs = 3000
	h := newHarness(set, 14)
	h.run(12000, uniformReports(14, healthyReport))
	h.tracef("hosts 4 to 13 restart")
	for host := 4; host < 14; host++ {
		h.restartHost(host, host%2)
	}
	h.run(200, nil)
	h.checkTrace(t)
}

// A controller that has just started discovers a host that is warming up before it has reports: the host gets no
// traffic until reports show the effect of the first weights.
func TestSlowStartBeforeReports(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	h.restartHost(2, 0)
	h.run(1400, nil)
	h.run(6000, uniformReports(3, healthyReport))
	h.checkTrace(t)
}

// All hosts restart at once: none gets traffic until together they can take that of the whole fleet.
func TestAllHostsWarmingUp(t *testing.T) {
	h := newHarness(defaultSettings(), 2)
	reports := uniformReports(2, healthyReport)
	h.run(5000, reports)
	h.restartHost(0, 0)
	h.restartHost(1, 1)
	h.run(5000, reports)
	h.checkTrace(t)
}

// A fleet is replaced host by host: hosts that are gone must not reduce the weight of a host that is warming up.
func TestFleetReplaced(t *testing.T) {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	h := newHarness(set, 4)
	busy := hostReport{attempts: 20, latencyMs: 100}
	reports := uniformReports(4, busy)
	h.run(12000, reports)
	for host := range 4 {
		replacement := host + 4
		delete(reports, host)
		h.ObserveDelta()
		h.ObserveEndpoint(host, host%2, Draining, 1, 0)
		h.ObserveEndpoint(replacement, host%2, Ready, 1, h.clockMs)
		h.run(2000, reports)
		h.ObserveDelta()
		h.ObserveEndpoint(host, host%2, Removed, 1, 0)
		reports[replacement] = busy
		h.run(12000, reports)
	}
	h.checkTrace(t)
}

// A zone loses all its hosts and they return one by one, in a deployment whose classes must stay in their zone. The
// warm hosts of the other zone are not in the zone's table: its first host must not get the traffic of the whole zone.
func TestZoneLocalHostsWarmingUp(t *testing.T) {
	set := defaultSettings()
	for class := range set.classes {
		set.classes[class].ZoneLocal = true
	}
	h := newHarness(set, 6)
	reports := uniformReports(6, healthyReport)
	h.run(5000, reports)
	h.ObserveDelta()
	for _, host := range []int{0, 2, 4} {
		h.ObserveEndpoint(host, 0, Removed, 1, 0)
		delete(reports, host)
	}
	h.run(3000, reports)
	for _, host := range []int{0, 2, 4} {
		h.restartHost(host, 0)
		h.run(400, reports)
	}
	h.run(6000, reports)
	h.checkTrace(t)
}

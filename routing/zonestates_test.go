package routing

import (
	"fmt"
	"testing"
)

// Figures of a deployment of two zones whose channel needs most of the drain grace for one message to each proxy.
const (
	busyZone         = 0 // whose hosts change
	steadyZone       = 1
	zoneStateProxies = 240
	zoneStateHosts   = 20 // of each zone
)

// zoneStateSettings returns the settings of a deployment with a class that must stay in its zone, or in which all
// classes must.
func zoneStateSettings(maxMessages int, allLocal bool) settings {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	set.deployment.Proxies = zoneStateProxies
	set.deployment.AdmissionControl = false
	set.classes[0].ZoneLocal = true
	set.classes[1].ZoneLocal = allLocal
	set.limits.DrainGraceMs = 2000
	set.channel = ControlChannel{
		EntriesPerSecond:   2000,
		MessageOverhead:    4,
		MaxBacklog:         20000,
		PropagationDelayMs: 200,
		Cost:               0.04,
		MaxMessages:        maxMessages,
		MessageWindowMs:    10000,
	}
	return set
}

// zoneHosts returns the hosts of a zone of a deployment with 2*zoneStateHosts hosts.
func zoneHosts(zone int) []int {
	var hosts []int
	for host := zone; host < 2*zoneStateHosts; host += 2 {
		hosts = append(hosts, host)
	}
	return hosts
}

// holdTables has all proxies of the busy zone route by a table of the zone's hosts that another controller sent them.
func (c *slowChannel) holdTables() {
	for proxy := busyZone; proxy < len(c.proxies); proxy += 2 {
		hosts := map[int]bool{}
		for _, host := range zoneHosts(busyZone) {
			hosts[host] = true
		}
		c.routes[tableHolder{proxy, false}] = hosts
	}
}

// zoneChange changes the hosts of the busy zone, and returns those that are draining or removed then.
type zoneChange func(c *slowChannel, nowMs float64) []int

// listHosts lists hosts of the busy zone in a state.
func (c *slowChannel) listHosts(hosts []int, state HostState, startedAtMs float64) {
	c.ObserveDelta()
	for _, host := range hosts {
		c.ObserveEndpoint(host, busyZone, state, 1, startedAtMs)
	}
}

// ejectHosts ejects hosts at whose addresses nothing listens.
func (c *slowChannel) ejectHosts(hosts []int) {
	for _, host := range hosts {
		c.hosts[host].health.unreachable = true
		c.hosts[host].health.consecutiveFailures = unreachableFailures
		c.hosts[host].outlier.ejected = true
	}
}

// zoneChanges leave the busy zone without a warm host that is not ejected.
var zoneChanges = map[string]zoneChange{
	"removed": func(c *slowChannel, _ float64) []int {
		hosts := zoneHosts(busyZone)
		c.listHosts(hosts, Removed, 0)
		return hosts
	},
	"draining": func(c *slowChannel, _ float64) []int {
		hosts := zoneHosts(busyZone)
		c.listHosts(hosts, Draining, 0)
		return hosts
	},
	"removed and warming up": func(c *slowChannel, nowMs float64) []int {
		hosts := zoneHosts(busyZone)
		c.listHosts(hosts[:10], Removed, 0)
		c.listHosts(hosts[10:], Ready, nowMs)
		return hosts[:10]
	},
	"draining and ejected": func(c *slowChannel, _ float64) []int {
		hosts := zoneHosts(busyZone)
		c.listHosts(hosts[:10], Draining, 0)
		c.ejectHosts(hosts[10:])
		return hosts[:10]
	},
	"removed, warming up and ejected": func(c *slowChannel, nowMs float64) []int {
		hosts := zoneHosts(busyZone)
		c.listHosts(hosts[:10], Removed, 0)
		c.listHosts(hosts[10:], Ready, nowMs)
		c.ejectHosts(hosts[10:])
		return hosts[:10]
	},
}

// Guards against proxies that are sent nothing after they have connected, since their zone has no warm host for a
// subset: they go on routing by old tables, to hosts that are draining or removed.
func TestProxiesConnectInZoneWithoutWarmHost(t *testing.T) {
	for name, change := range zoneChanges {
		for _, maxMessages := range []int{0, 20} {
			for _, allLocal := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d messages, all local %v", name, maxMessages, allLocal), func(t *testing.T) {
					const connectedAtMs = 1000
					c := newSlowChannel(zoneStateSettings(maxMessages, allLocal), 1, 2*zoneStateHosts)
					left := change(c, connectedAtMs)
					c.holdTables()
					nowMs := c.run(connectedAtMs, 20000)
					c.checkRemoved(t, left, connectedAtMs)
					c.checkLimits(t)
					c.checkZones(t)
					c.listHosts(zoneHosts(busyZone)[:1], Ready, 0)
					c.run(nowMs, 8000)
					c.checkLimits(t)
				})
			}
		}
	}
}

// Guards against removals that wait for the channel since a zone without a warm host has none for subsets.
func TestZoneLeavesWithoutWarmHost(t *testing.T) {
	for name, change := range zoneChanges {
		for _, maxMessages := range []int{0, 20} {
			t.Run(fmt.Sprintf("%s, %d messages", name, maxMessages), func(t *testing.T) {
				c := newSlowChannel(zoneStateSettings(maxMessages, false), 1, 2*zoneStateHosts)
				nowMs := c.run(1000, 30000)
				left := change(c, nowMs)
				drainedAtMs := nowMs
				c.run(nowMs, 20000)
				c.checkRemoved(t, left, drainedAtMs)
				c.checkLimits(t)
				c.checkZones(t)
			})
		}
	}
}

// Guards against messages that a zone without a warm host sends in each round, for every small change of a host that is
// warming up: they use up the message window and the channel, so that removals in the other zone are late.
func TestDrainGraceBesideZoneWithoutWarmHost(t *testing.T) {
	for _, test := range []struct {
		name             string
		proxies          int
		entriesPerSecond float64
		maxMessages      int
	}{
		{"small deployment with a message limit", 12, 7100, 20},
		{"small deployment without one", 12, 2000, 0},
		{"large deployment with a message limit", 240, 7100, 20},
		{"large deployment without one", 240, 2000, 0},
	} {
		for _, ejected := range []int{1, zoneStateHosts / 2, zoneStateHosts} {
			t.Run(fmt.Sprintf("%s, %d hosts ejected", test.name, ejected), func(t *testing.T) {
				set := zoneStateSettings(test.maxMessages, false)
				set.deployment.Proxies = test.proxies
				set.limits.DrainGraceMs = 3000
				set.limits.SlowStartMs = 18000
				set.channel.EntriesPerSecond = test.entriesPerSecond
				set.channel.MaxBacklog = 8 * test.entriesPerSecond
				c := newSlowChannel(set, 1, 2*zoneStateHosts)
				nowMs := c.run(1000, 30000)
				c.listHosts(zoneHosts(busyZone), Removed, 0)
				nowMs = c.run(nowMs, 12000)
				c.listHosts(zoneHosts(busyZone), Ready, nowMs)
				c.ejectHosts(zoneHosts(busyZone)[:ejected])
				nowMs = c.run(nowMs, 9000)
				drained := zoneHosts(steadyZone)[:10]
				drainedAtMs := map[int]float64{}
				for i, host := range drained {
					drainedAtMs[host] = nowMs
					c.ObserveDelta()
					c.ObserveEndpoint(host, steadyZone, Draining, 1, 0)
					c.ObserveEndpoint(2*zoneStateHosts+i, steadyZone, Ready, 1, nowMs)
					nowMs = c.run(nowMs, 700)
				}
				c.run(nowMs, 15000)
				c.checkEachRemoved(t, drainedAtMs)
				c.checkLimits(t)
			})
		}
	}
}

// Guards against removals that are sent one a message once their zone has no warm host any more: they use up the
// message window before the last of them.
func TestHostsLeaveZoneWithoutWarmHostOneByOne(t *testing.T) {
	for _, state := range []HostState{Draining, Removed} {
		for _, maxMessages := range []int{0, 20} {
			t.Run(fmt.Sprintf("state %d, %d messages", state, maxMessages), func(t *testing.T) {
				const spacingMs = 150
				set := zoneStateSettings(maxMessages, false)
				set.deployment.Proxies = 24
				set.limits.DrainGraceMs = 3000
				c := newSlowChannel(set, 1, 2*zoneStateHosts)
				nowMs := c.run(1000, 30000)
				hosts := zoneHosts(busyZone)
				c.ejectHosts(hosts)
				nowMs = c.run(nowMs, 2000)
				drainedAtMs := map[int]float64{}
				for _, host := range hosts {
					drainedAtMs[host] = nowMs
					c.listHosts([]int{host}, state, 0)
					nowMs = c.run(nowMs, spacingMs)
				}
				c.run(nowMs, 12000)
				c.checkEachRemoved(t, drainedAtMs)
				c.checkLimits(t)
			})
		}
	}
}

// Guards against removals that wait because proxies of another zone have used up their message window, with removals of
// that zone or without.
func TestMessageLimitOfOtherZone(t *testing.T) {
	for _, otherZoneDrains := range []bool{false, true} {
		t.Run(fmt.Sprintf("other zone drains %v", otherZoneDrains), func(t *testing.T) {
			const maxMessages = 20
			set := zoneStateSettings(maxMessages, true)
			set.deployment.Proxies = 24
			c := newSlowChannel(set, 1, 2*zoneStateHosts)
			nowMs := c.run(1000, 30000)
			for proxy := busyZone; proxy < set.deployment.Proxies; proxy += 2 {
				for range maxMessages - reservedMessages {
					c.proxies[proxy].messageTimesMs = append(c.proxies[proxy].messageTimesMs, nowMs)
				}
			}
			if otherZoneDrains {
				c.listHosts(zoneHosts(busyZone)[:1], Draining, 0)
			}
			drained := zoneHosts(steadyZone)[:1]
			c.ObserveDelta()
			c.ObserveEndpoint(drained[0], steadyZone, Draining, 1, 0)
			c.run(nowMs, 12000)
			c.checkRemoved(t, drained, nowMs)
		})
	}
}

// Guards against proxies without a host for a class that may leave their zone: the tables of another zone with many
// hosts take longer than allowed to reach all proxies of a lost zone.
func TestFallbackTablesOfManyHosts(t *testing.T) {
	for _, connected := range []bool{false, true} {
		t.Run(fmt.Sprintf("connected before %v", connected), func(t *testing.T) {
			const hosts = 200
			set := zoneStateSettings(0, false)
			c := newSlowChannel(set, 1, hosts)
			nowMs := 1000.0
			if connected {
				nowMs = c.run(nowMs, 40000)
			} else {
				c.holdTables()
			}
			var lost []int
			for host := busyZone; host < hosts; host += 2 {
				lost = append(lost, host)
			}
			c.listHosts(lost, Removed, 0)
			lostAtMs := nowMs
			nowMs = c.run(nowMs, 20000)
			c.checkRemoved(t, zoneHosts(busyZone), lostAtMs)
			c.checkLimits(t)
			c.checkZones(t)
			c.ObserveDelta()
			drained := hostRange(steadyZone, steadyZone+1)
			c.ObserveEndpoint(steadyZone, steadyZone, Draining, 1, 0)
			drainedAtMs := nowMs
			nowMs = c.run(nowMs, 5000)
			c.checkRemoved(t, drained, drainedAtMs)
			c.listHosts(lost[:5], Ready, 0)
			c.run(nowMs, 20000)
			c.checkLimits(t)
			c.checkZones(t)
			for proxy := busyZone; proxy < len(c.proxies); proxy += 2 {
				if table := c.proxies[proxy].fallbackTable; table != noFallbackTable {
					t.Errorf("proxy %d routes by table %d after the zone's return, want its zone's table alone", proxy, table)
				}
			}
		})
	}
}

// Guards against a zone without a host since all of them refused connections for a while: each may have restarted, but
// the endpoint list says otherwise.
func TestZoneOfRefusingHostsReturns(t *testing.T) {
	for _, lastRecoversMs := range []float64{0, 10000} { // after the others
		t.Run(fmt.Sprintf("last recovers %.0f ms after the others", lastRecoversMs), func(t *testing.T) {
			set := defaultSettings()
			set.classes[0].ZoneLocal = true
			set.limits.SlowStartMs = 17000
			const hosts, lastHost = 12, 4
			h := newHarness(set, hosts)
			reports := uniformReports(hosts, healthyReport)
			refusing := func(host int) HealthCheckResult {
				if host%2 == busyZone {
					return Unreachable
				}
				return Healthy
			}
			h.runWithHealthChecks(5000, reports, allHosts(Healthy))
			h.runWithHealthChecks(15000, reports, refusing)
			h.runWithHealthChecks(lastRecoversMs, reports, onlyHost(lastHost, Unreachable))
			emptyMs, longestMs := 0.0, 0.0
			for range 100 {
				h.runWithHealthChecks(stepMs, reports, allHosts(Healthy))
				emptyMs += stepMs
				if h.hasPublishedHost(busyZone) {
					emptyMs = 0
				}
				longestMs = max(longestMs, emptyMs)
			}
			if longestMs > set.limits.EmptyTableMs {
				t.Errorf("the zone's table was empty for %.0f ms, want at most %.0f", longestMs, set.limits.EmptyTableMs)
			}
			if warm := h.countWarmHosts(busyZone); warm != hosts/2 {
				t.Errorf("%d hosts of the zone are warm, want all %d", warm, hosts/2)
			}
		})
	}
}

// hasPublishedHost reports whether the table of a zone holds a host.
func (h *harness) hasPublishedHost(zone int) bool {
	for _, index := range h.hostOrder {
		if host := &h.hosts[index]; host.endpoint.zone == zone && host.publication.weight > 0 {
			return true
		}
	}
	return false
}

// countWarmHosts counts the hosts of a zone that are not warming up.
func (h *harness) countWarmHosts(zone int) int {
	count := 0
	for _, index := range h.hostOrder {
		if host := &h.hosts[index]; host.endpoint.zone == zone && h.slowStartFactor(host) >= 1 {
			count++
		}
	}
	return count
}

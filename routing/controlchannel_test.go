package routing

import (
	"fmt"
	"slices"
	"testing"
)

// The channel runs far below its maximum throughput while many hosts are replaced at once: its queue must stay within
// MaxBacklog.
func TestBacklogOnSlowChannel(t *testing.T) {
	for _, throughputRatio := range []float64{1, 0.5, 0.25, 0.12} {
		t.Run(fmt.Sprintf("throughput ratio %.2f", throughputRatio), func(t *testing.T) {
			set := defaultSettings()
			set.deployment.HealthChecks = false
			set.deployment.Proxies = 30
			set.channel.EntriesPerSecond = 1500
			set.channel.MaxBacklog = 3000
			c := newSlowChannel(set, throughputRatio, 60)
			nowMs := c.run(1000, 20000)
			for first := 0; first < 120; first += 30 {
				c.ObserveDelta()
				for host := first; host < first+30; host++ {
					c.ObserveEndpoint(host, host%2, Draining, 1, 0)
					c.ObserveEndpoint(host+60, host%2, Ready, 1, nowMs)
				}
				nowMs = c.run(nowMs, 3000)
			}
			c.run(nowMs, 10000)
			if c.mostQueuedEntries > set.channel.MaxBacklog {
				t.Errorf("%.0f entries were queued at once, want at most %.0f", c.mostQueuedEntries, set.channel.MaxBacklog)
			}
			if c.publishing.version < 10 {
				t.Errorf("%d rounds had updates, want at least 10", c.publishing.version)
			}
		})
	}
}

// Many hosts are warming up while more and more attempts fail, so that the weights of these hosts fall step by step.
// Then 60 other hosts drain. The weight updates of the hosts that are warming up must not delay the removals beyond the
// drain grace.
func TestDrainGraceBesideWarmingHosts(t *testing.T) {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	set.deployment.Proxies = 45
	set.limits.DrainGraceMs = 2000
	set.limits.CollapseMultiple = 4
	set.channel = ControlChannel{
		EntriesPerSecond:   2600,
		MessageOverhead:    4,
		MaxBacklog:         8200,
		PropagationDelayMs: 285,
		Cost:               0.04,
	}
	c := newSlowChannel(set, 1, 200)
	nowMs := c.run(1000, 30000)
	c.ObserveDelta()
	for host := 200; host < 320; host++ {
		c.ObserveEndpoint(host, host%2, Ready, 1, nowMs)
	}
	nowMs = c.run(nowMs, 4000)
	for c.failures = 2; c.failures < 14; c.failures += 2 {
		nowMs = c.run(nowMs, 700)
	}
	c.ObserveDelta()
	for host := range 60 {
		c.ObserveEndpoint(host, host%2, Draining, 1, 0)
	}
	drainedAtMs := nowMs
	c.run(nowMs, 6000)
	c.checkRemoved(t, hostRange(0, 60), drainedAtMs)
}

// Six in ten hosts are replaced in four steps while the channel is busy with the removals of the steps before. They
// must leave the tables within the drain grace, and not one by one, each with the overhead of a message.
func TestDrainGraceOnBusyChannel(t *testing.T) {
	for _, test := range []struct {
		proxies   int
		graceMs   float64
		zoneLocal bool
	}{
		{60, 4000, false},
		{105, 4000, false},
		{240, 4000, false},  // most proxies need subsets
		{240, 4000, true},   // subsets of their zone's hosts
		{105, 10000, false}, // all proxies can keep the shared table
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			set := defaultSettings()
			set.classes[0].ZoneLocal = test.zoneLocal
			set.deployment.HealthChecks = false
			set.deployment.Proxies = test.proxies
			set.limits.DrainGraceMs = test.graceMs
			set.channel = ControlChannel{
				EntriesPerSecond:   1900,
				MessageOverhead:    6,
				MaxBacklog:         6300,
				PropagationDelayMs: 187,
				Cost:               0.02,
			}
			const hosts, steps, stepHosts, stepMs = 200, 4, 30, 2200
			c := newSlowChannel(set, 1, hosts)
			nowMs := c.run(1000, 60000)
			var drainedAtMs [steps]float64
			for step := range steps {
				drainedAtMs[step] = nowMs + stepMs/2
				nowMs = c.replaceHosts(nowMs, stepMs, hostRange(step*stepHosts, (step+1)*stepHosts), hosts)
			}
			c.run(nowMs, 20000)
			for step := range steps {
				c.checkRemoved(t, hostRange(step*stepHosts, (step+1)*stepHosts), drainedAtMs[step])
			}
			c.checkLimits(t)
			c.checkZones(t)
		})
	}
}

// Messages to a proxy that never acknowledges do not count against the channel for ever: they expire after the time
// that a full channel needs at its minimum throughput.
func TestUnacknowledgedMessagesExpire(t *testing.T) {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	h := &harness{Balancer: set.newBalancer(3), clockMs: 1000, quiet: true}
	h.round()
	entries := h.backlog.unacknowledged
	if entries <= 0 {
		t.Fatalf("%v entries are unacknowledged after the first round, want some", entries)
	}
	transitMs := 200 + 10000/(10000*0.1)*1000.0
	h.clockMs += transitMs
	h.round()
	if got := h.backlog.unacknowledged; got != entries {
		t.Errorf("after %.0f ms %v entries are unacknowledged, want %v", transitMs, got, entries)
	}
	h.clockMs++
	h.round()
	if got := h.backlog.unacknowledged; got != 0 {
		t.Errorf("after %.0f ms %v entries are unacknowledged, want 0", transitMs+1, got)
	}
}

func TestAckReleasesEarlierMessages(t *testing.T) {
	messages := []updateMessage{{version: 4, entries: 10}, {version: 5, entries: 20}, {version: 7, entries: 40}}
	for _, test := range []struct {
		name    string
		version int
		want    float64 // unacknowledged entries
	}{
		{"oldest", 4, 60},
		{"one in the middle", 5, 40},
		{"newest", 7, 0},
		{"unknown", 6, 70},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(defaultSettings(), 1)
			h.proxies[0].unacknowledged = slices.Clone(messages)
			h.backlog = controlBacklog{unacknowledged: 70}
			h.Ack(0, test.version)
			if got := h.backlog.unacknowledged; got != test.want {
				t.Errorf("%v entries are unacknowledged, want %v", got, test.want)
			}
			if got, want := h.backlog.arriving, 70-test.want; got != want {
				t.Errorf("%v entries are arriving, want %v", got, want)
			}
		})
	}
}

// Many hosts of one zone drain where a class must stay in its zone: the proxies of the other zone, whose table has no
// removal, keep it, and some of the zone get subsets.
func TestLargeRemovalInOneZone(t *testing.T) {
	set := defaultSettings()
	set.classes[0].ZoneLocal = true
	set.deployment.HealthChecks = false
	set.deployment.Proxies = 200
	set.channel.EntriesPerSecond = 1900
	set.channel.MaxBacklog = 6300
	c := newSlowChannel(set, 1, 200)
	nowMs := c.run(1000, 60000)
	var draining []int
	c.ObserveDelta()
	for host := 0; host < 120; host += 2 { // of zone 0
		c.ObserveEndpoint(host, 0, Draining, 1, 0)
		draining = append(draining, host)
	}
	drainedAtMs := nowMs
	nowMs = c.run(nowMs, channelStepMs)
	subsets := [2]int{} // by zone
	for i := range c.proxies {
		subsets[c.proxies[i].zone] += int(indicator(c.proxies[i].ownsTable))
	}
	if subsets[0] == 0 || subsets[1] > 0 {
		t.Errorf("%d proxies of zone 0 and %d of zone 1 have subsets, want some and none", subsets[0], subsets[1])
	}
	c.run(nowMs, 8000)
	c.checkRemoved(t, draining, drainedAtMs)
}

// Hosts are replaced one after the other for most of the message window. The messages that the window allows must last
// for all of them: a removal that waits for the oldest message to leave the window outlasts the drain grace.
func TestDrainGraceWithMessageLimit(t *testing.T) {
	const (
		hosts     = 42
		replaced  = 25
		spacingMs = 300
		startMs   = 1500 // of a replacement
	)
	set := defaultSettings()
	set.deployment.HealthChecks = false
	set.deployment.Proxies = 24
	set.limits.DrainGraceMs = 3000
	set.channel = ControlChannel{
		EntriesPerSecond:   7100,
		MessageOverhead:    6,
		MaxBacklog:         7100,
		PropagationDelayMs: 270,
		MaxMessages:        20,
		MessageWindowMs:    10000,
		Cost:               0.02,
	}
	c := newSlowChannel(set, 1, hosts)
	nowMs := c.run(1000, 30000)
	var drainedAtMs [replaced]float64
	for host := range replaced + startMs/spacingMs {
		c.ObserveDelta()
		if host < replaced {
			c.ObserveEndpoint(host, host%2, Draining, 1, 0)
			drainedAtMs[host] = nowMs
		}
		if started := host - startMs/spacingMs; started >= 0 {
			c.ObserveEndpoint(hosts+started, started%2, Ready, 1, nowMs-startMs)
		}
		nowMs = c.run(nowMs, spacingMs)
	}
	c.run(nowMs, 10000)
	for host := range replaced {
		c.checkRemoved(t, []int{host}, drainedAtMs[host])
	}
}

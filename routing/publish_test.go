package routing

import "testing"

// On a channel with a small backlog limit, tables are assigned to a few proxies at a time, and removals are published
// before a larger weight, which waits.
func TestRemovalsBeforeWeights(t *testing.T) {
	set := defaultSettings()
	set.deployment.Proxies = 8
	set.channel.EntriesPerSecond = 400
	set.channel.MaxBacklog = 150
	set.limits.DrainGraceMs = 60000
	h := newHarness(set, 10)
	h.run(6000, uniformReports(10, healthyReport))
	h.ObserveDelta()
	for host := range 8 {
		h.ObserveEndpoint(host, host%2, Draining, 1, 0)
	}
	h.ObserveEndpoint(8, 0, Ready, 3, 0)
	for range 6 {
		h.clockMs += stepMs
		h.round()
	}
	h.checkTrace(t)
}

// One proxy was sent as many messages as the window allows: an update for all proxies waits until the window has moved
// on.
func TestMessageLimit(t *testing.T) {
	set := defaultSettings()
	set.channel.MaxMessages = 20
	h := newHarness(set, 3)
	for range 18 {
		h.proxies[1].messageTimesMs = append(h.proxies[1].messageTimesMs, h.clockMs)
	}
	h.ObserveDelta()
	h.ObserveEndpoint(2, 0, Draining, 1, 0)
	h.run(400, nil)
	h.tracef("the first messages leave the message window")
	h.run(11000, nil)
	h.checkTrace(t)
}

package controller

import (
	"fmt"
	"testing"

	"barleysail/guard"
	"barleysail/routing"
)

// BenchmarkRounds measures rounds of the balancer while every proxy reports request stats of 20 hosts a second, with
// and without the table validator, and with and without draining hosts.
func BenchmarkRounds(b *testing.B) {
	validations := []struct {
		name   string
		enable func(*Controller)
	}{
		{"off", func(*Controller) {}},
		{"reports", func(c *Controller) { enableValidation(c, false) }},
		{"repairs", func(c *Controller) { enableValidation(c, true) }},
	}
	for _, changeEvery := range []int{0, 5, 1} { // rounds until a host drains and another one is back; 0: never
		for _, validation := range validations {
			b.Run(fmt.Sprintf("changing=%d/guard=%s", changeEvery, validation.name), func(b *testing.B) {
				benchmarkRounds(b, changeEvery, validation.enable)
			})
		}
	}
}

func enableValidation(c *Controller, repair bool) {
	limits := guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}
	c.EnableValidation(limits, RepairSettings{Enabled: repair}, guard.EndpointLossLimits{})
}

func benchmarkRounds(b *testing.B, changeEvery int, configure func(*Controller)) {
	h, list := newLargestHarness(b, configure)
	b.ResetTimer()
	for n := range b.N {
		b.StopTimer()
		h.reportFifth(list, n)
		if changeEvery > 0 && n%changeEvery == 0 {
			list[n%largestHosts].State = routing.Draining
			list[(n+largestHosts-1)%largestHosts].State = routing.Ready
			h.mustSetEndpoints(list)
		}
		b.StartTimer()
		h.advance(200)
		h.trace.Reset()
		clear(h.responses)
	}
}

// reportFifth has a fifth of the proxies poll and report, a different fifth in each of five rounds.
func (h *harness) reportFifth(list []Endpoint, round int) {
	h.t.Helper()
	const fifth = largestProxies / 5
	load := routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}
	for i := range fifth {
		proxy := fmt.Sprint("p", (round%5)*fifth+i)
		h.pollAgain(PollRequest{Proxy: proxy, WaitMs: 60000, AcceptDelta: true})
		hosts := map[string]HostStats{}
		for k := range 20 {
			host := list[(i*20+round*7+k)%len(list)].Host
			hosts[host] = HostStats{Attempts: 4, MeanLatencyMs: 100 + float64(k), WindowMs: 1000, Load: load}
		}
		h.observeStats(proxy, ProxyStats{
			Sequence: int64(round + 1),
			Hosts:    hosts,
			Demand:   map[string]ClassDemand{"sheet": {Arrivals: 3, WindowMs: 1000}},
		})
	}
}

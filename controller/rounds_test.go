package controller

import (
	"fmt"
	"testing"

	"barleysail/guard"
	"barleysail/routing"
)

// BenchmarkRounds measures rounds of decisions while sums of 20 hosts a second come from every proxy, without the table
// guard and with it: while no table changes, and while hosts drain.
func BenchmarkRounds(b *testing.B) {
	for _, changing := range []int{0, 5, 1} { // a host drains and another is back: never, each second, in each round
		for i, name := range []string{"off", "tells", "refuses"} {
			b.Run(fmt.Sprintf("changing=%d/guard=%s", changing, name), func(b *testing.B) {
				d, list := newLargestHarness(func(s *Controller) {
					if i > 0 {
						s.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}, RepairSettings{Enabled: i > 1}, guard.EndpointLossLimits{})
					}
				})
				b.ResetTimer()
				for n := range b.N {
					b.StopTimer()
					for i := range 607 / 5 {
						p := fmt.Sprint("p", (n%5)*121+i)
						d.poll(PollRequest{Proxy: p, WaitMs: 60000, Tags: []string{d.newestTag(p)}, AcceptDelta: true})
						hosts := map[string]HostStats{}
						for k := range 20 {
							hosts[list[(i*20+n*7+k)%len(list)].Host] = HostStats{Attempts: 4, MeanLatencyMs: 100 + float64(k), WindowMs: 1000, Load: routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}}
						}
						if _, err := d.ObserveProxyStats(d.nowMs, p, ProxyStats{Sequence: int64(n + 1), Hosts: hosts, Demand: map[string]ClassDemand{"sheet": {Arrivals: 3, WindowMs: 1000}}}); err != nil {
							b.Fatal(err)
						}
					}
					if changing > 0 && n%changing == 0 {
						list[n%506].State, list[(n+505)%506].State = routing.Draining, routing.Ready
						d.mustSetEndpoints(list)
					}
					b.StartTimer()
					d.advance(200)
					d.trace.Reset()
					clear(d.responses)
				}
			})
		}
	}
}

package controller

import (
	"testing"

	"barleysail/routing"
)

// Sums are counted once for each number; a sender that starts over begins anew.
func TestStatsCountedOnce(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	d.advance(100)
	for _, u := range []ProxyStats{{Sender: "x", Sequence: 1}, {Sender: "x", Sequence: 1}, {Sender: "x", Sequence: 3}, {Sender: "x", Sequence: 2}, {Sender: "y", Sequence: 1}} {
		u.Hosts = map[string]HostStats{"10.0.0.0:80": {Attempts: 10, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad}}
		counted, err := d.ObserveProxyStats(d.nowMs, "p", u)
		d.printf("sums %s %d: counted %v, %v", u.Sender, u.Sequence, counted, err)
	}
	d.checkTrace()
}

// BenchmarkStats measures the intake of one proxy's sums of 20 hosts.
func BenchmarkStats(b *testing.B) {
	d, list := newLargestHarness(func(*Controller) {})
	hosts := map[string]HostStats{}
	for k := range 20 {
		hosts[list[k].Host] = HostStats{Attempts: 4, MeanLatencyMs: 100, WindowMs: 1000, Load: routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}}
	}
	b.ResetTimer()
	b.ReportAllocs()
	for n := range b.N {
		if _, err := d.ObserveProxyStats(d.nowMs, "p1", ProxyStats{Sequence: int64(n + 1), Hosts: hosts}); err != nil {
			b.Fatal(err)
		}
	}
}

package controller

import (
	"testing"

	"barleysail/intake"
	"barleysail/routing"
)

// Request stats are counted once for each sequence number. A sender that restarts its numbers uses another name.
func TestStatsCountedOnce(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(1))
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	h.advance(100)
	for _, stats := range []ProxyStats{
		{Sender: "x", Sequence: 1},
		{Sender: "x", Sequence: 1},
		{Sender: "x", Sequence: 3},
		{Sender: "x", Sequence: 2},
		{Sender: "y", Sequence: 1},
	} {
		stats.Hosts = map[string]HostStats{
			hostName(0): {Attempts: 10, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad},
		}
		counted, err := h.ObserveProxyStats(h.nowMs, "p", stats)
		h.printf("request stats %d of sender %s: counted %v, error %v", stats.Sequence, stats.Sender, counted, err)
	}
	h.checkTrace()
}

// A latency histogram must have valid buckets, and no more attempts than were successful.
func TestCheckLatencies(t *testing.T) {
	stats := func(buckets ...intake.LatencyBucket) HostStats {
		return HostStats{Attempts: 5, Failed: 2, Latencies: buckets}
	}
	valid := intake.LatencyBucket{Ms: 1, Count: 1}
	tests := []struct {
		name  string
		stats HostStats
		want  string // the error; empty: valid
	}{
		{"none", stats(), ""},
		{"as many as were successful", stats(valid, intake.LatencyBucket{Ms: 2, Count: 2}), ""},
		{"too many", stats(intake.LatencyBucket{Ms: 1, Count: 4}), `hosts["h"].times: 4 tries, 3 were good`},
		{"no count", stats(intake.LatencyBucket{Ms: 1}), `hosts["h"].times[0]: 0 tries of 1 ms`},
		{"a negative time", stats(valid, intake.LatencyBucket{Ms: -1, Count: 1}),
			`hosts["h"].times[1]: 1 tries of -1 ms`},
		{"too many buckets", stats(make([]intake.LatencyBucket, 513)...), `hosts["h"].times: 513 bars, 512 at most`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if err := checkLatencies("h", test.stats); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("the error is %q, want %q", got, test.want)
			}
		})
	}
}

// BenchmarkStats measures the ingest of one proxy's request stats of 20 hosts.
func BenchmarkStats(b *testing.B) {
	h, list := newLargestHarness(b, func(*Controller) {})
	load := routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}
	hosts := map[string]HostStats{}
	for i := range 20 {
		hosts[list[i].Host] = HostStats{Attempts: 4, MeanLatencyMs: 100, WindowMs: 1000, Load: load}
	}
	b.ResetTimer()
	b.ReportAllocs()
	for n := range b.N {
		if _, err := h.ObserveProxyStats(h.nowMs, "p1", ProxyStats{Sequence: int64(n + 1), Hosts: hosts}); err != nil {
			b.Fatal(err)
		}
	}
}

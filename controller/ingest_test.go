package controller

import (
	"errors"
	"fmt"
	"testing"

	"barleysail/intake"
	"barleysail/routing"
)

// A host's own reports reach the balancer together with the next request stats of a proxy. Repeated reports and those
// of unknown hosts do not, and an implausible load is not trusted.
func TestLoadReports(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	list := h.readyEndpoints(2)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(500)
	host := list[0].Host
	load := routing.HostLoad{Utilization: 0.4, RequestRate: 30, QueueLength: 1}
	for _, test := range []struct {
		host   string
		report LoadReport
	}{
		{host, LoadReport{"a", 1, 0, load}},
		{host, LoadReport{"a", 1, 0, load}},
		{"10.9.9.9:80", LoadReport{"a", 1, 0, load}},
		{host, LoadReport{"a", 0, 0, load}},
		{host, LoadReport{"a", 2, -1, load}},
	} {
		counted, err := h.ObserveLoadReport(h.nowMs, test.host, test.report)
		h.printf("load report %d of %s: counted %v, error %v", test.report.Sequence, test.host, counted, err)
	}
	describe := func(what string) {
		info := h.mustHostInfo(host)
		reports := info.Reports
		h.printf("%s: utilization %.2f in the balancer, trust %.2f, age %.0f, silent %v, distrusted %q", what,
			info.Explanation.Load.Utilization, reports.Trust, reports.AgeMs, reports.Silent, reports.DistrustReason)
	}
	h.hideNotModified = true
	for i := range 5 {
		h.reportLoad(host, 0.4+float64(i)/100) // 40 requests a second, as many as the proxy sends
		h.reportAttempts(host)
	}
	describe("plausible reports")
	for i := range 5 {
		h.reportLoad(host, 0.02+float64(i)/1000)
		h.reportAttempts(host)
	}
	describe("2 requests per second reported, 40 attempts per second")
	for range 8 {
		h.reportAttempts(host)
	}
	describe("reports have stopped")
	h.checkTrace()
}

// reportLoad has a host report a utilization and the corresponding request rate, by a clock that is an hour fast.
func (h *harness) reportLoad(host string, utilization float64) {
	h.t.Helper()
	report := LoadReport{
		Sender:   "b",
		Sequence: h.lastSequence + 1,
		SentAtMs: h.nowMs + 3600e3,
		Load:     routing.HostLoad{Utilization: utilization, RequestRate: utilization * 100, QueueLength: 0},
	}
	if counted, err := h.ObserveLoadReport(h.nowMs, host, report); !counted || err != nil {
		h.t.Fatalf("load report of %s: counted %v, error %v, want it counted without an error", host, counted, err)
	}
}

// reportAttempts lets a second pass for which proxy p reports 40 attempts at a host, by a clock that is two hours fast.
func (h *harness) reportAttempts(host string) {
	h.t.Helper()
	h.lastSequence++
	stats := HostStats{Attempts: 40, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad}
	h.observeStats("p", ProxyStats{
		Sequence: h.lastSequence,
		SentAtMs: h.nowMs + 7200e3,
		Hosts:    map[string]HostStats{host: stats},
	})
	h.advance(1000)
	h.pollAgain(PollRequest{Proxy: "p", WaitMs: 900})
}

// A flood of reports while the controller starts delays neither the first tables of a proxy nor a drain. It takes no
// more than its share of the queue, so that the reports of other proxies still reach the balancer, and what is dropped
// is counted.
func TestReportFloodAtStart(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	limits := intake.DefaultLimits()
	limits.MaxQueued = 50
	limits.MaxPerRound = 10
	h.SetIngestLimits(limits)
	h.hideNotModified = true
	list := h.readyEndpoints(40)
	h.flood(list, 1, ErrNotConnected, ErrUnknownHost) // neither a proxy nor a host is known
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "flood", WaitMs: 60000})
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	beganMs := h.nowMs
	for sequence := 2; len(h.sessions.byProxy["p"].versions) == 0; sequence++ {
		h.flood(list, sequence, nil, nil)
		h.advance(1)
	}
	if h.nowMs-beganMs > 400 {
		t.Errorf("the first tables took %.0f ms, want at most 400 ms", h.nowMs-beganMs)
	}
	h.pollAgain(PollRequest{Proxy: "p", WaitMs: 60000})
	list[5].State = routing.Draining
	h.mustSetEndpoints(list)
	beganMs = h.nowMs
	draining := h.hostIndex.IndexOf[list[5].Host]
	drainIsPublished := func() bool {
		return h.tables.table(0).weights[draining] <= 0 && h.sessions.byProxy["p"].pendingPoll == nil
	}
	for sequence := 1000; !drainIsPublished(); sequence++ {
		h.flood(list, sequence, nil, nil)
		h.advance(1)
		if h.nowMs > beganMs+1000 {
			t.Fatalf("the drain is not published after %.0f ms, want it within 1000 ms", h.nowMs-beganMs)
		}
	}
	report := h.Status(h.nowMs).Ingest
	if report.Queued > 50 || report.Dropped[intake.QueueFull] == 0 || report.Processed == 0 {
		t.Errorf("the report is %+v, want at most 50 queued, some dropped as %s and some processed", report, intake.QueueFull)
	}
	if explanation, _ := h.balancer.Explain(0); explanation.Successes == 0 {
		t.Error("the first host has no successes, want those that the other proxy reported")
	}
}

// flood reports request stats of one proxy for all hosts, of another proxy for the first host, and the load of each
// host. All reports have to return the wanted errors.
func (h *harness) flood(list []Endpoint, sequence int, wantStatsErr, wantLoadErr error) {
	h.t.Helper()
	hosts := map[string]HostStats{}
	for _, endpoint := range list {
		hosts[endpoint.Host] = HostStats{
			Attempts: sequence%7 + 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad,
		}
	}
	first := HostStats{Attempts: 3, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}
	h.floodStats("flood", ProxyStats{Sequence: int64(sequence), Hosts: hosts}, wantStatsErr)
	h.floodStats("p", ProxyStats{
		Sequence: int64(sequence), Hosts: map[string]HostStats{list[0].Host: first},
	}, wantStatsErr)
	load := routing.HostLoad{Utilization: 0.1, RequestRate: -1, QueueLength: -1}
	for _, endpoint := range list {
		report := LoadReport{Sender: "x", Sequence: int64(sequence), Load: load}
		if _, err := h.ObserveLoadReport(h.nowMs, endpoint.Host, report); !errors.Is(err, wantLoadErr) {
			h.t.Fatalf("load report of %s: the error is %v, want %v", endpoint.Host, err, wantLoadErr)
		}
	}
}

func (h *harness) floodStats(proxy string, stats ProxyStats, wantErr error) {
	h.t.Helper()
	if _, err := h.ObserveProxyStats(h.nowMs, proxy, stats); !errors.Is(err, wantErr) {
		h.t.Fatalf("request stats of %s: the error is %v, want %v", proxy, err, wantErr)
	}
}

// A controller whose rounds are late sheds reports, then lengthens the time between rounds, logs both, and recovers. A
// drain is still published by the next round.
func TestLateRounds(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.hideNotModified = true
	list := h.readyEndpoints(4)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(1000)
	for range 12 { // each round 150 ms late
		h.nowMs = max(h.NextMs(), h.nowMs) + 150
		h.Advance(h.nowMs, h)
	}
	h.printf("shedding level %d, ingest ratio %.3f, rounds every %.0f ms",
		h.Status(h.nowMs).Ingest.SheddingLevel, h.IngestRatio(), h.scheduler.plannedMs-h.scheduler.lastMs)
	h.pollAgain(PollRequest{Proxy: "p", WaitMs: 60000})
	list[0].State = routing.Draining
	h.mustSetEndpoints(list)
	beganMs := h.nowMs
	h.advance(600)
	duration := fmt.Sprintf("%.0f ms at most", h.nowMs-beganMs)
	h.printf("drained: %v, after %s", h.tables.table(0).weights[0] == 0, duration)
	h.advance(30000)
	h.printf("shedding level %d, ingest ratio %.3f", h.Status(h.nowMs).Ingest.SheddingLevel, h.IngestRatio())
	h.checkTrace()
}

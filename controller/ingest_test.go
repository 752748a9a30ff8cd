package controller

import (
	"fmt"
	"testing"

	"barleysail/intake"
	"barleysail/routing"
)

// A host's own reports reach the module beside the next sums; repeats and reports on strangers do not, and what it tells
// falsely is not believed.
func TestLoadReports(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	list := d.readyEndpoints(2)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(500)
	host := list[0].Host
	load := routing.HostLoad{Utilization: 0.4, RequestRate: 30, QueueLength: 1}
	for _, x := range []struct {
		host string
		r    LoadReport
	}{{host, LoadReport{"a", 1, 0, load}}, {host, LoadReport{"a", 1, 0, load}}, {"10.9.9.9:80", LoadReport{"a", 1, 0, load}},
		{host, LoadReport{"a", 0, 0, load}}, {host, LoadReport{"a", 2, -1, load}}} {
		counted, err := d.ObserveLoadReport(d.nowMs, x.host, x.r)
		d.printf("%s number %d: counted %v, %v", x.host, x.r.Sequence, counted, err)
	}
	number := int64(0)
	second := func(util float64, report bool) {
		number++
		if report {
			d.ObserveLoadReport(d.nowMs, host, LoadReport{Sender: "b", Sequence: number, SentAtMs: d.nowMs + 3600e3, Load: routing.HostLoad{Utilization: util, RequestRate: util * 100, QueueLength: 0}})
		}
		d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sequence: number, SentAtMs: d.nowMs + 7200e3, Hosts: map[string]HostStats{host: {Attempts: 40, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad}}})
		d.advance(1000)
		d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.newestTag("p")}})
	}
	told := func(what string) {
		i, _ := d.HostInfo(host)
		d.printf("%s: the module has %.2f, trust %.2f, age %.0f, silent %v, doubted %q", what, i.Why.Load.Utilization, i.Reports.Trust, i.Reports.AgeMs, i.Reports.Silent, i.Reports.DistrustReason)
	}
	d.hideNotModified = true
	for i := range 5 {
		second(0.4+float64(i)/100, true) // 40 a second, as our proxies had
	}
	told("as it is")
	for i := range 5 {
		second(0.02+float64(i)/1000, true)
	}
	told("2 a second told, 40 fulfilled")
	for range 8 {
		second(0, false)
	}
	told("told no more")
	d.checkTrace()
}

// A flood of reports while the steward starts holds up neither joins nor a drain, takes no more room than its share, and
// is counted.
func TestReportFloodAtStart(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	l := intake.DefaultLimits()
	l.MaxQueued, l.MaxPerRound = 50, 10
	d.SetIngestLimits(l)
	d.hideNotModified = true
	list := d.readyEndpoints(40)
	flood := func(n int) {
		hosts := map[string]HostStats{}
		for _, e := range list {
			hosts[e.Host] = HostStats{Attempts: n%7 + 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}
		}
		d.ObserveProxyStats(d.nowMs, "flood", ProxyStats{Sequence: int64(n), Hosts: hosts})
		d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sequence: int64(n), Hosts: map[string]HostStats{list[0].Host: {Attempts: 3, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}}})
		for _, e := range list {
			d.ObserveLoadReport(d.nowMs, e.Host, LoadReport{Sender: "x", Sequence: int64(n), Load: routing.HostLoad{Utilization: 0.1, RequestRate: -1, QueueLength: -1}})
		}
	}
	flood(1) // nobody has joined, nothing is listed
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "flood", WaitMs: 60000})
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	before := d.nowMs
	for n := 2; len(d.sessions.byProxy["p"].versions) == 0; n++ {
		flood(n)
		d.advance(1)
	}
	if d.nowMs-before > 400 {
		t.Errorf("the first tables took %.0f ms", d.nowMs-before)
	}
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.newestTag("p")}})
	list[5].State = routing.Draining
	d.mustSetEndpoints(list)
	before = d.nowMs
	h := d.Controller.hostIndex.IndexOf[list[5].Host]
	for n := 1000; d.tables.table(0).weights[h] > 0 || d.sessions.byProxy["p"].pendingPoll != nil; n++ {
		flood(n)
		d.advance(1)
		if d.nowMs > before+1000 {
			t.Fatal("the drain is not through after a second")
		}
	}
	st := d.Status(d.nowMs)
	if st.Intake.Waiting > 50 || st.Intake.Dropped[intake.QueueFull] == 0 || st.Intake.Taken == 0 {
		t.Errorf("%+v", st.Intake)
	}
	if x, _ := d.balancer.Explain(0); x.Successes == 0 {
		t.Error("the other proxy's sums did not come through")
	}
}

// A steward whose rounds come late sheds reports, then lengthens its rounds, says so, and comes back; a drain is carried
// out in the next round all the same.
func TestLateRounds(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.hideNotModified = true
	list := d.readyEndpoints(4)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(1000)
	for range 12 { // each round 150 ms late
		d.nowMs = max(d.Next(), d.nowMs) + 150
		d.Advance(d.nowMs, d)
	}
	d.printf("level %d, %.3f of the intake, rounds each %.0f ms", d.Status(d.nowMs).Intake.Level, d.IngestRatio(), d.scheduler.plannedMs-d.scheduler.lastMs)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.newestTag("p")}})
	list[0].State = routing.Draining
	d.mustSetEndpoints(list)
	before := d.nowMs
	d.advance(600)
	d.printf("drained: %v, after %s", d.tables.table(0).weights[0] == 0, fmt.Sprintf("%.0f ms at most", d.nowMs-before))
	d.advance(30000)
	d.printf("level %d, %.3f of the intake", d.Status(d.nowMs).Intake.Level, d.IngestRatio())
	d.checkTrace()
}

package controller

import (
	"fmt"
	"testing"

	"barleysail/intake"
	"barleysail/routing"
)

// A host's own reports reach the module beside the next sums; repeats and reports on strangers do not, and what it tells
// falsely is not believed.
func TestHostLoad(t *testing.T) {
	d := open(t, settings())
	list := d.hosts(2)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(500)
	host := list[0].Host
	load := routing.HostLoad{Utilization: 0.4, RequestRate: 30, QueueLength: 1}
	for _, x := range []struct {
		host string
		r    LoadReport
	}{{host, LoadReport{"a", 1, 0, load}}, {host, LoadReport{"a", 1, 0, load}}, {"10.9.9.9:80", LoadReport{"a", 1, 0, load}},
		{host, LoadReport{"a", 0, 0, load}}, {host, LoadReport{"a", 2, -1, load}}} {
		counted, err := d.ObserveLoadReport(d.at, x.host, x.r)
		d.say("%s number %d: counted %v, %v", x.host, x.r.Sequence, counted, err)
	}
	number := int64(0)
	second := func(util float64, report bool) {
		number++
		if report {
			d.ObserveLoadReport(d.at, host, LoadReport{Sender: "b", Sequence: number, SentAtMs: d.at + 3600e3, Load: routing.HostLoad{Utilization: util, RequestRate: util * 100, QueueLength: 0}})
		}
		d.ObserveProxyStats(d.at, "p", ProxyStats{Sequence: number, SentAtMs: d.at + 7200e3, Hosts: map[string]HostStats{host: {Attempts: 40, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad}}})
		d.run(1000)
		d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.tagOf("p")}})
	}
	told := func(what string) {
		i, _ := d.HostInfo(host)
		d.say("%s: the module has %.2f, trust %.2f, age %.0f, silent %v, doubted %q", what, i.Why.Load.Utilization, i.Reports.Trust, i.Reports.AgeMs, i.Reports.Silent, i.Reports.DistrustReason)
	}
	d.quiet = true
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
	d.check()
}

// Two proxies with one name are told, both are counted, and the one that holds a poll keeps it: they do not answer each
// other's polls for ever.
func TestTwoProxiesWithOneName(t *testing.T) {
	d := open(t, settings())
	list := d.hosts(1)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(500)
	d.quiet = true
	refused, answered := 0, len(d.answers)
	for i := range 100 {
		d.polls++
		err := d.Poll(d.at, d.polls, PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000, Tags: []string{d.tagOf("p")}}, d)
		if err == ErrDuplicateProxy {
			refused++
		}
		d.run(10)
		if i%20 == 0 {
			for _, sender := range []string{"one", "two"} {
				counted, err := d.ObserveProxyStats(d.at, "p", ProxyStats{Sender: sender, Sequence: int64(i + 1), Hosts: map[string]HostStats{list[0].Host: {Attempts: 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}}})
				if !counted || err != nil {
					t.Errorf("sums of %s: %v, %v", sender, counted, err)
				}
			}
		}
	}
	if refused < 80 || len(d.answers)-answered > 15 || d.Status(d.at).Polls != 1 {
		t.Errorf("%d refused, %d answered, %d held", refused, len(d.answers)-answered, d.Status(d.at).Polls)
	}
	told := 0
	for _, e := range d.Events(0) {
		if e.Kind == "intake" {
			told++
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
	d.run(11000)
	if err := d.Poll(d.at, 1e6, PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000}, d); err != nil {
		t.Errorf("later one poll may take another's place: %v", err)
	}
}

// A flood of reports while the steward starts holds up neither joins nor a drain, takes no more room than its share, and
// is counted.
func TestFloodAtStart(t *testing.T) {
	d := open(t, settings())
	l := intake.DefaultLimits()
	l.MaxQueued, l.MaxPerRound = 50, 10
	d.SetIngestLimits(l)
	d.quiet = true
	list := d.hosts(40)
	flood := func(n int) {
		hosts := map[string]HostStats{}
		for _, e := range list {
			hosts[e.Host] = HostStats{Attempts: n%7 + 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}
		}
		d.ObserveProxyStats(d.at, "flood", ProxyStats{Sequence: int64(n), Hosts: hosts})
		d.ObserveProxyStats(d.at, "p", ProxyStats{Sequence: int64(n), Hosts: map[string]HostStats{list[0].Host: {Attempts: 3, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}}})
		for _, e := range list {
			d.ObserveLoadReport(d.at, e.Host, LoadReport{Sender: "x", Sequence: int64(n), Load: routing.HostLoad{Utilization: 0.1, RequestRate: -1, QueueLength: -1}})
		}
	}
	flood(1) // nobody has joined, nothing is listed
	d.list(list)
	d.poll(PollRequest{Proxy: "flood", WaitMs: 60000})
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	before := d.at
	for n := 2; len(d.members.byName["p"].versions) == 0; n++ {
		flood(n)
		d.run(1)
	}
	if d.at-before > 400 {
		t.Errorf("the first tables took %.0f ms", d.at-before)
	}
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.tagOf("p")}})
	list[5].State = routing.Draining
	d.list(list)
	before = d.at
	h := d.Controller.hosts.IndexOf[list[5].Host]
	for n := 1000; d.tables.table(0).weights[h] > 0 || d.members.byName["p"].poll != nil; n++ {
		flood(n)
		d.run(1)
		if d.at > before+1000 {
			t.Fatal("the drain is not through after a second")
		}
	}
	st := d.Status(d.at)
	if st.Intake.Waiting > 50 || st.Intake.Dropped[intake.QueueFull] == 0 || st.Intake.Taken == 0 {
		t.Errorf("%+v", st.Intake)
	}
	if x, _ := d.module.Explain(0); x.Successes == 0 {
		t.Error("the other proxy's sums did not come through")
	}
}

// A steward whose rounds come late sheds reports, then lengthens its rounds, says so, and comes back; a drain is carried
// out in the next round all the same.
func TestBehind(t *testing.T) {
	d := open(t, settings())
	d.quiet = true
	list := d.hosts(4)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(1000)
	for range 12 { // each round 150 ms late
		d.at = max(d.Next(), d.at) + 150
		d.Advance(d.at, d)
	}
	d.say("level %d, %.3f of the intake, rounds each %.0f ms", d.Status(d.at).Intake.Level, d.IngestRatio(), d.round.wake-d.round.last)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.tagOf("p")}})
	list[0].State = routing.Draining
	d.list(list)
	before := d.at
	d.run(600)
	d.say("drained: %v, after %s", d.tables.table(0).weights[0] == 0, fmt.Sprintf("%.0f ms at most", d.at-before))
	d.run(30000)
	d.say("level %d, %.3f of the intake", d.Status(d.at).Intake.Level, d.IngestRatio())
	d.check()
}

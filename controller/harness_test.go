package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"barleysail/guard"
	"barleysail/internal/golden"
	"barleysail/operator"
	"barleysail/routing"
	"barleysail/solver"
)

// harness drives a Steward on a scripted clock, and prints what comes out.
type harness struct {
	*Controller
	t               *testing.T
	nowMs           float64
	trace           strings.Builder
	lastPoll        int64
	responses       map[int64]Response
	hideNotModified bool // leave out answers with nothing new
	healthChecks    []string
}

func (d *harness) printf(format string, args ...any) {
	fmt.Fprintf(&d.trace, "%7.1f  %s\n", d.nowMs, fmt.Sprintf(format, args...))
}

func (d *harness) Respond(poll int64, a Response) {
	d.responses[poll] = a
	if d.hideNotModified && a.Kind == NotModified {
		return
	}
	d.printf("poll %d: %s tag %s base %q %s", poll, [...]string{"whole", "delta", "same"}[a.Kind], a.Tag, a.BaseTag,
		strings.TrimSpace(string(a.Body())))
}

func (d *harness) CheckHealth(host string) { d.healthChecks = append(d.healthChecks, host) }

func (d *harness) WatchEndpoints() { d.printf("watch the list") }

func (d *harness) Log(text string) { d.printf("log: %s", text) }

// testSettings are the settings of a small deployment; a test changes what it is about.
type testSettings struct {
	Deployment
	classes []RequestClass
	channel routing.ControlChannel
	guard   routing.SafetyLimits
	Settings
}

func defaultTestSettings() testSettings {
	return testSettings{
		Deployment{Incarnation: "L", Seed: 7, Zones: []string{"a", "b"}, Controllers: 1, Proxies: 2, ReportIntervalMs: 1000, DefaultRetryPolicy: 1, AdmissionControl: true},
		[]RequestClass{{"sheet", routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 3000, PriorityWeight: 1}, 200}, {"finish", routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 5}, 100}},
		routing.ControlChannel{EntriesPerSecond: 1000, MessageOverhead: 5, MaxBacklog: 2000, PropagationDelayMs: 20, MaxMessages: 20, MessageWindowMs: 10000},
		routing.SafetyLimits{EmptyTableMs: 5000, DrainGraceMs: 3000, SlowStartInitialFactor: 0.2, SlowStartMs: 10000, CollapseMultiple: 4},
		Settings{MinRoundIntervalMs: 10, MaxPollWaitMs: 60000, MinFirstPollWaitMs: 300, SessionTimeoutMs: 5000, RemovedHostRetentionMs: 60000, VersionHistory: 4}}
}

func newHarness(t *testing.T, set testSettings) *harness {
	d := &harness{t: t, nowMs: 1000, responses: map[int64]Response{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, HealthCheckCost: 0.02}, set.Settings)
	return d
}

// newUnevenHarness is a steward whose hosts differ, though the list weighs them alike, under a demand that fills the small ones.
func newUnevenHarness(t *testing.T, on bool) (*harness, []Endpoint) {
	d := newHarness(t, defaultTestSettings())
	if on {
		d.EnableSolver(5000, 0.01)
	}
	list := d.readyEndpoints(4)
	for i := range list {
		list[i].Cores, list[i].Speed = float64(2+4*(i%2)), 1
	}
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true})
	d.poll(PollRequest{Proxy: "q", Zone: "b", WaitMs: 60000, AcceptDelta: true})
	return d, list
}

// newRepairHarness is a steward with uneven hosts under a demand that fills the small ones, the guard refusing.
func newRepairHarness(t *testing.T, l guard.Limits) (*harness, []Endpoint, *int64) {
	d, list := newUnevenHarness(t, false)
	d.hideNotModified = true
	d.EnableValidation(l, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	return d, list, new(int64)
}

// newLargestHarness is a steward at the size of the largest deployment, all proxies joined and bound.
func newLargestHarness(before func(*Controller)) (*harness, []Endpoint) {
	set := defaultTestSettings()
	set.Deployment.Proxies, set.channel.EntriesPerSecond, set.channel.MaxBacklog = 607, 1e6, 1e6
	set.channel.MaxMessages = 0
	d := &harness{nowMs: 1000, responses: map[int64]Response{}, t: &testing.T{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 1}, set.Settings)
	before(d.Controller)
	var list []Endpoint
	for i := range 506 {
		list = append(list, Endpoint{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: set.Zones[i%2], State: routing.Ready, Weight: 1, Cores: 4})
	}
	d.mustSetEndpoints(list)
	for i := range 607 {
		d.poll(PollRequest{Proxy: fmt.Sprint("p", i), WaitMs: 60000})
	}
	d.advance(2000)
	return d, list
}

// readyEndpoints lists so many ready hosts, the even ones in zone a.
func (d *harness) readyEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Host: fmt.Sprintf("10.0.0.%d:80", i), Zone: d.deployment.Zones[i%2], State: routing.Ready, Weight: 1})
	}
	return list
}

func (d *harness) mustSetEndpoints(entries []Endpoint) {
	d.t.Helper()
	if err := d.SetEndpoints(d.nowMs, entries); err != nil {
		d.t.Fatal(err)
	}
}

// advance lets time pass, calling Advance whenever it is due.
func (d *harness) advance(ms float64) {
	for end := d.nowMs + ms; ; {
		next := math.Max(d.Next(), d.nowMs)
		if next > end {
			d.nowMs = end
			return
		}
		d.nowMs = next
		d.Advance(d.nowMs, d)
	}
}

// poll polls for a proxy, with the tag of its last answer or with the tags given.
func (d *harness) poll(q PollRequest) int64 {
	d.t.Helper()
	d.lastPoll++
	if q.Zone == "" {
		q.Zone = "a"
	}
	if err := d.Poll(d.nowMs, d.lastPoll, q, d); err != nil {
		d.printf("poll %d refused: %v", d.lastPoll, err)
	}
	return d.lastPoll
}

// pollAgain polls until the proxy has what is newest.
func (d *harness) pollAgain(q PollRequest) {
	q.Tags = []string{d.newestTag(q.Proxy)}
	d.poll(q)
}

// newestTag is the tag of a proxy's newest version, as it would poll with.
func (d *harness) newestTag(name string) string {
	if m := d.sessions.byProxy[name]; m != nil && len(m.versions) > 0 {
		return d.tag(m.versions[len(m.versions)-1].number)
	}
	return ""
}

func (d *harness) applyOverrides(orders ...operator.Command) {
	waits, err := d.ApplyOverrides(d.nowMs, orders, d)
	d.printf("%s: waits %v, %v", describeCommand(orders[0]), waits, err)
}

// reportDemand lets seconds pass in which each proxy tells of so many transactions of either class.
func (d *harness) reportDemand(seconds, came int, numbers *int64) {
	for range seconds {
		*numbers++
		for i, p := range []string{"p", "q"} {
			d.poll(PollRequest{Proxy: p, Zone: d.deployment.Zones[i], WaitMs: 900, Tags: []string{d.newestTag(p)}, AcceptDelta: true})
			d.ObserveProxyStats(d.nowMs, p, ProxyStats{Sequence: *numbers, Demand: map[string]ClassDemand{"sheet": {Arrivals: came, WindowMs: 1000}, "finish": {Arrivals: came, WindowMs: 1000}}})
		}
		d.advance(1000)
	}
}

// reportFailures lets a host fail all its tries for some seconds while the others serve.
func (d *harness) reportFailures(list []Endpoint, bad string, seconds int, number *int64) {
	for range seconds {
		*number++
		hosts := map[string]HostStats{}
		for _, e := range list {
			hosts[e.Host] = HostStats{Attempts: 20, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad}
		}
		hosts[bad] = HostStats{Attempts: 20, Failed: 20, WindowMs: 1000, Load: routing.UnknownLoad}
		d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.newestTag("p")}, AcceptDelta: true})
		d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sequence: *number, Hosts: hosts, Demand: map[string]ClassDemand{"sheet": {Arrivals: 80, WindowMs: 1000}, "finish": {Arrivals: 10, WindowMs: 1000}}})
		d.advance(1000)
	}
}

// describeTable is what a zone's first proxy was last given, in words.
func (d *harness) describeTable(proxy string) string {
	a, _ := d.PublishedTables(proxy)
	var all []string
	for i, t := 0, a.Tables()[0]; i < len(t.Hosts); i++ {
		all = append(all, fmt.Sprintf("%s %.3g", t.Hosts[i], t.Weights[i]))
	}
	return strings.Join(all, ", ")
}

// solverGap of the tables that the proxies have.
func (d *harness) solverGap() *solver.Gap {
	p, t := d.CurrentProblem()
	if p == nil {
		return nil
	}
	g, err := p.Measure(t)
	if err != nil {
		d.t.Fatal(err)
	}
	return g
}

// checkTrace compares the trace with the kept one.
func (d *harness) checkTrace() {
	d.t.Helper()
	golden.Trace(d.t, d.trace.String())
}

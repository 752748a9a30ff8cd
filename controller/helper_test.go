package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"barleysail/internal/golden"
	"barleysail/routing"
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
func (d *harness) WatchEndpoints()         { d.printf("watch the list") }
func (d *harness) Log(text string)         { d.printf("log: %s", text) }

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

// checkTrace compares the trace with the kept one.
func (d *harness) checkTrace() {
	d.t.Helper()
	golden.Trace(d.t, d.trace.String())
}

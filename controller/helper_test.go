package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"barleysail/internal/golden"
	"barleysail/routing"
)

// desk drives a Steward on a scripted clock, and prints what comes out.
type desk struct {
	*Controller
	t       *testing.T
	at      float64
	trace   strings.Builder
	polls   int64
	answers map[int64]Response
	quiet   bool // leave out answers with nothing new
	probes  []string
}

func (d *desk) say(format string, args ...any) {
	fmt.Fprintf(&d.trace, "%7.1f  %s\n", d.at, fmt.Sprintf(format, args...))
}

func (d *desk) Respond(poll int64, a Response) {
	d.answers[poll] = a
	if d.quiet && a.Kind == NotModified {
		return
	}
	d.say("poll %d: %s tag %s base %q %s", poll, [...]string{"whole", "delta", "same"}[a.Kind], a.Tag, a.BaseTag,
		strings.TrimSpace(string(a.Body())))
}
func (d *desk) CheckHealth(host string) { d.probes = append(d.probes, host) }
func (d *desk) WatchEndpoints()         { d.say("watch the list") }
func (d *desk) Log(text string)         { d.say("log: %s", text) }

// plain are the settings of a small deployment; a test changes what it is about.
type plain struct {
	Deployment
	classes []RequestClass
	channel routing.ControlChannel
	guard   routing.SafetyLimits
	Settings
}

func settings() plain {
	return plain{
		Deployment{Incarnation: "L", Seed: 7, Zones: []string{"a", "b"}, Controllers: 1, Proxies: 2, ReportIntervalMs: 1000, DefaultRetryPolicy: 1, AdmissionControl: true},
		[]RequestClass{{"sheet", routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 3000, PriorityWeight: 1}, 200}, {"finish", routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 5}, 100}},
		routing.ControlChannel{EntriesPerSecond: 1000, MessageOverhead: 5, MaxBacklog: 2000, PropagationDelayMs: 20, MaxMessages: 20, MessageWindowMs: 10000},
		routing.SafetyLimits{EmptyTableMs: 5000, DrainGraceMs: 3000, SlowStartInitialFactor: 0.2, SlowStartMs: 10000, CollapseMultiple: 4},
		Settings{MinRoundIntervalMs: 10, MaxPollWaitMs: 60000, MinFirstPollWaitMs: 300, SessionTimeoutMs: 5000, RemovedHostRetentionMs: 60000, VersionHistory: 4}}
}

func open(t *testing.T, set plain) *desk {
	d := &desk{t: t, at: 1000, answers: map[int64]Response{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, HealthCheckCost: 0.02}, set.Settings)
	return d
}

// hosts lists so many ready hosts, the even ones in zone a.
func (d *desk) hosts(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Host: fmt.Sprintf("10.0.0.%d:80", i), Zone: d.fleet.Zones[i%2], State: routing.Ready, Weight: 1})
	}
	return list
}

func (d *desk) list(entries []Endpoint) {
	d.t.Helper()
	if err := d.SetEndpoints(d.at, entries); err != nil {
		d.t.Fatal(err)
	}
}

// run lets time pass, calling Advance whenever it is due.
func (d *desk) run(ms float64) {
	for end := d.at + ms; ; {
		next := math.Max(d.Next(), d.at)
		if next > end {
			d.at = end
			return
		}
		d.at = next
		d.Advance(d.at, d)
	}
}

// poll polls for a proxy, with the tag of its last answer or with the tags given.
func (d *desk) poll(q PollRequest) int64 {
	d.t.Helper()
	d.polls++
	if q.Zone == "" {
		q.Zone = "a"
	}
	if err := d.Poll(d.at, d.polls, q, d); err != nil {
		d.say("poll %d refused: %v", d.polls, err)
	}
	return d.polls
}

// check compares the trace with the kept one.
func (d *desk) check() {
	d.t.Helper()
	golden.Trace(d.t, d.trace.String())
}

package routing

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bench drives one Steward through small hand-made rounds and prints what it decides. Probes are answered
// by hand.
type bench struct {
	*Balancer
	now    float64
	out    strings.Builder
	wakeAt float64
	quiet  bool // leave out probes and marks
	marks  int
}

func (b *bench) say(format string, args ...any) {
	fmt.Fprintf(&b.out, "%7.0f  %s\n", b.now, fmt.Sprintf(format, args...))
}

func (b *bench) SetWeight(table, host int, weight float64) {
	b.say("table %d host %d weight %.3f", table, host, weight)
}
func (b *bench) AssignTable(p, table, classes int) {
	b.say("bind proxy %d to table %d classes %d", p, table, classes)
}
func (b *bench) SetAdmission(table, classes int, share float64, tries int) {
	b.say("level %.2f classes %b tries %d", share, classes, tries)
}
func (b *bench) StampVersion(number int) {
	b.marks = number
	if !b.quiet {
		b.say("mark %d", number)
	}
}
func (b *bench) CheckHealth(host int) {
	if !b.quiet {
		b.say("probe host %d", host)
	}
}
func (b *bench) ScheduleRound(at float64) { b.wakeAt = at }
func (b *bench) WatchEndpoints()          { b.say("watch the list") }
func (b *bench) Log(event Event)          { b.say("log: %s", event.Text(HostIndex)) }

// deployment holds the settings of a plain one; a case changes what it is about.
type deployment struct {
	Deployment
	classes []RequestClass
	ControlChannel
	SafetyLimits
	Objective
}

func plain() deployment {
	return deployment{
		Deployment{Controllers: 1, Zones: 2, Proxies: 2, Seed: 7, ReportIntervalMs: 1000, DefaultRetryPolicy: 1, AdmissionControl: true, HealthChecks: true},
		[]RequestClass{{LatencyObjectiveMs: 1000, DeadlineMs: 3000, PriorityWeight: 1}, {LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 5}},
		ControlChannel{EntriesPerSecond: 10000, MessageOverhead: 5, MaxBacklog: 10000, PropagationDelayMs: 200, MessageWindowMs: 10000},
		SafetyLimits{EmptyTableMs: 5000, DrainGraceMs: 3000, SlowStartInitialFactor: 0.2, SlowStartMs: 10000, CollapseMultiple: 4}, Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, HealthCheckCost: 0.02}}
}

// start lists n ready hosts of weight 1, the even ones in zone 0, and joins the proxies.
func start(set deployment, n int) *bench {
	b := &bench{Balancer: New(set.Deployment, set.classes, set.ControlChannel, set.SafetyLimits, set.Objective), now: 1000, quiet: true}
	b.ObserveSnapshot(true)
	for h := range n {
		b.ObserveEndpoint(h, h%2, Ready, 1, 0)
	}
	for p := range set.Proxies {
		b.ConnectProxy(p, p%2, 1)
	}
	b.Round(b.now, b)
	b.ObserveSnapshot(false)
	for h := range n {
		b.ObserveEndpoint(h, h%2, Ready, 1, 0)
	}
	return b
}

// run lets time pass in timer steps; each second the host gets its sums: tries, failed, mean time. A
// missing host is not heard of. All proxies answer every mark at once.
func (b *bench) run(ms float64, sums map[int][3]float64) {
	for end := b.now + ms; b.now < end; {
		b.now += 200
		if int(b.now)%1000 == 0 {
			for h := range b.hosts {
				if s, ok := sums[h]; ok {
					b.ObserveHostStats(h, int(s[0]), int(s[1]), s[2], 1000, UnknownLoad)
				}
			}
		}
		for p := range b.proxies {
			b.Ack(p, b.marks)
		}
		b.Round(b.now, b)
	}
}

// check compares the trace with the kept one; KEEP=1 writes it anew, to be read before it is committed.
func (b *bench) check(t *testing.T) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if os.Getenv("KEEP") != "" {
		if err := os.WriteFile(file, []byte(b.out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(kept), "\n"), strings.Split(b.out.String(), "\n")); diff != "" {
		t.Errorf("trace differs from %s (-kept +now):\n%s", file, diff)
	}
}

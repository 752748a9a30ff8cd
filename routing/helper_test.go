package routing

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	// stepMs is the time between two rounds of a harness.
	stepMs = 200

	// reportIntervalMs is the time between two reports of a harness and the report interval of its settings.
	reportIntervalMs = 1000
)

// harness drives one Balancer through small rounds made by hand, and traces what it decides. Health checks are answered
// by hand, too.
type harness struct {
	*Balancer
	clockMs float64
	trace   strings.Builder
	quiet   bool // leaves health checks and version stamps out of the trace
	version int  // last stamped
}

// tracef adds a line to the trace.
func (h *harness) tracef(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%7.0f  %s\n", h.clockMs, fmt.Sprintf(format, args...))
}

func (h *harness) SetWeight(table, host int, weight float64) {
	h.tracef("table %d host %d weight %.3f", table, host, weight)
}

func (h *harness) AssignTable(proxy, table, classes int) {
	h.tracef("assign proxy %d to table %d classes %d", proxy, table, classes)
}

func (h *harness) SetAdmission(_, classes int, quota float64, retryPolicy int) {
	h.tracef("admission quota %.2f classes %b retry policy %d", quota, classes, retryPolicy)
}

func (h *harness) StampVersion(version int) {
	h.version = version
	if !h.quiet {
		h.tracef("version %d", version)
	}
}

func (h *harness) CheckHealth(host int) {
	if !h.quiet {
		h.tracef("check health of host %d", host)
	}
}

// ScheduleRound is not needed: a harness makes a round each stepMs.
func (h *harness) ScheduleRound(float64) {}

func (h *harness) WatchEndpoints() { h.tracef("watch endpoints") }

func (h *harness) Log(event Event) { h.tracef("log: %s", event.Text(HostIndex)) }

// settings are all that New takes.
type settings struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective
}

// defaultSettings are those of a small deployment; a test changes what it is about.
func defaultSettings() settings {
	return settings{
		deployment: Deployment{
			Controllers:        1,
			Zones:              2,
			Proxies:            2,
			Seed:               7,
			ReportIntervalMs:   reportIntervalMs,
			DefaultRetryPolicy: 1,
			AdmissionControl:   true,
			HealthChecks:       true,
		},
		classes: []RequestClass{
			{LatencyObjectiveMs: 1000, DeadlineMs: 3000, PriorityWeight: 1},
			{LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 5},
		},
		channel: ControlChannel{
			EntriesPerSecond:   10000,
			MessageOverhead:    5,
			MaxBacklog:         10000,
			PropagationDelayMs: 200,
			MessageWindowMs:    10000,
		},
		limits: SafetyLimits{
			EmptyTableMs:           5000,
			DrainGraceMs:           3000,
			SlowStartInitialFactor: 0.2,
			SlowStartMs:            10000,
			CollapseMultiple:       4,
		},
		objective: Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, HealthCheckCost: 0.02},
	}
}

// newBalancer makes a balancer that is given a cached snapshot of ready hosts of weight 1, the even ones in zone 0, and
// whose proxies have all connected.
func (s settings) newBalancer(hosts int) *Balancer {
	b := New(s.deployment, s.classes, s.channel, s.limits, s.objective)
	b.ObserveSnapshot(true)
	observeReadyHosts(b, hosts)
	for proxy := range s.deployment.Proxies {
		b.ConnectProxy(proxy, proxy%2, 1)
	}
	return b
}

// newHarness makes a balancer as newBalancer, has it run its first round, and gives it the same snapshot from the
// source.
func newHarness(s settings, hosts int) *harness {
	h := &harness{Balancer: s.newBalancer(hosts), clockMs: 1000, quiet: true}
	h.Round(h.clockMs, h)
	h.ObserveSnapshot(false)
	observeReadyHosts(h.Balancer, hosts)
	return h
}

// observeReadyHosts records so many ready hosts of weight 1, the even ones in zone 0.
func observeReadyHosts(b *Balancer, hosts int) {
	for host := range hosts {
		b.ObserveEndpoint(host, host%2, Ready, 1, 0)
	}
}

// hostReport is what all proxies report of a host in one report interval.
type hostReport struct {
	attempts  int
	failures  int
	latencyMs float64 // mean of the successes
}

// healthyReport is that of a host without faults.
var healthyReport = hostReport{attempts: 10, latencyMs: 200}

// uniformReports gives every host the same report.
func uniformReports(hosts int, report hostReport) map[int]hostReport {
	reports := map[int]hostReport{}
	for host := range hosts {
		reports[host] = report
	}
	return reports
}

// run lets time pass in steps; each report interval the hosts get their reports. A host without a report is not heard
// of. All proxies acknowledge every version at once.
func (h *harness) run(durationMs float64, reports map[int]hostReport) {
	for endMs := h.clockMs + durationMs; h.clockMs < endMs; {
		h.clockMs += stepMs
		if h.reportDue() {
			for host := range h.hosts {
				if report, ok := reports[host]; ok {
					h.ObserveHostStats(host, report.attempts, report.failures, report.latencyMs, reportIntervalMs, UnknownLoad)
				}
			}
		}
		for proxy := range h.proxies {
			h.Ack(proxy, h.version)
		}
		h.round()
	}
}

// round makes a round at the present time.
func (h *harness) round() { h.Round(h.clockMs, h) }

// reportDue tells whether proxies report at the present time.
func (h *harness) reportDue() bool { return int(h.clockMs)%reportIntervalMs == 0 }

// runWithHealthChecks is run, with a result for each health check at the next step.
func (h *harness) runWithHealthChecks(
	durationMs float64, reports map[int]hostReport, result func(host int) HealthCheckResult,
) {
	for endMs := h.clockMs + durationMs; h.clockMs < endMs; {
		for host := range h.hosts {
			h.answerHealthCheck(host, result(host), UnknownLoad)
		}
		h.run(stepMs, reports)
	}
}

// reportLoad has the proxies report three attempts at a host, and its load, where a report is due.
func (h *harness) reportLoad(host int, load HostLoad) {
	if h.reportDue() {
		h.ObserveHostStats(host, 3, 0, 100, reportIntervalMs, load)
	}
}

// answerHealthCheck gives a host's health check a result, where one is in flight.
func (h *harness) answerHealthCheck(host int, result HealthCheckResult, load HostLoad) {
	if h.hosts[host].health.checkInFlight {
		h.ObserveHealthCheck(host, result, load)
	}
}

// allHosts gives every health check the same result.
func allHosts(result HealthCheckResult) func(int) HealthCheckResult {
	return func(int) HealthCheckResult { return result }
}

// onlyHost gives one host's health checks a result, and those of all others a healthy answer.
func onlyHost(host int, result HealthCheckResult) func(int) HealthCheckResult {
	return func(checked int) HealthCheckResult {
		if checked == host {
			return result
		}
		return Healthy
	}
}

// check compares the trace with the golden file of the test. KEEP=1 writes the golden file anew, to be read before it
// is committed.
func (h *harness) check(t *testing.T) {
	t.Helper()
	checkGolden(t, h.trace.String())
}

// checkGolden compares a text with the golden file of the test, line by line.
func checkGolden(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if os.Getenv("KEEP") != "" {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(golden), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("trace differs from %s (-golden +got):\n%s", file, diff)
	}
}

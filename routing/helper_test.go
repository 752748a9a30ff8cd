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

// harness runs the rounds of one Balancer and writes its decisions to a trace. A test answers the health checks itself.
type harness struct {
	*Balancer
	clockMs float64
	trace   strings.Builder
	quiet   bool // omits health checks and version stamps from the trace
	version int  // the last version stamp
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

// ScheduleRound does nothing: a harness runs a round each stepMs.
func (h *harness) ScheduleRound(float64) {}

func (h *harness) WatchEndpoints() { h.tracef("watch endpoints") }

func (h *harness) Log(event Event) { h.tracef("log: %s", event.Text(FormatHostIndex)) }

// settings are the arguments of New.
type settings struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective
}

// defaultSettings returns the settings of a small deployment, for tests to modify.
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

// newBalancer returns a balancer with a cached snapshot of ready hosts of weight 1, the even ones in zone 0, and with
// all proxies connected.
func (s settings) newBalancer(hosts int) *Balancer {
	b := New(s.deployment, s.classes, s.channel, s.limits, s.objective)
	b.ObserveSnapshot(true)
	observeReadyHosts(b, hosts)
	for proxy := range s.deployment.Proxies {
		b.ConnectProxy(proxy, proxy%2, 1)
	}
	return b
}

// newHarness returns a harness after the first round of its balancer, with the same snapshot recorded from the source.
func newHarness(s settings, hosts int) *harness {
	h := &harness{Balancer: s.newBalancer(hosts), clockMs: 1000, quiet: true}
	h.Round(h.clockMs, h)
	h.ObserveSnapshot(false)
	observeReadyHosts(h.Balancer, hosts)
	return h
}

// observeReadyHosts records the given number of ready hosts of weight 1, the even ones in zone 0.
func observeReadyHosts(b *Balancer, hosts int) {
	for host := range hosts {
		b.ObserveEndpoint(host, host%2, Ready, 1, 0)
	}
}

// hostReport holds the attempts that all proxies report of a host in one report interval.
type hostReport struct {
	attempts  int
	failures  int
	latencyMs float64 // mean of the successes
}

// healthyReport is the report of a host without faults.
var healthyReport = hostReport{attempts: 10, latencyMs: 200}

// uniformReports returns the same report for every host.
func uniformReports(hosts int, report hostReport) map[int]hostReport {
	reports := map[int]hostReport{}
	for host := range hosts {
		reports[host] = report
	}
	return reports
}

// run advances the time in steps and records the hosts' reports at each report interval. A host that is not in reports
// gets no report. All proxies acknowledge every version at once.
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

// round runs a round at the current time.
func (h *harness) round() { h.Round(h.clockMs, h) }

// reportDue reports whether proxies report at the current time.
func (h *harness) reportDue() bool { return int(h.clockMs)%reportIntervalMs == 0 }

// runWithHealthChecks is run, and answers each health check in the next step.
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

// reportLoad records a report of three attempts at a host and of its load, if a report is due.
func (h *harness) reportLoad(host int, load HostLoad) {
	if h.reportDue() {
		h.ObserveHostStats(host, 3, 0, 100, reportIntervalMs, load)
	}
}

// answerHealthCheck records the result of a host's health check, if one is in flight.
func (h *harness) answerHealthCheck(host int, result HealthCheckResult, load HostLoad) {
	if h.hosts[host].health.checkInFlight {
		h.ObserveHealthCheck(host, result, load)
	}
}

// allHosts returns the same result for every health check.
func allHosts(result HealthCheckResult) func(int) HealthCheckResult {
	return func(int) HealthCheckResult { return result }
}

// onlyHost returns a result for the health checks of one host, and a healthy answer for those of all others.
func onlyHost(host int, result HealthCheckResult) func(int) HealthCheckResult {
	return func(checked int) HealthCheckResult {
		if checked == host {
			return result
		}
		return Healthy
	}
}

// checkTrace compares the trace with the golden file of the test. KEEP=1 rewrites the golden file; read its diff before
// you commit it.
func (h *harness) checkTrace(t *testing.T) {
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

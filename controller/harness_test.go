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

// harness drives a Controller with the time of a test, and prints its effects into a trace.
type harness struct {
	*Controller
	t               testing.TB
	nowMs           float64
	trace           strings.Builder
	lastPoll        int64              // id of the last poll
	responses       map[int64]Response // by id of the poll
	hideNotModified bool               // leave NotModified responses out of the trace
	healthChecks    []string           // hosts whose health checks were requested
	lastSequence    int64              // sequence number of the last reports
}

// printf adds a line to the trace.
func (h *harness) printf(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%7.1f  %s\n", h.nowMs, fmt.Sprintf(format, args...))
}

// checkTrace compares the trace with the golden file of the test.
func (h *harness) checkTrace() {
	h.t.Helper()
	golden.CompareForTest(h.t, h.trace.String())
}

// Respond implements Effects.
func (h *harness) Respond(poll int64, response Response) {
	h.responses[poll] = response
	if h.hideNotModified && response.Kind == NotModified {
		return
	}
	kind := [...]string{Snapshot: "snapshot", Delta: "delta", NotModified: "not modified"}[response.Kind]
	body := strings.TrimSpace(string(response.Body()))
	h.printf("poll %d: %s tag %s base %q %s", poll, kind, response.Tag, response.BaseTag, body)
}

// CheckHealth implements Effects.
func (h *harness) CheckHealth(host string) { h.healthChecks = append(h.healthChecks, host) }

// WatchEndpoints implements Effects.
func (h *harness) WatchEndpoints() { h.printf("watch of the endpoint list requested") }

// Log implements Effects.
func (h *harness) Log(text string) { h.printf("log: %s", text) }

// testConfig holds the arguments of New. A test changes those that matter to it.
type testConfig struct {
	deployment Deployment
	classes    []RequestClass
	channel    routing.ControlChannel
	safety     routing.SafetyLimits
	objective  routing.Objective
	settings   Settings
}

// defaultTestConfig returns the arguments for a small deployment.
func defaultTestConfig() testConfig {
	return testConfig{
		deployment: Deployment{
			Incarnation:        "L",
			Seed:               7,
			Zones:              []string{"a", "b"},
			Controllers:        1,
			Proxies:            2,
			ReportIntervalMs:   1000,
			DefaultRetryPolicy: 1,
			AdmissionControl:   true,
		},
		classes: []RequestClass{
			{"sheet", routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 3000, PriorityWeight: 1}, 200},
			{"finish", routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1500, PriorityWeight: 5}, 100},
		},
		channel: routing.ControlChannel{
			EntriesPerSecond:   1000,
			MessageOverhead:    5,
			MaxBacklog:         2000,
			PropagationDelayMs: 20,
			MaxMessages:        20,
			MessageWindowMs:    10000,
		},
		safety: routing.SafetyLimits{
			EmptyTableMs:           5000,
			DrainGraceMs:           3000,
			SlowStartInitialFactor: 0.2,
			SlowStartMs:            10000,
			CollapseMultiple:       4,
		},
		objective: routing.Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, HealthCheckCost: 0.02},
		settings: Settings{
			MinRoundIntervalMs:     10,
			MaxPollWaitMs:          60000,
			MinFirstPollWaitMs:     300,
			SessionTimeoutMs:       5000,
			RemovedHostRetentionMs: 60000,
			VersionHistory:         4,
		},
	}
}

// harnessStartMs is the time at which each harness starts.
const harnessStartMs = 1000

func newHarness(t testing.TB, config testConfig) *harness {
	return &harness{
		Controller: New(config.deployment, config.classes, config.channel, config.safety, config.objective, config.settings),
		t:          t,
		nowMs:      harnessStartMs,
		responses:  map[int64]Response{},
	}
}

// newUnevenHarness returns a harness with hosts that differ in their cores, though the endpoint list gives them equal
// weights, and with a proxy in each zone.
func newUnevenHarness(t testing.TB, withSolver bool) (*harness, []Endpoint) {
	h := newHarness(t, defaultTestConfig())
	if withSolver {
		h.EnableSolver(5000, 0.01)
	}
	list := h.readyEndpoints(4)
	for i := range list {
		list[i].Cores = float64(2 + 4*(i%2))
		list[i].Speed = 1
	}
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true})
	h.poll(PollRequest{Proxy: "q", Zone: "b", WaitMs: 60000, AcceptDelta: true})
	return h, list
}

// newRepairHarness returns an uneven harness whose tables are repaired.
func newRepairHarness(t testing.TB, limits guard.Limits) (*harness, []Endpoint) {
	h, list := newUnevenHarness(t, false)
	h.hideNotModified = true
	h.EnableValidation(limits, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	return h, list
}

const (
	largestProxies = 607
	largestHosts   = 506
)

// newLargestHarness returns a harness of the size of the largest deployment, in which all proxies are connected and
// have tables.
func newLargestHarness(t testing.TB, configure func(*Controller)) (*harness, []Endpoint) {
	config := defaultTestConfig()
	config.deployment.Proxies = largestProxies
	config.channel.EntriesPerSecond = 1e6
	config.channel.MaxBacklog = 1e6
	config.channel.MaxMessages = 0
	config.objective = routing.Objective{TotalWeight: 1}
	h := newHarness(t, config)
	configure(h.Controller)
	var list []Endpoint
	for i := range largestHosts {
		list = append(list, Endpoint{
			Host:   fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone:   config.deployment.Zones[i%2],
			State:  routing.Ready,
			Weight: 1,
			Cores:  4,
		})
	}
	h.mustSetEndpoints(list)
	for i := range largestProxies {
		h.poll(PollRequest{Proxy: fmt.Sprint("p", i), WaitMs: 60000})
	}
	h.advance(2000)
	return h, list
}

// hostName returns the address of a host by its number on the list of readyEndpoints.
func hostName(number int) string { return fmt.Sprintf("10.0.0.%d:80", number) }

// readyEndpoints returns a list of ready hosts. Those with even numbers are in the first zone.
func (h *harness) readyEndpoints(count int) []Endpoint {
	var list []Endpoint
	for i := range count {
		zone := h.deployment.Zones[i%2]
		list = append(list, Endpoint{Host: hostName(i), Zone: zone, State: routing.Ready, Weight: 1})
	}
	return list
}

func (h *harness) mustSetEndpoints(list []Endpoint) {
	h.t.Helper()
	if err := h.SetEndpoints(h.nowMs, list); err != nil {
		h.t.Fatal(err)
	}
}

// advance lets time pass, and calls Advance whenever a call is due.
func (h *harness) advance(durationMs float64) {
	endMs := h.nowMs + durationMs
	for {
		nextMs := math.Max(h.NextMs(), h.nowMs)
		if nextMs > endMs {
			h.nowMs = endMs
			return
		}
		h.nowMs = nextMs
		h.Advance(h.nowMs, h)
	}
}

// poll polls for a proxy, in zone a if the request gives none, and returns the id of the poll. It prints an error.
func (h *harness) poll(request PollRequest) int64 {
	h.t.Helper()
	h.lastPoll++
	if request.Zone == "" {
		request.Zone = "a"
	}
	if err := h.Poll(h.nowMs, h.lastPoll, request, h); err != nil {
		h.printf("poll %d rejected: %v", h.lastPoll, err)
	}
	return h.lastPoll
}

// pollAgain polls with the tag of the proxy's newest version.
func (h *harness) pollAgain(request PollRequest) {
	request.Tags = []string{h.newestTag(request.Proxy)}
	h.poll(request)
}

// newestTag returns the tag of a proxy's newest version, empty if it has none.
func (h *harness) newestTag(proxy string) string {
	if session := h.sessions.byProxy[proxy]; session != nil && len(session.versions) > 0 {
		return h.tag(session.newest().number)
	}
	return ""
}

// applyOverrides applies commands and prints the outcome.
func (h *harness) applyOverrides(commands ...operator.Command) {
	queued, err := h.ApplyOverrides(h.nowMs, commands, h)
	h.printf("%s: queued %v, error %v", describeCommand(commands[0]), queued, err)
}

// observeStats reports request stats, which have to be valid and new.
func (h *harness) observeStats(proxy string, stats ProxyStats) {
	h.t.Helper()
	counted, err := h.ObserveProxyStats(h.nowMs, proxy, stats)
	if err != nil || !counted {
		h.t.Fatalf("request stats of %s: counted %v, error %v, want them counted without an error", proxy, counted, err)
	}
}

// demandStats returns the report of a second in which each class of defaultTestConfig got a number of arrivals.
func demandStats(sequence int64, arrivals int) ProxyStats {
	demand := ClassDemand{Arrivals: arrivals, WindowMs: 1000}
	return ProxyStats{Sequence: sequence, Demand: map[string]ClassDemand{"sheet": demand, "finish": demand}}
}

// reportDemand lets seconds pass. In each of them a proxy of either zone reports a number of arrivals of each class.
func (h *harness) reportDemand(seconds, arrivals int) {
	h.t.Helper()
	for range seconds {
		h.lastSequence++
		for i, proxy := range []string{"p", "q"} {
			h.pollAgain(PollRequest{Proxy: proxy, Zone: h.deployment.Zones[i], WaitMs: 900, AcceptDelta: true})
			h.observeStats(proxy, demandStats(h.lastSequence, arrivals))
		}
		h.advance(1000)
	}
}

// reportFailures lets seconds pass in which all attempts at one host fail, and those at the other hosts succeed.
func (h *harness) reportFailures(list []Endpoint, failing string, seconds int) {
	h.t.Helper()
	for range seconds {
		h.lastSequence++
		hosts := map[string]HostStats{}
		for _, endpoint := range list {
			hosts[endpoint.Host] = HostStats{
				Attempts: 20, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad,
			}
		}
		hosts[failing] = HostStats{Attempts: 20, Failed: 20, WindowMs: 1000, Load: routing.UnknownLoad}
		h.pollAgain(PollRequest{Proxy: "p", WaitMs: 900, AcceptDelta: true})
		h.observeStats("p", ProxyStats{
			Sequence: h.lastSequence,
			Hosts:    hosts,
			Demand: map[string]ClassDemand{
				"sheet":  {Arrivals: 80, WindowMs: 1000},
				"finish": {Arrivals: 10, WindowMs: 1000},
			},
		})
		h.advance(1000)
	}
}

// describeTable returns the published table of a proxy for the first class as text.
func (h *harness) describeTable(proxy string) string {
	response, _ := h.PublishedTables(proxy)
	table := response.Tables()[0]
	var entries []string
	for i, host := range table.Hosts {
		entries = append(entries, fmt.Sprintf("%s %.3g", host, table.Weights[i]))
	}
	return strings.Join(entries, ", ")
}

// solverGap returns the gap between the published tables and the optimal ones, nil if the solver has no problem.
func (h *harness) solverGap() *solver.Gap {
	h.t.Helper()
	problem, tables := h.CurrentProblem()
	if problem == nil {
		return nil
	}
	gap, err := problem.Measure(tables)
	if err != nil {
		h.t.Fatal(err)
	}
	return gap
}

// mustHostInfo returns the state of a host that has to be known.
func (h *harness) mustHostInfo(host string) HostInfo {
	h.t.Helper()
	info, ok := h.HostInfo(host)
	if !ok {
		h.t.Fatalf("HostInfo does not know %s, want its state", host)
	}
	return info
}

// countEvents returns the number of events of a kind whose text has a prefix.
func (h *harness) countEvents(kind, prefix string) int {
	count := 0
	for _, event := range h.Events(0) {
		if event.Kind == kind && strings.HasPrefix(event.Text, prefix) {
			count++
		}
	}
	return count
}

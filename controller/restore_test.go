package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// restart starts the next incarnation "M" some time later, from the encoded snapshot of this one.
func (h *harness) restart(config testConfig, laterMs float64) *harness {
	h.t.Helper()
	return restoreHarness(h.t, config, h.Snapshot(h.nowMs), h.nowMs+laterMs)
}

// restoreHarness starts the incarnation "M" from a snapshot, which it encodes and decodes as a file would.
func restoreHarness(t testing.TB, config testConfig, snapshot *statepb.State, nowMs float64) *harness {
	t.Helper()
	encoded, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &statepb.State{}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		t.Fatal(err)
	}
	config.deployment.Incarnation = "M"
	h := newHarness(t, config)
	h.nowMs = nowMs
	h.Restore(nowMs, state.ApplyDecay(decoded, nowMs, state.DefaultLimits(config.safety.SlowStartMs)))
	return h
}

// The next incarnation continues with deltas onto the tables that the proxies hold, and gives a host that has failed
// less weight from its first table on. Both end when the stored state is too old, and if the clock went back.
func TestNextIncarnation(t *testing.T) {
	config := defaultTestConfig()
	h := newHarness(t, config)
	h.hideNotModified = true
	list := h.readyEndpoints(4)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000, RequestRate: 90})
	h.reportFailures(list, list[1].Host, 6)
	h.printf("the first incarnation published %s", h.describeTable("p"))
	tag := h.newestTag("p")
	for _, laterMs := range []float64{1000, 60e3, 3600e3} {
		next := h.restart(config, laterMs)
		next.printf("after %.0f s", laterMs/1000)
		next.mustSetEndpoints(list)
		next.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
		next.advance(500)
		next.printf("the next incarnation published %s, request rate %.0f",
			next.describeTable("p"), next.sessions.byProxy["p"].requestRates[0])
		report := next.Status(next.nowMs).Restored
		next.printf("restored %d hosts, %d proxies, %d versions; reason %q", report.Hosts, report.Proxies, report.Versions,
			report.Reason)
		h.trace.WriteString(next.trace.String())
	}
	earlier := h.restart(config, -5000)
	earlier.mustSetEndpoints(list)
	earlier.printf("%s", earlier.Status(earlier.nowMs).Restored.Reason)
	h.trace.WriteString(earlier.trace.String())
	h.checkTrace()
}

// A proxy gets a snapshot if its tag is unknown or another proxy's, if it is now in another zone, or if the persisted
// tables are those of other classes.
func TestUnknownTags(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	list := h.readyEndpoints(2)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(100)
	h.pollAgain(PollRequest{Proxy: "p", WaitMs: 900})
	tag := h.newestTag("p")
	oneClass := func(config *testConfig) { config.classes = config.classes[:1] }
	for _, test := range []struct {
		name    string
		request PollRequest
		want    ResponseKind
		change  func(config *testConfig) // nil: the configuration stays
	}{
		{"its own", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Delta, nil},
		{"without deltas", PollRequest{Proxy: "p", Tags: []string{tag}}, Snapshot, nil},
		{"an unknown one", PollRequest{Proxy: "p", Tags: []string{"L-999"}, AcceptDelta: true}, Snapshot, nil},
		{"another proxy's", PollRequest{Proxy: "q", Tags: []string{tag}, AcceptDelta: true}, Snapshot, nil},
		{"another zone", PollRequest{Proxy: "p", Zone: "b", Tags: []string{tag}, AcceptDelta: true}, Snapshot, nil},
		{"other classes", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Snapshot, oneClass},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := defaultTestConfig()
			if test.change != nil {
				test.change(&config)
			}
			next := h.restart(config, 1000)
			next.mustSetEndpoints(list[:1]) // one host is removed, so that there is something to send
			request := test.request
			request.WaitMs = 60000
			poll := next.poll(request)
			next.advance(400)
			response, ok := next.responses[poll]
			if !ok || response.Kind != test.want || response.Kind == Delta && response.BaseTag != tag {
				t.Errorf("the response is %+v (given: %v), want the kind %d, a delta onto %s", response, ok, test.want, tag)
			}
		})
	}
}

// A host that started shortly before the restart is still warming up after it, though the endpoint list gives no start
// time. A host that has started since then according to the list begins its slow start again.
func TestRestartDuringSlowStart(t *testing.T) {
	config := defaultTestConfig()
	h := newHarness(t, config)
	list := h.readyEndpoints(3)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(1000)
	added := Endpoint{Host: hostName(9), Zone: "a", State: routing.Ready, Weight: 1}
	h.mustSetEndpoints(append(list, added))
	h.advance(2000)
	slowStartFactor := func(of *harness, host string) float64 { return of.mustHostInfo(host).Explanation.SlowStartFactor }
	before := slowStartFactor(h, added.Host)

	restored := h.restart(config, 1000)
	restored.mustSetEndpoints(append(list, added))
	restored.advance(10)
	if got := slowStartFactor(restored, added.Host); got <= before || got > before+0.1 || got >= 1 {
		t.Errorf("the slow-start factor is %.2f before and %.2f after the restart, want a rise by at most 0.1, below 1",
			before, got)
	}

	unrestored := newHarness(t, config)
	unrestored.nowMs = restored.nowMs
	unrestored.mustSetEndpoints(append(list, added))
	if got := slowStartFactor(unrestored, added.Host); got != 1 {
		t.Errorf("without a state the slow-start factor is %.2f, want 1: the host counts as started long ago", got)
	}

	list[0].StartedMs = h.nowMs + 500
	startedSince := h.restart(config, 1000)
	startedSince.mustSetEndpoints(append(list, added))
	startedSince.advance(10)
	if got := slowStartFactor(startedSince, list[0].Host); got > 0.3 {
		t.Errorf("the slow-start factor of a host that has started again is %.2f, want at most 0.3", got)
	}
}

// After a restart within the drain grace, proxies that return with the earlier tables get the removal before the grace
// is over. The drain counts from the time at which the earlier incarnation first observed it.
func TestRestartDuringDrain(t *testing.T) {
	config := defaultTestConfig()
	h := newHarness(t, config)
	list := h.readyEndpoints(3)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(1000)
	h.pollAgain(PollRequest{Proxy: "p", WaitMs: 60000})
	tag := h.newestTag("p")
	list[1].State = routing.Draining
	drainingSinceMs := h.nowMs
	h.mustSetEndpoints(list) // the controller is killed before the drain reaches the proxies

	next := h.restart(config, 800)
	next.mustSetEndpoints(list)
	next.advance(200)
	poll := next.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
	next.advance(config.safety.DrainGraceMs - 1000)
	response, ok := next.responses[poll]
	if !ok || !strings.Contains(string(response.Body()), `"10.0.0.1:80":null`) {
		t.Errorf("poll %d got a response: %v, want the removal of 10.0.0.1:80 within the drain grace; trace:\n%s",
			poll, ok, next.trace.String())
	}
	if snapshot := next.Snapshot(next.nowMs); snapshot.Hosts[1].Drains != drainingSinceMs {
		t.Errorf("the host is draining since %g ms, want %g ms", snapshot.Hosts[1].Drains, drainingSinceMs)
	}
}

// After a restart while a third of the requests is admitted, the restored admission ratio rises with the age of the
// state instead of starting at 1.
func TestRestartDuringAdmissionControl(t *testing.T) {
	const snapshotMs = 50000
	snapshot := &statepb.State{
		Life: "L",
		At:   snapshotMs,
		Fleet: &statepb.Fleet{
			Level: 0.3, Classes: []string{"sheet", "finish"}, Shares: []float64{0.2, 0.9}, At: snapshotMs,
		},
	}
	for _, test := range []struct{ laterMs, admissionRatio, sheetRatio float64 }{
		{1000, 0.32, 0.23},
		{20000, 0.65, 0.6},
		{300e3, 1, 1},
	} {
		t.Run(fmt.Sprintf("after %g ms", test.laterMs), func(t *testing.T) {
			h := restoreHarness(t, defaultTestConfig(), snapshot, snapshotMs+test.laterMs)
			h.mustSetEndpoints(h.readyEndpoints(2))
			h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
			h.advance(1500)
			response, _ := h.PublishedTables("p")
			sheetRatio := response.Tables()[0].AdmissionRatio
			admissionRatio, _, _ := h.balancer.Admission()
			if math.Abs(admissionRatio-test.admissionRatio) > 0.02 || math.Abs(sheetRatio-test.sheetRatio) > 0.02 {
				t.Errorf("the admission ratio is %.2f and that of sheet %.2f, want %.2f and %.2f",
					admissionRatio, sheetRatio, test.admissionRatio, test.sheetRatio)
			}
		})
	}
}

// Overrides survive a restart, and expire as before.
func TestOverridesSurviveRestart(t *testing.T) {
	config := defaultTestConfig()
	h := newHarness(t, config)
	list := h.readyEndpoints(4)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(1000)
	for _, command := range []operator.Command{
		{Host: list[0].Host, State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "ann"},
		{Host: list[1].Host, Weight: 3},
		{Host: hostName(8), Weight: -1, Add: &operator.AddedHost{Zone: "b", Weight: 1, Cores: 4}},
	} {
		h.applyOverrides(command)
	}
	next := h.restart(config, 5000)
	next.mustSetEndpoints(list)
	next.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	next.advance(1000)
	describeHosts := func() string {
		var descriptions []string
		for _, info := range next.HostInfos() {
			descriptions = append(descriptions, fmt.Sprintf("%s %s base weight %g", info.Host, info.State, info.BaseWeight))
		}
		return strings.Join(descriptions, "; ")
	}
	next.printf("after the restart: %s", describeHosts())
	next.advance(20000)
	next.printf("20 s later: %s", describeHosts())
	next.checkTrace()
}

// A host that was ejected is restored with one failed health check, so that it is checked again soon. A host that is
// now in another zone, or has another start time, is not restored.
func TestRestoreEjectedHost(t *testing.T) {
	for _, test := range []struct {
		name         string
		known        state.Host
		wantFailures int
		wantRestored int
	}{
		{"timed out", state.Host{Zone: "a", Weight: 1, Ejected: true, ReportConfidence: 1}, 1, 1},
		{"unreachable", state.Host{Zone: "a", Weight: 1, Ejected: true, Unreachable: true, ReportConfidence: 0.2}, 1, 1},
		{"not ejected", state.Host{Zone: "a", Weight: 1, ReportConfidence: 1}, 0, 1},
		{"in another zone", state.Host{Zone: "b", Weight: 1, Ejected: true, ReportConfidence: 1}, 0, 0},
		{"another start", state.Host{Zone: "a", Weight: 1, StartedMs: 400, Ejected: true, ReportConfidence: 1}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := defaultTestConfig()
			config.deployment.HealthChecks = true
			h := newHarness(t, config)
			list := h.readyEndpoints(1)
			list[0].StartedMs = 300
			known := test.known
			h.Restore(h.nowMs, &state.Restored{
				Incarnation:    "K",
				ElapsedMs:      500,
				AdmissionRatio: 1,
				Hosts:          map[string]*state.Host{list[0].Host: &known},
			})
			h.mustSetEndpoints(list)
			info := h.mustHostInfo(list[0].Host)
			if got := info.Explanation.ConsecutiveFailures; got != test.wantFailures {
				t.Errorf("the host has %d failed health checks, want %d", got, test.wantFailures)
			}
			if got := h.Status(h.nowMs).Restored.Hosts; got != test.wantRestored {
				t.Errorf("%d hosts were restored, want %d", got, test.wantRestored)
			}
			distrusted := info.Reports != nil && info.Reports.DistrustReason != ""
			if want := test.known.ReportConfidence < 1; distrusted != want {
				t.Errorf("the reports are distrusted: %v, want %v", distrusted, want)
			}
		})
	}
}

// reconnectingFleet is a deployment of 600 proxies, which reconnect within a second after a restart.
type reconnectingFleet struct {
	config testConfig
	h      *harness // the first incarnation
}

const reconnectingProxies = 600

func newReconnectingFleet(t testing.TB) *reconnectingFleet {
	config := defaultTestConfig()
	config.deployment.Proxies = reconnectingProxies
	config.channel.EntriesPerSecond = 8000
	config.channel.MaxBacklog = 16000
	h := newHarness(t, config)
	h.hideNotModified = true
	return &reconnectingFleet{config, h}
}

func (f *reconnectingFleet) request(number int) PollRequest {
	return PollRequest{
		Proxy:       fmt.Sprintf("p%03d", number),
		Zone:        f.config.deployment.Zones[number%2],
		WaitMs:      60000,
		AcceptDelta: true,
	}
}

// connect has all proxies poll an incarnation within a second. If withTags is set, every second proxy sends its tag of
// the first incarnation.
func (f *reconnectingFleet) connect(to *harness, withTags bool) {
	to.t.Helper()
	for i := range reconnectingProxies {
		request := f.request(i)
		request.RequestRate = 1 + float64(i%50)
		if withTags && i%2 == 0 {
			request.Tags = []string{f.h.newestTag(request.Proxy)}
		}
		to.poll(request)
		if i%6 == 5 {
			to.advance(10)
		}
		f.checkBacklog(to)
	}
}

func (f *reconnectingFleet) checkBacklog(of *harness) {
	of.t.Helper()
	if backlog := of.channel.backlog(); backlog > f.config.channel.MaxBacklog {
		of.t.Fatalf("the backlog is %g entries, want at most %g", backlog, f.config.channel.MaxBacklog)
	}
}

// acknowledgeAll lets time pass until all proxies hold the complete table and have acknowledged it.
func (f *reconnectingFleet) acknowledgeAll() {
	f.h.t.Helper()
	for range 15 {
		f.h.advance(3000)
		for i := range reconnectingProxies {
			f.h.pollAgain(f.request(i))
		}
	}
}

// 600 proxies reconnect within a second, half of them with the earlier tables. The limits of the channel hold, all
// proxies have tables after ten seconds, and those with a tag continue from their earlier tables.
func TestManyProxiesReconnect(t *testing.T) {
	fleet := newReconnectingFleet(t)
	list := fleet.h.readyEndpoints(40)
	fleet.h.mustSetEndpoints(list)
	fleet.connect(fleet.h, false)
	fleet.acknowledgeAll()

	next := fleet.h.restart(fleet.config, 3000)
	next.hideNotModified = true
	next.mustSetEndpoints(list[1:]) // a host was removed meanwhile
	beganMs := next.nowMs
	fleet.connect(next, true)
	for next.nowMs < beganMs+10000 {
		next.advance(100)
		fleet.checkBacklog(next)
	}
	for _, session := range next.sessions.byProxy {
		response, ok := next.PublishedTables(session.proxy)
		if !ok || len(response.Tables()[0].Hosts) == 0 {
			t.Fatalf("%s has published tables: %v, want them with at least one host", session.proxy, ok)
		}
	}
	bytes := map[ResponseKind]int{}
	for _, response := range next.responses {
		bytes[response.Kind] += len(response.Body())
	}
	carriedOver := next.Status(next.nowMs).Restored.Versions
	if carriedOver < 290 {
		t.Errorf("%d proxies continued from their earlier tables, want 290 or more", carriedOver)
	}
	t.Logf("%d continued from their earlier tables; %d bytes of deltas, %d of snapshots",
		carriedOver, bytes[Delta], bytes[Snapshot])
}

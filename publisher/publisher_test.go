package publisher

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/controller"
	"barleysail/internal/golden"
)

// weightedHost is a host with its weight in a routing table.
type weightedHost struct {
	name   string
	weight float64
}

// routingTables returns the table of the request class "sheet".
func routingTables(admissionRatio float64, hosts ...weightedHost) []controller.Table {
	table := controller.Table{Class: "sheet", Assigned: true, AdmissionRatio: admissionRatio, RetryPolicy: 1}
	for _, host := range hosts {
		table.Hosts = append(table.Hosts, host.name)
		table.Weights = append(table.Weights, host.weight)
	}
	return []controller.Table{table}
}

// A proxy with an old configuration reaches its target in the order of buildPlan: first the servers that should get
// traffic, then weights, drains, and after the drain grace the removals.
func TestReconcile(t *testing.T) {
	proxy := newFakeProxy(t, "old:80", "a:80")
	updater := NewProxyUpdater(3000)
	var out strings.Builder
	step := func(title string, nowMs float64) {
		proxy.commands = nil
		proxy.sendCommands(updater, nowMs, 100)
		fmt.Fprintf(&out, "%s at %.0f ms, converged %v\n", title, nowMs, updater.Converged(nowMs))
		for _, command := range proxy.commands {
			fmt.Fprintln(&out, "  "+command)
		}
	}
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.5}))
	step("before the state is read", 0)
	updater.ObserveServers(0, proxy.states())
	step("after its old configuration is read", 0)
	step("before the end of the drain grace", 2999)
	step("at the end of the drain grace", 3000)
	updater.SetTarget(routingTables(0.25, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.5}))
	step("a lower admission ratio", 4000)
	updater.SetTarget(routingTables(0.25, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.001}))
	step("a small weight", 5000)
	delete(proxy.servers, "sheet/b:80")
	proxy.setWeight("sheet/a:80", 3)
	fmt.Fprintf(&out, "%d foreign changes\n", updater.ObserveServers(6000, proxy.states()))
	step("after changes by another client", 6000)
	proxy.rejectsAdding = true
	updater.SetTarget(routingTables(0.25, weightedHost{"c:80", 1}))
	step("a proxy that rejects new servers keeps its servers", 7000)
	proxy.rejectsAdding = false
	updater.ObserveServers(8000, proxy.states())
	step("once it accepts new servers", 8000)
	updater.ConnectionLost()
	step("without a connection", 9000)
	golden.Compare(t, "reconcile", out.String())
}

// A RejectedError names the command and the response. A rejected admission ratio is not sent again.
func TestRejectedRatio(t *testing.T) {
	proxy := newFakeProxy(t, "a:80")
	proxy.rejectsRatios = true
	updater := NewProxyUpdater(3000)
	if err := updater.ObserveResponse(0, "without a command"); err != nil {
		t.Errorf("got error %v for a response without a command, want none", err)
	}
	updater.SetTarget(routingTables(0.5, weightedHost{"a:80", 1}))
	updater.ObserveServers(0, proxy.states())
	command, ok := updater.NextCommand(0)
	if !ok {
		t.Fatal("got no command, want one that sets the admission ratio")
	}
	if _, ok := updater.NextCommand(0); ok || updater.Converged(0) {
		t.Errorf("got command %v, converged %v while a command is in flight, want false, false", ok, updater.Converged(0))
	}
	err := updater.ObserveResponse(0, proxy.execute(command))
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("got error %v, want a *RejectedError", err)
	}
	if want := "set var proc.share_sheet int(500): unknown command."; err.Error() != want {
		t.Errorf("got error %q, want %q", err, want)
	}
	if command, ok := updater.NextCommand(0); ok || !updater.Converged(0) {
		t.Errorf("got command %q after the ratio was rejected, want none and a converged proxy", command)
	}
}

// The deadline is the end of the drain grace of a drained server; there is none after its removal.
func TestNextDeadline(t *testing.T) {
	proxy := newFakeProxy(t, "old:80", "a:80")
	updater := NewProxyUpdater(3000)
	updater.ObserveServers(0, proxy.states())
	checkDeadline := func(wantMs float64) {
		t.Helper()
		if deadlineMs := updater.NextDeadlineMs(); deadlineMs != wantMs {
			t.Errorf("got deadline %g ms, want %g ms", deadlineMs, wantMs)
		}
	}
	checkDeadline(math.Inf(1))
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}))
	proxy.sendCommands(updater, 1000, 100)
	checkDeadline(4000)
	if !updater.Converged(4000) {
		t.Error("got converged false with a drained server, want true")
	}
	proxy.sendCommands(updater, 4000, 100)
	checkDeadline(math.Inf(1))
}

// The updater adds the first server of a backend that has none.
func TestFirstServerOfBackend(t *testing.T) {
	proxy := newFakeProxy(t)
	updater := NewProxyUpdater(3000)
	updater.ObserveServers(0, proxy.states())
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}))
	proxy.sendCommands(updater, 0, 100)
	if !proxy.hasReadyServer("sheet") || !updater.Converged(0) {
		t.Errorf("got servers %v after the commands %v, want a ready one and a converged proxy",
			proxy.servers, proxy.commands)
	}
}

// updaterTest runs an updater on a proxy with random targets, changes by other clients and lost connections.
type updaterTest struct {
	t       *rapid.T
	proxy   *fakeProxy
	updater *ProxyUpdater
	nowMs   float64
	target  *controller.Table // nil before the first one
}

// drawChange draws the event of a step: a new target, a lost connection, a change by another client, or none.
func (u *updaterTest) drawChange() {
	switch rapid.IntRange(0, 3).Draw(u.t, "change") {
	case 0:
		u.drawTarget()
	case 1:
		u.updater.ConnectionLost()
		u.updater.ObserveServers(u.nowMs, u.proxy.states())
	case 2: // another client changes the weights, and leaves a server that takes traffic
		for _, key := range slices.Sorted(maps.Keys(u.proxy.servers)) {
			u.proxy.setWeight(key, 7)
		}
	}
}

func (u *updaterTest) drawTarget() {
	var hosts []weightedHost
	for i := range 5 {
		weight := rapid.SampledFrom([]float64{0, 0.001, 0.5, 1}).Draw(u.t, "weight")
		if weight > 0 {
			hosts = append(hosts, weightedHost{fmt.Sprintf("h%d:80", i), weight})
		}
	}
	if len(hosts) > 0 {
		tables := routingTables(1, hosts...)
		u.target = &tables[0]
		u.updater.SetTarget(tables)
	}
}

// converge passes time and readings of the state for as long as the updater needs to reach its target.
func (u *updaterTest) converge() {
	for range 3 {
		u.nowMs += 2000
		u.updater.ObserveServers(u.nowMs, u.proxy.states())
		u.proxy.sendCommands(u.updater, u.nowMs, 1000)
	}
}

// checkTarget checks that the proxy has exactly the servers and weights of the target.
func (u *updaterTest) checkTarget() {
	u.t.Helper()
	want, _ := quantizeWeights(u.target.Weights, u.updater.scales["sheet"])
	got := map[string]int{}
	for _, state := range u.proxy.states() {
		if state.AdminState == 0 {
			got[state.Server] = state.Weight
		}
	}
	for i, host := range u.target.Hosts {
		if got[host] != want[i] {
			u.t.Fatalf("host %s: got weight %d, want %d; all weights %v", host, got[host], want[i], got)
		}
	}
	if len(got) != len(want) || len(u.proxy.servers) != len(want) {
		u.t.Fatalf("got servers %v, want the weights %v of %v", u.proxy.servers, want, u.target.Hosts)
	}
	if !u.updater.Converged(u.nowMs) {
		u.t.Fatalf("got converged false with %v, want true", u.proxy.servers)
	}
}

// For any targets, changes by other clients and lost connections, a backend always has a server that takes traffic, and
// in the end the proxy has the servers and weights of its target.
func TestBackendIsNeverEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &updaterTest{t: t, proxy: newFakeProxy(t, "h0:80"), updater: NewProxyUpdater(1000)}
		test.updater.ObserveServers(test.nowMs, test.proxy.states())
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			test.nowMs += rapid.SampledFrom([]float64{1, 400, 1500}).Draw(t, "pauseMs")
			test.drawChange()
			for range rapid.IntRange(0, 12).Draw(t, "commands") {
				test.proxy.sendCommands(test.updater, test.nowMs, 1)
				if !test.proxy.hasReadyServer("sheet") {
					t.Fatalf("got no server that takes traffic after the commands %v, want one", test.proxy.commands)
				}
			}
		}
		test.converge()
		if test.target != nil {
			test.checkTarget()
		}
	})
}

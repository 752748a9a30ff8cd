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

// A proxy with an old configuration is brought to its tables by the commands that are missing: servers with traffic
// first, weights, drains, and after the drain grace the removals.
func TestReconcile(t *testing.T) {
	proxy := newFakeProxy(t, "old:80", "a:80")
	updater := NewProxyUpdater(3000)
	var out strings.Builder
	step := func(title string, nowMs float64) {
		proxy.commands = nil
		proxy.sendCommands(updater, nowMs, 100)
		fmt.Fprintf(&out, "%s at %.0f, settled %v\n", title, nowMs, updater.Converged(nowMs))
		for _, command := range proxy.commands {
			fmt.Fprintln(&out, "  "+command)
		}
	}
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.5}))
	step("before anything is known", 0)
	updater.ObserveServers(0, proxy.states())
	step("its old file", 0)
	step("before the grace is over", 2999)
	step("after it", 3000)
	updater.SetTarget(routingTables(0.25, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.5}))
	step("a level", 4000)
	updater.SetTarget(routingTables(0.25, weightedHost{"a:80", 1}, weightedHost{"b:80", 0.001}))
	step("a small weight", 5000)
	delete(proxy.servers, "sheet/b:80")
	proxy.setWeight("sheet/a:80", 3)
	fmt.Fprintf(&out, "others changed %d\n", updater.ObserveServers(6000, proxy.states()))
	step("behind its back", 6000)
	proxy.rejectsAdding = true
	updater.SetTarget(routingTables(0.25, weightedHost{"c:80", 1}))
	step("a proxy that takes no further server keeps those it has", 7000)
	proxy.rejectsAdding = false
	updater.ObserveServers(8000, proxy.states())
	step("once it does", 8000)
	updater.ConnectionLost()
	step("without a connection", 9000)
	golden.Compare(t, "reconcile", out.String())
}

// A rejection names the command and the response. An admission ratio that is rejected is not sent again.
func TestRejectedRatio(t *testing.T) {
	proxy := newFakeProxy(t, "a:80")
	proxy.rejectsRatios = true
	updater := NewProxyUpdater(3000)
	if err := updater.ObserveResponse(0, "without a command"); err != nil {
		t.Errorf("a response without a command: %v", err)
	}
	updater.SetTarget(routingTables(0.5, weightedHost{"a:80", 1}))
	updater.ObserveServers(0, proxy.states())
	command, ok := updater.NextCommand(0)
	if !ok {
		t.Fatal("no command")
	}
	if _, ok := updater.NextCommand(0); ok || updater.Converged(0) {
		t.Error("a second command, or settled, while one is in flight")
	}
	err := updater.ObserveResponse(0, proxy.execute(command))
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("%v is no RejectedError", err)
	}
	if want := "set var proc.share_sheet int(500): unknown command."; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
	if command, ok := updater.NextCommand(0); ok || !updater.Converged(0) {
		t.Errorf("%q is sent after the ratio was rejected", command)
	}
}

// The deadline is the end of the drain grace of a server that is drained, and none after its removal.
func TestNextDeadline(t *testing.T) {
	proxy := newFakeProxy(t, "old:80", "a:80")
	updater := NewProxyUpdater(3000)
	updater.ObserveServers(0, proxy.states())
	checkDeadline := func(wantMs float64) {
		t.Helper()
		if deadlineMs := updater.NextDeadlineMs(); deadlineMs != wantMs {
			t.Errorf("the deadline is %g, want %g", deadlineMs, wantMs)
		}
	}
	checkDeadline(math.Inf(1))
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}))
	proxy.sendCommands(updater, 1000, 100)
	checkDeadline(4000)
	if !updater.Converged(4000) {
		t.Error("a drained server counts as unsettled")
	}
	proxy.sendCommands(updater, 4000, 100)
	checkDeadline(math.Inf(1))
}

// A backend without any server gets its first one.
func TestFirstServerOfBackend(t *testing.T) {
	proxy := newFakeProxy(t)
	updater := NewProxyUpdater(3000)
	updater.ObserveServers(0, proxy.states())
	updater.SetTarget(routingTables(1, weightedHost{"a:80", 1}))
	proxy.sendCommands(updater, 0, 100)
	if !proxy.hasReadyServer("sheet") || !updater.Converged(0) {
		t.Errorf("%v after %v", proxy.servers, proxy.commands)
	}
}

// updaterTest drives a proxy with drawn targets, changes by others and lost connections.
type updaterTest struct {
	t       *rapid.T
	proxy   *fakeProxy
	updater *ProxyUpdater
	nowMs   float64
	target  *controller.Table // nil before the first one
}

// drawChange draws what happens in a step: a new target, a lost connection, a change by others, or nothing.
func (u *updaterTest) drawChange() {
	switch rapid.IntRange(0, 3).Draw(u.t, "change") {
	case 0:
		u.drawTarget()
	case 1:
		u.updater.ConnectionLost()
		u.updater.ObserveServers(u.nowMs, u.proxy.states())
	case 2: // somebody else changes weights, and leaves a server that takes traffic
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
		if state.Admin == 0 {
			got[state.Server] = state.Weight
		}
	}
	for i, host := range u.target.Hosts {
		if got[host] != want[i] {
			u.t.Fatalf("%s has the weight %d, want %d: %v", host, got[host], want[i], got)
		}
	}
	if len(got) != len(want) || len(u.proxy.servers) != len(want) {
		u.t.Fatalf("the proxy has %v, want %v of %v", u.proxy.servers, want, u.target.Hosts)
	}
	if !u.updater.Converged(u.nowMs) {
		u.t.Fatalf("not settled with %v", u.proxy.servers)
	}
}

// Whatever the targets are, whatever others change and whenever the connection breaks, no backend is left without a
// server that takes traffic, and in the end the proxy has what it should.
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
					t.Fatalf("no server takes traffic after %v", test.proxy.commands)
				}
			}
		}
		test.converge()
		if test.target != nil {
			test.checkTarget()
		}
	})
}

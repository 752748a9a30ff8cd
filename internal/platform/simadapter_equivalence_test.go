package platform

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

const (
	// simadapterTimeout bounds the run of simadapter, which normally takes less than a second.
	simadapterTimeout = time.Minute
	// buildTimeout bounds the compilation of simadapter, which may start from an empty build cache.
	buildTimeout = 5 * time.Minute
)

// simadapterOutput is a routing.UpdateWriter that writes a balancer's decisions as cmd/simadapter does.
type simadapterOutput struct {
	wire     *simwire.Writer
	balancer *instance.Instance
}

func (o simadapterOutput) SetWeight(table, host int, weight float64) {
	o.wire.Weigh(0, table, o.balancer.HostName(host), weight)
}
func (o simadapterOutput) AssignTable(proxy, table, classes int) {
	o.wire.AttachTable(0, proxy, table, classes)
}
func (o simadapterOutput) SetAdmission(table, classes int, ratio float64, retryPolicy int) {
	o.wire.Throttle(0, table, classes, ratio, retryPolicy)
}
func (o simadapterOutput) StampVersion(number int) { o.wire.Seal(0, number) }
func (o simadapterOutput) CheckHealth(host int)    { o.wire.Probe(0, o.balancer.HostName(host)) }
func (o simadapterOutput) ScheduleRound(atMs float64) {
	o.wire.After(0, int64(atMs*microsecondsPerMs), 1)
}
func (o simadapterOutput) WatchEndpoints() { o.wire.Subscribe(0) }
func (o simadapterOutput) Log(event routing.Event) {
	o.wire.Remark(0, event.Text(routing.FormatHostIndex))
}

// equivalenceRun passes events to a node and collects the same events as input of simadapter, round by round.
type equivalenceRun struct {
	t            *testing.T
	node         *Node
	collector    *peerSession
	nodeOutput   bytes.Buffer
	writer       simadapterOutput
	adapterInput bytes.Buffer
	rounds       int
}

func newEquivalenceRun(t *testing.T) *equivalenceRun {
	t.Helper()
	run := &equivalenceRun{t: t, node: newIdleNode(t), collector: &peerSession{proxy: noProxy}}
	run.node.connect(run.collector)
	run.writer = simadapterOutput{simwire.NewWriter(&run.nodeOutput), run.node.balancer}
	return run
}

// round runs a round of the node, and adds the events of the round to the input of simadapter.
func (r *equivalenceRun) round(nowMs float64, events ...string) {
	r.t.Helper()
	r.rounds++
	fmt.Fprintf(&r.adapterInput, `{"event_type":"Turn","SimTimeUs":%d,"n":%d}`+"\n%s\n"+`{"event_type":"End"}`+"\n",
		int64(nowMs*microsecondsPerMs), r.rounds, strings.Join(events, "\n"))
	r.node.balancer.Round(nowMs, r.writer)
	if err := r.writer.wire.Done(int64(r.rounds)); err != nil {
		r.t.Fatal(err)
	}
}

// report passes a message of a collector to the node.
func (r *equivalenceRun) report(words string) {
	r.t.Helper()
	message, err := r.node.decoder.decodeSessionMessage(strings.Fields(words))
	if err := r.node.handleMessage(r.collector, message, err); err != nil {
		r.t.Fatal(err)
	}
}

// testHost is a host of zone a or b in both forms: as an entry of the endpoint list and as a record of the simulator.
type testHost struct {
	name, zone, lifecycle string
	phase                 int // the simulator's number for the lifecycle
	startedMs             float64
}

func (h testHost) entry() endpointEntry {
	return endpointEntry{Name: h.name, Address: "127.0.0.1:1", Zone: h.zone, Lifecycle: h.lifecycle, Weight: 1,
		StartedAtMs: h.startedMs}
}

func (h testHost) record() string {
	return fmt.Sprintf(`{"Host":"%s","Area":"%s","Phase":%d,"W":1,"LaunchedUs":%d}`,
		h.name, h.zone, h.phase, int64(h.startedMs*microsecondsPerMs))
}

// endpoints passes a watch event to the node and returns the same event for simadapter; kind is the simulator's number
// for the kind of event.
func (r *equivalenceRun) endpoints(kind, number int, snapshot, cached bool, hosts ...testHost) string {
	event := watchEvent{Snapshot: snapshot}
	var records []string
	for _, host := range hosts {
		event.Endpoints = append(event.Endpoints, host.entry())
		records = append(records, host.record())
	}
	r.node.applyWatchEvent(event, cached)
	return fmt.Sprintf(`{"event_type":"Endpoints","I":0,"How":%d,"Number":%d,"Records":[%s]}`,
		kind, number, strings.Join(records, ","))
}

// A node and simadapter pass their inputs to the balancer alike: the same events, each in its own encoding, result in
// the same output in each round.
func TestEquivalenceWithSimadapter(t *testing.T) {
	simadapter := buildSimadapter(t)
	const delta, snapshot, cachedSnapshot = 3, 1, 4 // the simulator's kinds of Endpoints
	run := newEquivalenceRun(t)
	first := testHost{name: "s-1", zone: "a", lifecycle: "Ready", phase: 1}
	second := testHost{name: "s-2", zone: "b", lifecycle: "Ready", phase: 1}
	started := testHost{name: "s-3", zone: "a", lifecycle: "Ready", phase: 1, startedMs: 1500}

	start := fmt.Sprintf(`{"event_type":"Start","I":0,"Prng":%d,"Settings":%s}`, 0x1f,
		strings.ReplaceAll(testSettings, "\n", ""))
	known := run.endpoints(cachedSnapshot, 1, true, true, first, second)
	run.node.connectProxy(&peerSession{connection: &connection{}, proxy: 2, zone: 1, weight: 3})
	run.round(1000, start, known, `{"event_type":"CheckedIn","I":0,"Px":2,"Area":"b","W":3,"Flag":true}`)
	run.round(1600, run.endpoints(snapshot, 2, true, false, first, second, started))
	for i := range 40 {
		var events []string
		for host, meanMs := range []float64{100, 300} {
			run.report(fmt.Sprintf("LOAD zone a server s-%d tries 20 failed %d mean_ms %g span_ms 1000 load util:0.6,qps:20",
				host+1, host, meanMs))
			events = append(events, fmt.Sprintf(`{"event_type":"Stats","I":0,"WindowUs":1000000,"Errors":%d,"Host":"s-%d",`+
				`"CostTimeUs":%d,"Area":"a","Count":20,"Report":{"util":0.6,"qps":20}}`,
				host, host+1, int64(meanMs*microsecondsPerMs)))
		}
		run.report("RATE proxy 2 class sign tries 9 failed 0 span_ms 1000")
		events = append(events,
			`{"event_type":"Arrivals","I":0,"Px":2,"Kind":"sign","Count":9,"Errors":0,"WindowUs":1000000}`)
		switch i {
		case 20:
			draining := testHost{name: "s-2", zone: "b", lifecycle: "Terminating", phase: 2}
			events = append(events, run.endpoints(delta, 3, false, false, draining))
		case 30:
			run.node.disconnect(run.node.sessions.active[2])
			events = append(events, `{"event_type":"Disconnected","I":0,"Px":2}`)
		}
		run.round(2000+1000*float64(i), events...)
	}
	const minOutputBytes = 2000 // an almost empty output would make the comparison meaningless
	if run.nodeOutput.Len() < minOutputBytes {
		t.Errorf("output of the node has %d bytes, want at least %d", run.nodeOutput.Len(), minOutputBytes)
	}
	adapterOutput := runSimadapter(t, simadapter, &run.adapterInput)
	if diff := cmp.Diff(strings.Split(adapterOutput, "\n"), strings.Split(run.nodeOutput.String(), "\n")); diff != "" {
		t.Errorf("output differs (-simadapter +node):\n%s", diff)
	}
}

func buildSimadapter(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), buildTimeout)
	defer cancel()
	program := filepath.Join(t.TempDir(), "simadapter")
	command := exec.CommandContext(ctx, "go", "build", "-o", program, "barleysail/cmd/simadapter")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("building simadapter: %v: %s", err, output)
	}
	return program
}

func runSimadapter(t *testing.T, program string, input *bytes.Buffer) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), simadapterTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program)
	command.Stdin = input
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	return string(output)
}

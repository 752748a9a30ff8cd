package platform

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"barleysail/routing"
)

// At debug level the balancer's view of the hosts is logged at most once per traceIntervalMs; at info level, never.
func TestHostTrace(t *testing.T) {
	for _, test := range []struct {
		level zerolog.Level
		lines int
	}{{zerolog.DebugLevel, 1}, {zerolog.InfoLevel, 0}} {
		t.Run(test.level.String(), func(t *testing.T) {
			node := newIdleNode(t)
			ready := endpointEntry{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}
			draining := endpointEntry{Name: "s-2", Address: "127.0.0.1:1", Zone: "b", Lifecycle: "Terminating", Weight: 1}
			node.applyWatchEvent(watchEvent{Snapshot: true, Endpoints: []endpointEntry{ready, draining}}, true)
			var output bytes.Buffer
			node.log = zerolog.New(&output).Level(test.level)
			node.traceHosts(10000)
			node.traceHosts(10000 + traceIntervalMs/2)
			if lines := bytes.Count(output.Bytes(), []byte("\n")); lines != test.lines {
				t.Fatalf("logged %d lines, want %d: %s", lines, test.lines, output.String())
			}
			if test.lines > 0 {
				expectHostStates(t, output.Bytes(), map[string]string{"s-1": "ready", "s-2": "draining"})
			}
		})
	}
}

// expectHostStates compares the hosts in a log line with their states.
func expectHostStates(t *testing.T, line []byte, want map[string]string) {
	t.Helper()
	var logged struct {
		Hosts []struct{ Host, State string }
	}
	if err := json.Unmarshal(line, &logged); err != nil {
		t.Fatal(err)
	}
	if len(logged.Hosts) != len(want) {
		t.Errorf("%d hosts in the log line, want %d: %s", len(logged.Hosts), len(want), line)
	}
	for _, host := range logged.Hosts {
		if want[host.Host] != host.State {
			t.Errorf("state of host %s is %q, want %q", host.Host, host.State, want[host.Host])
		}
	}
}

// Each result of a health check and each state of a host has a distinct name in log lines.
func TestLogTerms(t *testing.T) {
	terms := map[string]bool{}
	for _, result := range []routing.HealthCheckResult{routing.Healthy, routing.Rejected, routing.TimedOut,
		routing.Unreachable} {
		terms[healthCheckResultName(result)] = true
	}
	for _, state := range []routing.HostState{routing.Removed, routing.Ready, routing.Draining} {
		terms[hostStateName(state)] = true
	}
	if len(terms) != 7 {
		t.Errorf("%d distinct names, want 7: %v", len(terms), terms)
	}
}

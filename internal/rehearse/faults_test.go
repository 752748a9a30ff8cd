package rehearse

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/internal/daemon"
	"barleysail/internal/rehearse/daypb"
	"barleysail/internal/rules"
)

// runScenario runs a script and calls the functions of inspect before the controllers are stopped. It returns the
// result, the scenario with its samples, and the output.
func runScenario(t *testing.T, text string, inspect ...func(*scenario)) (*Result, *scenario, string) {
	t.Helper()
	script := &daypb.Day{}
	if err := prototext.Unmarshal([]byte(text), script); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var inspected *scenario
	keepLimits := func(*rules.Limits) {}
	log := zerolog.New(io.Discard)
	result, err := runAndInspect(context.Background(), script, "test", "", "", &out, log, keepLimits, func(s *scenario) {
		inspected = s
		for _, check := range inspect {
			check(s)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return result, inspected, out.String()
}

// Faults in the load reports of 60 hosts: one host reports at 100 times the usual rate, one stops reporting, and one
// has a clock that is an hour ahead, while a tenth of the proxies reconnect at once. All invariants hold, the excess
// reports are rejected, the silent host is detected, and the other reports are still processed.
func TestHostReportFaults(t *testing.T) {
	t.Parallel()
	result, s, out := runScenario(t, `length_s: 12 seed: 5 stewards: 1 list_late_ms: 200
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 }
  intake { source_lines_per_s: 50 silent_ms: 2000 } }
hosts { zone: "a" count: 30 cores: 2 report_ms: 100 } hosts { zone: "b" count: 30 cores: 2 report_ms: 100 }
forwarders { zone: "a" count: 10 } forwarders { zone: "b" count: 10 }
traffic { class: "sheet" rate: 150 work_ms: 40 } traffic { class: "finish" rate: 150 work_ms: 20 effect: ONCE }
steps { at_s: 1 for_s: 20 what: FLOOD zone: "a" first: 1 count: 1 size: 100 }
steps { at_s: 2 for_s: 20 what: MUTE zone: "a" first: 2 count: 1 }
steps { at_s: 1 for_s: 20 what: AHEAD zone: "b" first: 2 count: 1 size: 3600 }
steps { at_s: 4 for_s: 1 what: CUT size: 0.1 }`)
	last := lastIngestSample(t, s)
	checkPassed(t, result, out)
	if s.ingest.rejectedReports.Load() == 0 || last.RateLimiter.Rejected == 0 {
		t.Errorf("%d responses with status 429, rate limiter %+v, want some reports to be rejected in both",
			s.ingest.rejectedReports.Load(), last.RateLimiter)
	}
	if last.Silent < 1 || last.Processed < 3000 || last.Queued > 5000 {
		t.Errorf("got %+v, want a silent host, 3000 processed lines or more, and at most 5000 queued", last)
	}
}

// The table guard rejects tables, since hosts of different sizes have equal weights at a load that saturates the small
// ones. All invariants hold while a host hangs, one drains and one crashes.
func TestInvariantsHoldWhileGuardRejects(t *testing.T) {
	t.Parallel()
	result, s, out := runScenario(t, `length_s: 12 seed: 6 stewards: 1 list_late_ms: 200
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } guard { cold_ms: 4000 grace_ms: 2500 }
  table_guard { on: true refuse: true over: 0.8 jump: 0.3 } }
hosts { zone: "a" count: 3 cores: 8 } hosts { zone: "a" count: 3 cores: 1 } hosts { zone: "b" count: 3 cores: 8 }
forwarders { zone: "a" count: 2 } forwarders { zone: "b" count: 2 }
traffic { class: "sheet" rate: 120 work_ms: 80 } traffic { class: "finish" rate: 60 work_ms: 40 effect: ONCE }
steps { at_s: 4 for_s: 2 what: HANG zone: "b" count: 1 } steps { at_s: 5 for_s: 3 what: DRAIN zone: "a" count: 1 }
steps { at_s: 6 for_s: 1.5 what: LOSE zone: "b" first: 1 count: 1 }`)
	checkPassed(t, result, out)
	if last := lastIngestSample(t, s); last.Repairs == 0 {
		t.Errorf("the guard rejected no tables:\n%s", out)
	}
}

// Callers are authenticated by certificates that are valid for 4 s and all renewed at the same time. A controller with
// an untrusted certificate is on every proxy's list, and unauthorized clients send requests in the name of a proxy and
// an operator. None of them is accepted, and all invariants hold while a host hangs and a controller restarts.
func TestUnauthorizedCallersAreRejected(t *testing.T) {
	t.Parallel()
	result, s, out := runScenario(t, `length_s: 10 seed: 8 stewards: 1 list_late_ms: 200
identities: true identity_life_s: 4
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } guard { cold_ms: 4000 grace_ms: 2500 } }
hosts { zone: "a" count: 3 report_ms: 200 } hosts { zone: "b" count: 3 }
forwarders { zone: "a" count: 2 } forwarders { zone: "b" count: 2 }
traffic { class: "sheet" rate: 30 work_ms: 30 } traffic { class: "finish" rate: 30 work_ms: 20 effect: ONCE }
steps { at_s: 2 for_s: 2 what: HANG zone: "a" count: 1 } steps { at_s: 5 for_s: 1 what: KILL steward: 0 }`)
	identities := s.identities
	checkPassed(t, result, out)
	if attempts, successes := identities.attempts.Load(), identities.successes.Load(); attempts < 50 || successes != 0 {
		t.Errorf("%d unauthorized requests, %d accepted, want 50 or more and none accepted:\n%s", attempts, successes, out)
	}
	if last := lastIngestSample(t, s); last.Processed < 80 { // includes load reports of hosts
		t.Errorf("got %+v, want 80 processed request stats and load reports or more", last)
	}
}

// lastIngestSample returns the controller's last ingest report of a scenario.
func lastIngestSample(t *testing.T, s *scenario) daemon.IngestReport {
	t.Helper()
	if len(s.ingest.samples) == 0 {
		t.Fatal("the controller answered no request for its ingest report")
	}
	return s.ingest.samples[len(s.ingest.samples)-1]
}

// The leader is killed while a host hangs and another drains. The standby takes over with the leader's state, and the
// leader restores its state when it returns. All invariants hold. All peers are authenticated by certificates.
func TestStandbyTakesOver(t *testing.T) {
	t.Parallel()
	inspect := func(s *scenario) {
		second := s.controllers[1].(*daemon.Daemon).Operators().Status()
		if m := second.Restored; m == nil || m.Hosts != 6 || m.Proxies != 4 {
			t.Errorf("standby: status %+v, restored %+v, want 6 hosts and 4 proxies", second, m)
		}
		first := s.controllers[0].(*daemon.Daemon).Operators().Status()
		if m := first.Restored; m == nil || m.Hosts != 6 || m.ElapsedMs < 3000 || m.ElapsedMs > 8000 {
			t.Errorf("restarted leader: restored %+v, want 6 hosts and 3000 to 8000 ms", m)
		}
	}
	result, _, out := runScenario(t, `length_s: 11 seed: 9 stewards: 2 standby: true state: true list_late_ms: 200
identities: true identity_life_s: 5
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 }
  guard { cold_ms: 4000 grace_ms: 2500 } standby { fresh_ms: 1500 } state { every_ms: 200 } }
hosts { zone: "a" count: 3 } hosts { zone: "b" count: 3 }
forwarders { zone: "a" count: 2 } forwarders { zone: "b" count: 2 }
traffic { class: "sheet" rate: 40 work_ms: 30 } traffic { class: "finish" rate: 40 work_ms: 20 effect: ONCE }
steps { at_s: 3 for_s: 4 what: HANG zone: "a" count: 1 }
steps { at_s: 4.5 for_s: 4 what: DRAIN zone: "b" first: 2 count: 1 }
steps { at_s: 5 for_s: 4 what: KILL steward: 0 }`, inspect)
	checkPassed(t, result, out)
}

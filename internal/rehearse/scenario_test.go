package rehearse

import (
	"bytes"
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/internal/rehearse/daypb"
	"barleysail/internal/rules"
	"barleysail/replay"
	"barleysail/routing"
)

// shortScenario is a script in which hosts hang, drain and crash and a controller is killed.
const shortScenario = `length_s: 9 seed: 3 stewards: 2 list_late_ms: 200
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } guard { cold_ms: 4000 grace_ms: 2500 } }
hosts { zone: "a" count: 3 } hosts { zone: "b" count: 3 }
forwarders { zone: "a" count: 2 } forwarders { zone: "b" count: 2 }
traffic { class: "sheet" rate: 40 work_ms: 40 } traffic { class: "finish" rate: 40 work_ms: 20 effect: ONCE }
steps { at_s: 1 for_s: 3 what: HANG zone: "a" count: 1 }
steps { at_s: 2 for_s: 2 what: DRAIN zone: "b" first: 2 count: 1 }
steps { at_s: 4.5 for_s: 1.5 what: LOSE zone: "b" count: 2 } steps { at_s: 6 for_s: 1 what: KILL steward: 1 }`

// runShortScenario runs shortScenario, and returns its result and output.
func runShortScenario(t *testing.T, adjustLimits func(*rules.Limits)) (*Result, string) {
	t.Helper()
	script := &daypb.Day{}
	if err := prototext.Unmarshal([]byte(shortScenario), script); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	result, err := runScript(context.Background(), script, "test", "", "", &out, zerolog.New(io.Discard), adjustLimits)
	if err != nil {
		t.Fatal(err)
	}
	return result, out.String()
}

// checkPassed checks that a scenario passed with a service level of 0.5 or more.
func checkPassed(t *testing.T, result *Result, out string) {
	t.Helper()
	if !result.Passed || result.ServiceLevel < 0.5 {
		t.Errorf("passed %v with service level %.3f, want true with 0.5 or more:\n%s",
			result.Passed, result.ServiceLevel, out)
	}
}

// All invariants hold, checked by the traffic on real sockets, while hosts hang, drain and crash and a controller
// restarts.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	result, out := runShortScenario(t, func(*rules.Limits) {})
	checkPassed(t, result, out)
}

// The same scenario violates an invariant when it is checked against stricter limits than the controllers keep to. This
// guards against checks that never fail.
func TestViolationsAreDetected(t *testing.T) {
	t.Parallel()
	result, out := runShortScenario(t, func(limits *rules.Limits) { limits.MaxMessages, limits.DrainGraceMs = 1, 0.001 })
	broken := map[string]bool{}
	for _, verdict := range result.Verdicts {
		broken[verdict.Rule] = !verdict.Kept
	}
	if !broken["short queue, few messages"] || result.Passed {
		t.Errorf("passed %v, verdicts %+v, want a failure with a violation of \"short queue, few messages\":\n%s",
			result.Passed, result.Verdicts, out)
	}
}

// A recording is replayed as it was: the answers of each controller are the same byte for byte, and the service level
// is about the recorded one. The tolerance allows for a busy machine; docs/replay.md has the accuracy of replays.
func TestRecordingReplays(t *testing.T) {
	t.Parallel()
	script, dir := &daypb.Day{}, t.TempDir()
	if err := prototext.Unmarshal([]byte(shortScenario), script); err != nil {
		t.Fatal(err)
	}
	_, err := runScript(context.Background(), script, "test", dir, "", io.Discard, zerolog.Nop(), func(*rules.Limits) {})
	if err != nil {
		t.Fatal(err)
	}
	names, _ := filepath.Glob(filepath.Join(dir, "*.day"))
	open := func() ([]replay.Source, error) {
		var sources []replay.Source
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			reader := record.NewReader(bytes.NewReader(text))
			sources = append(sources, replay.Source{Name: filepath.Base(name), Next: reader.Next})
		}
		return sources, nil
	}
	build := func(start *recordpb.Start) (*controller.Controller, error) {
		c, err := config.Parse("recorded", []byte(start.Config))
		if err != nil {
			return nil, err
		}
		return config.NewController(c, start.Life, start.Seed), nil
	}
	sources, err := open()
	if err != nil {
		t.Fatal(err)
	}
	incarnations, answers := 0, 0
	for _, source := range sources {
		if !strings.HasPrefix(source.Name, "steward") {
			continue
		}
		incarnations++
		result, err := replay.Verify(source.Next, build)
		if err != nil || result.FirstDifference != nil {
			t.Fatalf("%s: %+v, %v", source.Name, result, err)
		}
		answers += result.Responses
	}
	if incarnations != 3 || answers < 10 {
		t.Errorf("%d recorded controllers with %d answers, want 3 with 10 or more", incarnations, answers)
	}
	c, err := config.Parse("script", []byte(`zones: ["a","b"]
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
		classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 once: true } list { file: "x" }`))
	if err != nil {
		t.Fatal(err)
	}
	classes := []controller.RequestClass{
		{Name: "sheet", RequestClass: routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3}},
		{Name: "finish", RequestClass: routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9}},
	}
	settings := replay.Settings{
		NewController:        build,
		Limits:               config.RuleLimits(c, 3000),
		HealthCheckTimeoutMs: 250,
		Classes:              classes,
	}
	outcome, err := replay.Simulate(open, settings)
	if err != nil {
		t.Fatal(err)
	}
	all := replay.Compare(outcome, outcome, 1).Overall
	if math.Abs(all.Recorded-all.Baseline) > 0.15 || all.Difference.Value != 0 || outcome.Attempts < 300 {
		t.Errorf("service level: recorded %.3f, replayed %.3f, want them within 0.15; %d attempts, want 300 or more",
			all.Recorded, all.Baseline, outcome.Attempts)
	}
	for name, offsets := range outcome.ClockOffsets { // all processes share one clock
		if len(offsets) != 1 || math.Abs(offsets[0].OffsetMs) > 20 {
			t.Errorf("%s: estimated clock offsets %+v, want one of at most 20 ms", name, offsets)
		}
	}
}

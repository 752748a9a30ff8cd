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

const short = `length_s: 9 seed: 3 stewards: 2 list_late_ms: 200
steward { zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
  classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } guard { cold_ms: 4000 grace_ms: 2500 } }
hosts { zone: "a" count: 3 } hosts { zone: "b" count: 3 } forwarders { zone: "a" count: 2 } forwarders { zone: "b" count: 2 }
traffic { class: "sheet" rate: 40 work_ms: 40 } traffic { class: "finish" rate: 40 work_ms: 20 effect: ONCE }
steps { at_s: 1 for_s: 3 what: HANG zone: "a" count: 1 } steps { at_s: 2 for_s: 2 what: DRAIN zone: "b" first: 2 count: 1 }
steps { at_s: 4.5 for_s: 1.5 what: LOSE zone: "b" count: 2 } steps { at_s: 6 for_s: 1 what: KILL steward: 1 }`

func play(t *testing.T, judge func(*rules.Limits)) (*Result, string) {
	t.Helper()
	script := &daypb.Day{}
	if err := prototext.Unmarshal([]byte(short), script); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	r, err := playDay(context.Background(), script, "test", "", "", &out, zerolog.New(io.Discard), judge)
	if err != nil {
		t.Fatal(err)
	}
	return r, out.String()
}

// A short bad day through real sockets keeps all rules, though one steward is killed and hosts hang and die.
func TestShortDay(t *testing.T) {
	t.Parallel()
	if r, out := play(t, func(*rules.Limits) {}); !r.Kept || r.Service < 0.5 {
		t.Error(out)
	}
}

// Judged by figures stricter than the stewards were told, the same day breaks them: the checks look.
func TestStricterFiguresBreak(t *testing.T) {
	t.Parallel()
	r, out := play(t, func(f *rules.Limits) { f.MaxMessages, f.DrainGraceMs = 1, 0.001 })
	broken := map[string]bool{}
	for _, v := range r.Verdicts {
		broken[v.Rule] = !v.Kept
	}
	if !broken["short queue, few messages"] || r.Kept {
		t.Error(out)
	}
}

// A recorded day replays as it was: each steward's answers byte for byte, and about the service that was recorded. How
// near is measured in docs/replay.md; here a busy machine must not decide the verdict.
func TestRecordedDayReplays(t *testing.T) {
	t.Parallel()
	script, dir := &daypb.Day{}, t.TempDir()
	if err := prototext.Unmarshal([]byte(short), script); err != nil {
		t.Fatal(err)
	}
	if _, err := playDay(context.Background(), script, "test", dir, "", io.Discard, zerolog.Nop(), func(*rules.Limits) {}); err != nil {
		t.Fatal(err)
	}
	names, _ := filepath.Glob(filepath.Join(dir, "*.day"))
	open := func() ([]replay.Source, error) {
		var all []replay.Source
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			all = append(all, replay.Source{Name: filepath.Base(name), Next: record.NewReader(bytes.NewReader(text)).Next})
		}
		return all, nil
	}
	build := func(s *recordpb.Start) (*controller.Controller, error) {
		c, err := config.Parse("recorded", []byte(s.Config))
		if err != nil {
			return nil, err
		}
		return config.NewController(c, s.Life, s.Seed), nil
	}
	sources, _ := open()
	lives, answers := 0, 0
	for _, s := range sources {
		if !strings.HasPrefix(s.Name, "steward") {
			continue
		}
		lives++
		r, err := replay.Verify(s.Next, build)
		if err != nil || r.FirstDifference != nil {
			t.Fatalf("%s: %+v, %v", s.Name, r, err)
		}
		answers += r.Responses
	}
	if lives != 3 || answers < 10 {
		t.Errorf("%d lives of stewards, %d answers", lives, answers)
	}
	c, err := config.Parse("script", []byte(`zones: ["a","b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
		classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 once: true } list { file: "x" }`))
	if err != nil {
		t.Fatal(err)
	}
	set := replay.Settings{NewController: build, Limits: config.RuleLimits(c, 3000), HealthCheckTimeoutMs: 250, Classes: []controller.RequestClass{
		{Name: "sheet", RequestClass: routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3}},
		{Name: "finish", RequestClass: routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9}}}}
	o, err := replay.Simulate(open, set)
	if err != nil {
		t.Fatal(err)
	}
	if all := replay.Compare(o, o, 1).Overall; math.Abs(all.Recorded-all.Baseline) > 0.15 || all.Difference.Value != 0 || o.Attempts < 300 {
		t.Errorf("recorded %.3f, replayed %.3f, %d tries", all.Recorded, all.Baseline, o.Attempts)
	}
	for name, by := range o.ClockOffsets { // one machine, one clock
		if len(by) != 1 || math.Abs(by[0].OffsetMs) > 20 {
			t.Errorf("%s is taken to be off: %+v", name, by)
		}
	}
}

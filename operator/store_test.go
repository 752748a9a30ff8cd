package operator

import (
	"errors"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

// keepWeight is the weight of a command that leaves the weight as it is.
const keepWeight = -1

// drain returns the command that drains a host.
func drain(host string) Command { return Command{Host: host, State: Draining, Weight: keepWeight} }

// TestCommands compares the outcome of each kind of command, at once and later, with the golden file.
func TestCommands(t *testing.T) {
	s := newSimulation()
	logDrainWithExpiry(s)
	logWeights(s)
	logWeightOfWarmingHost(s)
	logLastWarmHost(s)
	s.logf("the last warm host of a zone that a class may not leave")
	zoneLocal := newSimulation()
	zoneLocal.zoneLocalClasses = []string{"finish"}
	zoneLocal.log = s.log
	zoneLocal.apply(drain("b1"))
	logUnknownAndAddedHosts(zoneLocal)
	golden.Compare(t, "commands", s.log.String())
}

func logDrainWithExpiry(s *simulation) {
	s.logf("a drain that expires")
	s.apply(Command{Host: "a1", State: Draining, Weight: keepWeight, DurationMs: 5000, Operator: "x"})
	s.logOverrides()
	s.advance(6000)
	s.logOverrides()
}

func logWeights(s *simulation) {
	s.logf("weights: absolute, relative, cleared, and 0 as a drain")
	s.apply(Command{Host: "a1", Weight: 3, KeepState: true})
	s.apply(Command{Host: "a2", Weight: 0.5, Relative: true, KeepState: true})
	s.logOverrides()
	s.apply(Command{Host: "a1", Weight: keepWeight, ClearWeight: true, KeepState: true})
	s.apply(Command{Host: "a2", Weight: 0, State: Draining})
	s.apply(Command{Host: "a2", Weight: 2, KeepState: true}) // keeps draining
	s.logOverrides()
	s.apply(Command{Host: "a2", Weight: keepWeight, ClearWeight: true})
	s.logOverrides()
}

func logWeightOfWarmingHost(s *simulation) {
	s.logf("a host that is warming up gets its weight once it is warm")
	s.apply(Command{Host: "a3", Weight: 2, KeepState: true})
	s.apply(Command{Host: "a3", Weight: 0.2, Relative: true, KeepState: true})
	s.apply(Command{Host: "a3", Weight: 2, KeepState: true, Queue: true, Operator: "y"})
	s.advance(8000)
	s.logOverrides()
}

func logLastWarmHost(s *simulation) {
	s.logf("the last warm host")
	s.apply(drain("a1"))
	s.apply(Command{Host: "a2", State: Maintenance, Weight: keepWeight})
	s.apply(Command{Host: "a3", State: Maintenance, Weight: keepWeight, DurationMs: 4000})
	s.apply(drain("b1"))
	// applied once a3 is back
	s.apply(Command{Host: "b1", State: Draining, Weight: keepWeight, Queue: true, Operator: "z"})
	s.advance(9000)
	s.logOverrides()
}

func logUnknownAndAddedHosts(s *simulation) {
	s.logf("unknown, listed and added hosts")
	s.apply(drain("c1"))
	s.apply(Command{Host: "a1", Weight: keepWeight, Add: &AddedHost{Zone: "a"}})
	s.apply(Command{Host: "a1", Weight: keepWeight, Remove: true})
	s.apply(Command{Host: "c1", Weight: keepWeight, Add: &AddedHost{Zone: "a", Weight: 1}})
	s.apply(Command{Host: "c1", Weight: keepWeight, Remove: true})
	s.apply(Command{Host: "c1", State: Maintenance, Weight: keepWeight})
	s.apply(Command{Host: "c1", State: Maintenance, Weight: keepWeight, Remove: true})
}

// TestApplyAllDrainsOneByOne checks that the hosts of a zone are drained one after the other, each once the drain grace
// of the one before is over.
func TestApplyAllDrainsOneByOne(t *testing.T) {
	s := newSimulation()
	if err := s.ApplyAll(s.view(), []Command{drain("a1"), drain("a2"), drain("a3")}); err != nil {
		t.Fatal(err)
	}
	var appliedMs []float64
	for s.nowMs = 0; s.nowMs < 20000; s.nowMs += 100 {
		for range s.ApplyDue(s.view()) {
			appliedMs = append(appliedMs, s.nowMs)
		}
	}
	if want := []float64{0, drainGraceMs, 2 * drainGraceMs}; !slices.Equal(appliedMs, want) {
		t.Errorf("drained at %v ms, want %v", appliedMs, want)
	}
}

// TestApplyAllRejects checks that commands which would leave no warm host, or none in a zone that a class may not
// leave, are all rejected, and that none of them is queued.
func TestApplyAllRejects(t *testing.T) {
	tests := []struct {
		name             string
		zoneLocalClasses []string
		commands         []Command
		want             RejectedError
	}{
		{
			name:     "all hosts",
			commands: []Command{drain("a1"), drain("a2"), drain("a3"), drain("b1")},
			want:     RejectedError{Host: "a1", Reason: "with all of these no warm host would be ready"},
		},
		{
			name:             "all hosts of a zone that a class may not leave",
			zoneLocalClasses: []string{"finish"},
			commands:         []Command{drain("b1")},
			want: RejectedError{
				Host:   "b1",
				Reason: "with all of these zone b, which class finish may not leave, would have no warm host",
			},
		},
		{
			name:     "an unknown host among them",
			commands: []Command{drain("a1"), drain("c1")},
			want:     RejectedError{Host: "c1", Reason: "no such host", UnknownHost: true},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation()
			s.zoneLocalClasses = test.zoneLocalClasses
			checkRejected(t, s.ApplyAll(s.view(), test.commands), test.want)
			for _, command := range test.commands {
				if _, pending := s.Pending(command.Host); pending {
					t.Errorf("got a queued command of %s, want none", command.Host)
				}
			}
		})
	}
}

// checkRejected checks that an error is the RejectedError wanted.
func checkRejected(t *testing.T, err error, want RejectedError) {
	t.Helper()
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("got error %v, want %v", err, &want)
	}
	if *rejected != want {
		t.Errorf("got rejection %+v, want %+v", *rejected, want)
	}
}

// TestApplyRejectsInvalidNumbers checks the range of weights and durations.
func TestApplyRejectsInvalidNumbers(t *testing.T) {
	const (
		weightReason   = "a weight is a number up to 1000000"
		durationReason = "a time is a number from 0"
	)
	tests := []struct {
		name    string
		command Command
		reason  string
	}{
		{"weight not a number", Command{Host: "a1", Weight: math.NaN()}, weightReason},
		{"weight too large", Command{Host: "a1", Weight: 1_000_001}, weightReason},
		{"duration not a number", Command{Host: "a1", Weight: 1, DurationMs: math.NaN()}, durationReason},
		{"negative duration", Command{Host: "a1", Weight: 1, DurationMs: -1}, durationReason},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation()
			_, err := s.Apply(s.view(), test.command)
			checkRejected(t, err, RejectedError{Host: "a1", Reason: test.reason})
			if _, found := s.Override("a1"); found {
				t.Error("got an override after a rejected command, want none")
			}
		})
	}
}

// TestPending checks that the last of a host's queued commands is returned, and that a command back to the listed state
// drops them.
func TestPending(t *testing.T) {
	s := newSimulation()
	for _, weight := range []float64{2, 3} {
		queued, err := s.Apply(s.view(), Command{Host: "a3", Weight: weight, KeepState: true, Queue: true})
		if err != nil || !queued {
			t.Fatalf("weight %g: got queued %v, error %v, want true and no error", weight, queued, err)
		}
	}
	if command, found := s.Pending("a3"); !found || command.Weight != 3 {
		t.Errorf("got pending %v with weight %g, want the last command, with weight 3", found, command.Weight)
	}
	if _, found := s.Pending("a1"); found {
		t.Error("got a pending command of a host without a queued one, want none")
	}
	s.mustApply(t, Command{Host: "a3", Weight: keepWeight})
	if _, found := s.Pending("a3"); found {
		t.Error("got a pending command after one back to the listed state, want none")
	}
}

// TestRestore checks that restored overrides are equal to the ones that were set, and that empty ones are dropped.
func TestRestore(t *testing.T) {
	before := newSimulation()
	before.mustApply(t, Command{Host: "a1", Weight: 3, KeepState: true})
	before.mustApply(t, Command{Host: "a2", Weight: 0.5, Relative: true, KeepState: true})
	before.mustApply(t, drain("b1"))
	after := NewOverrideStore()
	for host, override := range before.Overrides() {
		after.Restore(host, override)
	}
	after.Restore("a3", Override{Operator: "x"})
	if len(after.Overrides()) != 3 {
		t.Errorf("got restored overrides %v, want those of a1, a2 and b1", after.Overrides())
	}
	for host, hasWeight := range map[string]bool{"a1": true, "a2": true, "a3": false, "b1": false} {
		if got := after.HasWeight(host); got != hasWeight {
			t.Errorf("HasWeight(%s) = %v, want %v", host, got, hasWeight)
		}
		want, wasSet := before.Override(host)
		if got, isSet := after.Override(host); isSet != wasSet || got != want {
			t.Errorf("%s: got override %+v, found %v, want %+v, %v", host, got, isSet, want, wasSet)
		}
	}
}

// TestParseState checks that every state is parsed by its name, and listed also by "ready".
func TestParseState(t *testing.T) {
	tests := []struct {
		name  string
		want  State
		known bool
	}{
		{"listed", Listed, true},
		{"ready", Listed, true},
		{"drain", Draining, true},
		{"maint", Maintenance, true},
		{"stopped", Listed, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, known := ParseState(test.name)
			if got != test.want || known != test.known {
				t.Errorf("ParseState(%q) = %v, %v, want %v, %v", test.name, got, known, test.want, test.known)
			}
		})
	}
}

// TestAWarmHostStaysReady checks, over random commands and pauses, that at least one warm host is always ready, also
// after queued commands are applied.
func TestAWarmHostStaysReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.nowMs = 20000
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			_, err := s.Apply(s.view(), drawCommand(t))
			var rejected *RejectedError
			if err != nil && !errors.As(err, &rejected) {
				t.Fatalf("got error %v, want none or a *RejectedError", err)
			}
			s.nowMs += rapid.SampledFrom([]float64{0, 300, 4000}).Draw(t, "pause")
			s.ApplyDue(s.view())
			if !s.hasWarmReadyHost() {
				t.Fatalf("got no warm host that is ready, want at least one; overrides %+v", s.overrides)
			}
		}
	})
}

func drawCommand(t *rapid.T) Command {
	return Command{
		Host:       rapid.SampledFrom([]string{"a1", "a2", "a3", "b1"}).Draw(t, "host"),
		State:      State(rapid.IntRange(0, 2).Draw(t, "state")),
		Weight:     rapid.SampledFrom([]float64{keepWeight, 0, 2}).Draw(t, "weight"),
		KeepState:  rapid.Bool().Draw(t, "keep state"),
		Queue:      rapid.Bool().Draw(t, "queue"),
		DurationMs: rapid.SampledFrom([]float64{0, 500}).Draw(t, "duration"),
	}
}

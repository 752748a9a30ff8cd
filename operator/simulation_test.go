package operator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// drainGraceMs is the drain grace of the simulations.
const drainGraceMs = 3000

// simulation is an override store with its hosts and a simulated clock. Like the controller, it applies the
// overrides to the hosts before it passes them back to the store as a view.
type simulation struct {
	*OverrideStore
	nowMs            float64
	hosts            []Host // as listed
	zoneLocalClasses []string
	log              *strings.Builder
}

// newSimulation returns a simulation with two warm hosts and one that is warming up in zone a, and one warm host in
// zone b.
func newSimulation() *simulation {
	return &simulation{
		OverrideStore: NewOverrideStore(),
		log:           &strings.Builder{},
		hosts: []Host{
			{Name: "a1", Zone: "a", Ready: true, SlowStartFactor: 1, Weight: 1},
			{Name: "a2", Zone: "a", Ready: true, SlowStartFactor: 1, Weight: 1},
			{Name: "a3", Zone: "a", Ready: true, SlowStartFactor: 0.25, WarmAtMs: 10000, Weight: 2},
			{Name: "b1", Zone: "b", Ready: true, SlowStartFactor: 1, Weight: 1},
		},
	}
}

// view returns the hosts with the overrides applied.
func (s *simulation) view() View {
	view := View{
		NowMs:            s.nowMs,
		ZoneLocalClasses: s.zoneLocalClasses,
		Zones:            []string{"a", "b"},
		NoUpdatePending:  true,
		DrainGraceMs:     drainGraceMs,
		Known:            s.isListedOrAdded,
	}
	for _, host := range s.hosts {
		if s.nowMs >= host.WarmAtMs {
			host.SlowStartFactor = 1
		}
		switch s.overrides[host.Name].State {
		case Draining:
			host.Ready = false
		case Maintenance:
			continue
		}
		view.Hosts = append(view.Hosts, host)
	}
	return view
}

func (s *simulation) isListedOrAdded(name string) bool {
	listed := slices.ContainsFunc(s.hosts, func(host Host) bool { return host.Name == name })
	return listed || s.overrides[name].Added != nil
}

// hasWarmReadyHost reports whether at least one warm host is ready.
func (s *simulation) hasWarmReadyHost() bool {
	return slices.ContainsFunc(s.view().Hosts, func(host Host) bool { return host.Ready && host.SlowStartFactor >= 1 })
}

// logf adds a line to the log, with the current time.
func (s *simulation) logf(format string, args ...any) {
	fmt.Fprintf(s.log, "%6.0f  "+format+"\n", append([]any{s.nowMs}, args...)...)
}

// apply applies a command and logs its outcome.
func (s *simulation) apply(command Command) {
	queued, err := s.Apply(s.view(), command)
	outcome := "applied"
	if queued {
		outcome = "queued"
	}
	if err != nil {
		outcome = "rejected: " + err.Error()
	}
	s.logf("%s %v weight %g relative %v: %s", command.Host, command.State, command.Weight, command.Relative, outcome)
}

// advance advances the clock, and applies and logs the commands that become due.
func (s *simulation) advance(durationMs float64) {
	endMs := s.nowMs + durationMs
	for {
		deadlineMs := min(s.NextDeadline(s.nowMs, drainGraceMs), endMs)
		s.nowMs = max(deadlineMs, s.nowMs)
		for _, command := range s.ApplyDue(s.view()) {
			s.logf("due: %s %v by %s", command.Host, command.State, command.Operator)
		}
		if s.nowMs >= endMs {
			return
		}
		s.nowMs++
	}
}

// logOverrides logs the overrides of the listed hosts.
func (s *simulation) logOverrides() {
	for _, host := range s.hosts {
		override, found := s.overrides[host.Name]
		if !found {
			continue
		}
		s.logf("  %s: %v weight %g ratio %g expires %g", host.Name, override.State, override.Weight,
			override.WeightRatio, override.ExpiresMs)
	}
}

// mustApply applies a command, and fails the test if it is rejected or queued.
func (s *simulation) mustApply(t *testing.T, command Command) {
	t.Helper()
	queued, err := s.Apply(s.view(), command)
	if err != nil || queued {
		t.Fatalf("%+v: got queued %v, error %v, want false and no error", command, queued, err)
	}
}

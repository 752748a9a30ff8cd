package operator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

// fleet has two warm hosts and a cold one in zone a, one warm in b. What is set on them is taken in, as the steward does.
type fleet struct {
	*OverrideStore
	now   float64
	hosts []Host
	local []string
	out   *strings.Builder
}

func open() *fleet {
	return &fleet{OverrideStore: New(), out: &strings.Builder{}, hosts: []Host{{Name: "a1", Zone: "a", Ready: true, SlowStartFactor: 1, Weight: 1}, {Name: "a2", Zone: "a", Ready: true, SlowStartFactor: 1, Weight: 1},
		{Name: "a3", Zone: "a", Ready: true, SlowStartFactor: 0.25, WarmAtMs: 10000, Weight: 2}, {Name: "b1", Zone: "b", Ready: true, SlowStartFactor: 1, Weight: 1}}}
}

func (f *fleet) view() View {
	v := View{Now: f.now, ZoneLocalClasses: f.local, Zones: []string{"a", "b"}, NoUpdatePending: true, DrainGraceMs: 3000,
		Known: func(host string) bool {
			return slices.ContainsFunc(f.hosts, func(h Host) bool { return h.Name == host }) || f.overrides[host].Added != nil
		}}
	for _, h := range f.hosts {
		if f.now >= h.WarmAtMs {
			h.SlowStartFactor = 1
		}
		switch f.overrides[h.Name].State {
		case Draining:
			h.Ready = false
		case Maintenance:
			continue
		}
		v.Hosts = append(v.Hosts, h)
	}
	return v
}

func (f *fleet) say(format string, args ...any) {
	fmt.Fprintf(f.out, "%6.0f  "+format+"\n", append([]any{f.now}, args...)...)
}

func (f *fleet) order(o Command) {
	waits, err := f.Apply(f.view(), o)
	word := "done"
	if waits {
		word = "waits"
	}
	if err != nil {
		word = "refused: " + err.Error()
	}
	f.say("%s %v weight %g part %v: %s", o.Host, o.State, o.Weight, o.Relative, word)
}

func (f *fleet) pass(ms float64) {
	for end := f.now + ms; ; {
		next := min(f.NextDeadline(f.now, 3000), end)
		f.now = max(next, f.now)
		for _, o := range f.ApplyDue(f.view()) {
			f.say("then %s %v by %s", o.Host, o.State, o.Operator)
		}
		if f.now >= end {
			return
		}
		f.now += 1
	}
}

func (f *fleet) show() {
	for _, h := range f.hosts {
		if s, ok := f.overrides[h.Name]; ok {
			f.say("  %s: %v weight %g part %g until %g", h.Name, s.State, s.Weight, s.WeightRatio, s.ExpiresMs)
		}
	}
}

func TestOrders(t *testing.T) {
	f := open()
	f.say("a drain, and its end")
	f.order(Command{Host: "a1", State: Draining, Weight: -1, DurationMs: 5000, Operator: "x"})
	f.show()
	f.pass(6000)
	f.show()
	f.say("weights: in place of the list's, a part of it, the list's again, 0 as a drain")
	f.order(Command{Host: "a1", Weight: 3, KeepState: true})
	f.order(Command{Host: "a2", Weight: 0.5, Relative: true, KeepState: true})
	f.show()
	f.order(Command{Host: "a1", Weight: -1, ClearWeight: true, KeepState: true})
	f.order(Command{Host: "a2", Weight: 0, State: Draining})
	f.order(Command{Host: "a2", Weight: 2, KeepState: true}) // stays drained
	f.show()
	f.order(Command{Host: "a2", Weight: -1, ClearWeight: true})
	f.show()
	f.say("a cold host takes its weight once it is warm")
	f.order(Command{Host: "a3", Weight: 2, KeepState: true})
	f.order(Command{Host: "a3", Weight: 0.2, Relative: true, KeepState: true})
	f.order(Command{Host: "a3", Weight: 2, KeepState: true, Queue: true, Operator: "y"})
	f.pass(8000)
	f.show()
	f.say("the last warm host")
	f.order(Command{Host: "a1", State: Draining, Weight: -1})
	f.order(Command{Host: "a2", State: Maintenance, Weight: -1})
	f.order(Command{Host: "a3", State: Maintenance, Weight: -1, DurationMs: 4000})
	f.order(Command{Host: "b1", State: Draining, Weight: -1})
	f.order(Command{Host: "b1", State: Draining, Weight: -1, Queue: true, Operator: "z"}) // once a3 is back
	f.pass(9000)
	f.show()
	f.say("of a class that stays in its zone")
	f = func() *fleet { g := open(); g.local, g.out = []string{"finish"}, f.out; return g }()
	f.order(Command{Host: "b1", State: Draining, Weight: -1})
	f.say("hosts that are not, or are already")
	f.order(Command{Host: "c1", State: Draining, Weight: -1})
	f.order(Command{Host: "a1", Weight: -1, Add: &AddedHost{Zone: "a"}})
	f.order(Command{Host: "a1", Weight: -1, Remove: true})
	f.order(Command{Host: "c1", Weight: -1, Add: &AddedHost{Zone: "a", Weight: 1}})
	f.order(Command{Host: "c1", Weight: -1, Remove: true})
	f.order(Command{Host: "c1", State: Maintenance, Weight: -1})
	f.order(Command{Host: "c1", State: Maintenance, Weight: -1, Remove: true})
	golden.Compare(t, "orders", f.out.String())
}

// A zone's drain goes host by host, each once the grace of the one before is over; one that would leave no warm host
// is refused as a whole.
func TestZone(t *testing.T) {
	f := open()
	if err := f.ApplyAll(f.view(), []Command{{Host: "a1", State: Draining, Weight: -1}, {Host: "a2", State: Draining, Weight: -1}, {Host: "a3", State: Draining, Weight: -1},
		{Host: "b1", State: Draining, Weight: -1}}); err == nil {
		t.Error("all hosts are let go")
	}
	if err := f.ApplyAll(f.view(), []Command{{Host: "a1", State: Draining, Weight: -1}, {Host: "a2", State: Draining, Weight: -1}, {Host: "a3", State: Draining, Weight: -1}}); err != nil {
		t.Fatal(err)
	}
	var at []float64
	for f.now = 0; f.now < 20000; f.now += 100 {
		for range f.ApplyDue(f.view()) {
			at = append(at, f.now)
		}
	}
	if !slices.Equal(at, []float64{0, 3000, 6000}) {
		t.Errorf("hosts go at %v", at)
	}
	f = open()
	f.local = []string{"finish"}
	var refused *RejectedError
	if err := f.ApplyAll(f.view(), []Command{{Host: "b1", State: Draining, Weight: -1}}); !errors.As(err, &refused) {
		t.Errorf("a zone that a class may not leave: %v", err)
	}
}

// Whatever operators order, and however it waits, a warm host stays ready.
func TestAWarmHostStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := open()
		f.now = 20000
		for range rapid.IntRange(1, 40).Draw(t, "orders") {
			host := rapid.SampledFrom([]string{"a1", "a2", "a3", "b1"}).Draw(t, "host")
			o := Command{Host: host, State: State(rapid.IntRange(0, 2).Draw(t, "state")), Weight: rapid.SampledFrom([]float64{-1, 0, 2}).Draw(t, "weight"),
				KeepState: rapid.Bool().Draw(t, "keep"), Queue: rapid.Bool().Draw(t, "wait"), DurationMs: rapid.SampledFrom([]float64{0, 500}).Draw(t, "for")}
			f.Apply(f.view(), o)
			f.now += rapid.SampledFrom([]float64{0, 300, 4000}).Draw(t, "pause")
			f.ApplyDue(f.view())
			if !slices.ContainsFunc(f.view().Hosts, func(h Host) bool { return h.Ready && h.SlowStartFactor >= 1 }) {
				t.Fatalf("no warm host is ready: %+v", f.overrides)
			}
		}
	})
}

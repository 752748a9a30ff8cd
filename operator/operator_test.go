package operator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/kept"
)

// fleet has two warm hosts and a cold one in zone a, one warm in b. What is set on them is taken in, as the steward does.
type fleet struct {
	*Book
	now   float64
	hosts []Host
	local []string
	out   *strings.Builder
}

func open() *fleet {
	return &fleet{Book: New(), out: &strings.Builder{}, hosts: []Host{{Name: "a1", Zone: "a", Ready: true, Warmth: 1, Weight: 1}, {Name: "a2", Zone: "a", Ready: true, Warmth: 1, Weight: 1},
		{Name: "a3", Zone: "a", Ready: true, Warmth: 0.25, Warm: 10000, Weight: 2}, {Name: "b1", Zone: "b", Ready: true, Warmth: 1, Weight: 1}}}
}

func (f *fleet) view() View {
	v := View{Now: f.now, Local: f.local, Zones: []string{"a", "b"}, Quiet: true, Grace: 3000,
		Known: func(host string) bool {
			return slices.ContainsFunc(f.hosts, func(h Host) bool { return h.Name == host }) || f.sets[host].Added != nil
		}}
	for _, h := range f.hosts {
		if f.now >= h.Warm {
			h.Warmth = 1
		}
		switch f.sets[h.Name].State {
		case Drain:
			h.Ready = false
		case Maint:
			continue
		}
		v.Hosts = append(v.Hosts, h)
	}
	return v
}

func (f *fleet) say(format string, args ...any) {
	fmt.Fprintf(f.out, "%6.0f  "+format+"\n", append([]any{f.now}, args...)...)
}

func (f *fleet) order(o Order) {
	waits, err := f.Order(f.view(), o)
	word := "done"
	if waits {
		word = "waits"
	}
	if err != nil {
		word = "refused: " + err.Error()
	}
	f.say("%s %v weight %g part %v: %s", o.Host, o.State, o.Weight, o.Part, word)
}

func (f *fleet) pass(ms float64) {
	for end := f.now + ms; ; {
		next := min(f.Next(f.now, 3000), end)
		f.now = max(next, f.now)
		for _, o := range f.Step(f.view()) {
			f.say("then %s %v by %s", o.Host, o.State, o.By)
		}
		if f.now >= end {
			return
		}
		f.now += 1
	}
}

func (f *fleet) show() {
	for _, h := range f.hosts {
		if s, ok := f.sets[h.Name]; ok {
			f.say("  %s: %v weight %g part %g until %g", h.Name, s.State, s.Weight, s.Part, s.Until)
		}
	}
}

func TestOrders(t *testing.T) {
	f := open()
	f.say("a drain, and its end")
	f.order(Order{Host: "a1", State: Drain, Weight: -1, For: 5000, By: "x"})
	f.show()
	f.pass(6000)
	f.show()
	f.say("weights: in place of the list's, a part of it, the list's again, 0 as a drain")
	f.order(Order{Host: "a1", Weight: 3, Keep: true})
	f.order(Order{Host: "a2", Weight: 0.5, Part: true, Keep: true})
	f.show()
	f.order(Order{Host: "a1", Weight: -1, Clear: true, Keep: true})
	f.order(Order{Host: "a2", Weight: 0, State: Drain})
	f.order(Order{Host: "a2", Weight: 2, Keep: true}) // stays drained
	f.show()
	f.order(Order{Host: "a2", Weight: -1, Clear: true})
	f.show()
	f.say("a cold host takes its weight once it is warm")
	f.order(Order{Host: "a3", Weight: 2, Keep: true})
	f.order(Order{Host: "a3", Weight: 0.2, Part: true, Keep: true})
	f.order(Order{Host: "a3", Weight: 2, Keep: true, Wait: true, By: "y"})
	f.pass(8000)
	f.show()
	f.say("the last warm host")
	f.order(Order{Host: "a1", State: Drain, Weight: -1})
	f.order(Order{Host: "a2", State: Maint, Weight: -1})
	f.order(Order{Host: "a3", State: Maint, Weight: -1, For: 4000})
	f.order(Order{Host: "b1", State: Drain, Weight: -1})
	f.order(Order{Host: "b1", State: Drain, Weight: -1, Wait: true, By: "z"}) // once a3 is back
	f.pass(9000)
	f.show()
	f.say("of a class that stays in its zone")
	f = func() *fleet { g := open(); g.local, g.out = []string{"finish"}, f.out; return g }()
	f.order(Order{Host: "b1", State: Drain, Weight: -1})
	f.say("hosts that are not, or are already")
	f.order(Order{Host: "c1", State: Drain, Weight: -1})
	f.order(Order{Host: "a1", Weight: -1, Add: &Added{Zone: "a"}})
	f.order(Order{Host: "a1", Weight: -1, Remove: true})
	f.order(Order{Host: "c1", Weight: -1, Add: &Added{Zone: "a", Weight: 1}})
	f.order(Order{Host: "c1", Weight: -1, Remove: true})
	f.order(Order{Host: "c1", State: Maint, Weight: -1})
	f.order(Order{Host: "c1", State: Maint, Weight: -1, Remove: true})
	kept.Compare(t, "orders", f.out.String())
}

// A zone's drain goes host by host, each once the grace of the one before is over; one that would leave no warm host
// is refused as a whole.
func TestZone(t *testing.T) {
	f := open()
	if err := f.Batch(f.view(), []Order{{Host: "a1", State: Drain, Weight: -1}, {Host: "a2", State: Drain, Weight: -1}, {Host: "a3", State: Drain, Weight: -1},
		{Host: "b1", State: Drain, Weight: -1}}); err == nil {
		t.Error("all hosts are let go")
	}
	if err := f.Batch(f.view(), []Order{{Host: "a1", State: Drain, Weight: -1}, {Host: "a2", State: Drain, Weight: -1}, {Host: "a3", State: Drain, Weight: -1}}); err != nil {
		t.Fatal(err)
	}
	var at []float64
	for f.now = 0; f.now < 20000; f.now += 100 {
		for range f.Step(f.view()) {
			at = append(at, f.now)
		}
	}
	if !slices.Equal(at, []float64{0, 3000, 6000}) {
		t.Errorf("hosts go at %v", at)
	}
	f = open()
	f.local = []string{"finish"}
	var refused *Refusal
	if err := f.Batch(f.view(), []Order{{Host: "b1", State: Drain, Weight: -1}}); !errors.As(err, &refused) {
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
			o := Order{Host: host, State: State(rapid.IntRange(0, 2).Draw(t, "state")), Weight: rapid.SampledFrom([]float64{-1, 0, 2}).Draw(t, "weight"),
				Keep: rapid.Bool().Draw(t, "keep"), Wait: rapid.Bool().Draw(t, "wait"), For: rapid.SampledFrom([]float64{0, 500}).Draw(t, "for")}
			f.Order(f.view(), o)
			f.now += rapid.SampledFrom([]float64{0, 300, 4000}).Draw(t, "pause")
			f.Step(f.view())
			if !slices.ContainsFunc(f.view().Hosts, func(h Host) bool { return h.Ready && h.Warmth >= 1 }) {
				t.Fatalf("no warm host is ready: %+v", f.sets)
			}
		}
	})
}

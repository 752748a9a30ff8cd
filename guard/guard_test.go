package guard

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

// reckon says anew what is wrong with a view's next rows, host by host and use by use; it shares nothing with the guard
// but its types. Sums go in the order of the hosts, since another order may lie on the other side of a limit.
func reckon(v *View, l Limits) (all []string) {
	say := func(check, on string) { all = append(all, check+": "+on) }
	number := func(w float64) bool { return w == w && w >= 0 && !math.IsInf(w, 1) }
	// what each host is given once all that go are gone, and the hosts of a zone
	given := func(gone string) map[int]float64 {
		out := map[int]float64{}
		for _, r := range v.Routes {
			work, total := 0.0, 0.0
			for _, u := range r.Demands {
				work += u.Work
			}
			stays := func(i int) bool {
				return v.Hosts[i].Ready && number(r.Decided[i]) && (gone == "" || v.Hosts[i].Zone != gone)
			}
			for i := range v.Hosts {
				if stays(i) {
					total += r.Decided[i]
				}
			}
			for i := range v.Hosts {
				if total > 0 && stays(i) {
					out[i] += r.Decided[i] * (work / total)
				}
			}
		}
		return out
	}
	times := func(gone string) float64 {
		need, have := 0.0, 0.0
		for _, r := range v.Routes {
			one := 0.0
			for _, u := range r.Demands {
				one += u.Work
			}
			need += one
		}
		for _, h := range v.Hosts {
			if h.Ready && (gone == "" || h.Zone != gone) {
				have += h.Capacity * h.SlowStartFactor
			}
		}
		if have == 0 {
			return math.Inf(1)
		}
		if short := 1.1 * need / have; short > l.CapacityMultiple {
			return short
		}
		return l.CapacityMultiple
	}
	for _, r := range v.Routes {
		name := r.Demands[0].Class + " in " + r.Demands[0].Zone
		for i, h := range v.Hosts {
			if !number(r.Decided[i]) {
				say(NotANumber, name+" at "+h.Name)
			}
		}
		for _, u := range r.Demands {
			able, warm := 0, 0
			for i, h := range v.Hosts {
				if !h.Ready || u.ZoneLocal && h.Zone != u.Zone {
					continue
				}
				if number(r.Decided[i]) && r.Decided[i] != 0 {
					able++
				}
				if h.SlowStartFactor >= 1 {
					warm++
				}
			}
			if able == 0 && warm > 0 {
				say(NoHost, u.Class+" in "+u.Zone)
			}
		}
		if l.MaxTrafficShift > 0 && r.Published != nil {
			part := func(row []float64) (out []float64, any bool) {
				total := 0.0
				out = make([]float64, len(row))
				for i, w := range row {
					if v.Hosts[i].Ready && number(w) {
						out[i], total = w, total+w
					}
				}
				for i := range out {
					if total > 0 {
						out[i] /= total
					}
				}
				return out, total > 0
			}
			a, had := part(r.Published)
			b, has := part(r.Decided)
			gain := 0.0
			for i := range a {
				gain += math.Abs(b[i] - a[i])
			}
			if had && has && gain/2 > l.MaxTrafficShift+1e-9 {
				say(TrafficJump, name)
			}
		}
	}
	if l.CapacityMultiple > 0 {
		now := given("")
		by := map[string]float64{}
		for i, h := range v.Hosts {
			if now[i] > 0 {
				by[h.Zone] += now[i]
			}
		}
		var zones []string
		for z := range by {
			zones = append(zones, z)
		}
		sort.Slice(zones, func(i, j int) bool {
			return by[zones[i]] > by[zones[j]] || by[zones[i]] == by[zones[j]] && zones[i] < zones[j]
		})
		for i, h := range v.Hosts {
			if h.Capacity > 0 && now[i] > h.Capacity*times("") {
				say(OverCapacity, h.Name)
			}
			if h.SlowStartFactor < 1 && h.SlowStartLimit > 0 && now[i] > h.SlowStartLimit {
				say(OverSlowStartBudget, h.Name)
			}
		}
		if l.SurviveZoneLoss && len(zones) > 0 {
			then := given(zones[0])
			for i, h := range v.Hosts {
				if h.Zone != zones[0] && h.Capacity > 0 && then[i] > h.Capacity*times(zones[0]) {
					say(OverCapacityWithoutZone, h.Name)
				}
			}
		}
	}
	sort.Strings(all)
	return all
}

// drawn is a view drawn at random, near the limits as often as far from them: one row for all uses, a row for each zone
// with a class that stays there, or hands that are only counted.
func drawn(t *rapid.T) (*View, Limits) {
	v := &View{}
	zones := []string{"a", "b"}
	l := Limits{CapacityMultiple: rapid.SampledFrom([]float64{0, 1, 1.2}).Draw(t, "over"), MaxTrafficShift: rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "jump"), SurviveZoneLoss: rapid.Bool().Draw(t, "spare")}
	for i := range rapid.IntRange(1, 7).Draw(t, "hosts") {
		h := Host{Name: fmt.Sprint("h", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
			SlowStartFactor: rapid.SampledFrom([]float64{1, 1, 1, 0.3}).Draw(t, "warmth"), Capacity: rapid.SampledFrom([]float64{0, 2, 4}).Draw(t, "cap"),
			SlowStartLimit: rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "most")}
		if rapid.IntRange(0, 9).Draw(t, "listed") == 0 { // in a table, but not on the list any more
			h = Host{Name: h.Name}
		}
		v.Hosts = append(v.Hosts, h)
	}
	weights := func() (row []float64) {
		for range v.Hosts {
			row = append(row, rapid.SampledFrom([]float64{0, 0, 0.1, 1, 1, 3, 1, 1, math.NaN(), math.Inf(1), -1}).Draw(t, "weight"))
		}
		return row
	}
	row := func(uses ...Demand) {
		for i := range uses {
			uses[i].Work = rapid.SampledFrom([]float64{0, 0.5, 2, 4}).Draw(t, "asked")
		}
		r := Route{Demands: uses, Decided: weights(), ReadOnly: rapid.IntRange(0, 5).Draw(t, "fixed") == 0}
		if rapid.Bool().Draw(t, "published") {
			r.Published = weights()
		}
		v.Routes = append(v.Routes, r)
	}
	if rapid.Bool().Draw(t, "local") {
		row(Demand{Class: "sheet", Zone: "a", ZoneLocal: true}, Demand{Class: "finish", Zone: "a"})
		row(Demand{Class: "sheet", Zone: "b", ZoneLocal: true}, Demand{Class: "finish", Zone: "b"})
	} else {
		row(Demand{Class: "sheet", Zone: "a"}, Demand{Class: "finish", Zone: "a"}, Demand{Class: "sheet", Zone: "b"}, Demand{Class: "finish", Zone: "b"})
	}
	if rapid.Bool().Draw(t, "hands") {
		row(Demand{Class: "sheet", Zone: "b"}, Demand{Class: "finish", Zone: "b"})
	}
	return v, l
}

func listed(found []Finding) (all []string) {
	for _, f := range found {
		all = append(all, f.Check+": "+f.Subject)
	}
	sort.Strings(all)
	return all
}

// broken tells what a mended row does that it must not, whatever else is wrong.
func broken(v *View, i int, row []float64) string {
	r := &v.Routes[i]
	part := func(row []float64) func(h int) float64 {
		sum := 0.0
		for h, w := range row {
			if v.Hosts[h].Ready && w > 0 && w < math.Inf(1) {
				sum += w
			}
		}
		return func(h int) float64 { return row[h] / sum }
	}
	could := 0
	for h, w := range r.Decided {
		if w > 0 && w < math.Inf(1) && v.Hosts[h].Ready {
			could++
		}
	}
	needs := false // a use that nobody decided on can take
	for _, u := range r.Demands {
		able := false
		for h, w := range r.Decided {
			able = able || w > 0 && w < math.Inf(1) && v.Hosts[h].Ready && (!u.ZoneLocal || v.Hosts[h].Zone == u.Zone)
		}
		needs = needs || !able
	}
	was, is := part(r.Decided), part(row)
	for h, w := range row {
		x := &v.Hosts[h]
		switch {
		case !(w >= 0) || w > 1e9:
			return x.Name + " has a weight that is none"
		case w > 0 && !x.Ready:
			return x.Name + " may not stay"
		case w > 0 && !(r.Decided[h] > 0) && !needs:
			return x.Name + " was left out"
		case w > 0 && x.SlowStartFactor < 1 && could > 0 && is(h) > was(h)*(1+1e-9):
			return fmt.Sprintf("%s is cold and has %.3f of the row for %.3f", x.Name, is(h), was(h))
		}
	}
	return ""
}

// On 10,000 drawn views the guard and a reckoning of its own find the same, and what the guard gives instead is no worse,
// holds no host that may not stay, adds none that was left out, gives no cold host more, and is the decided one where
// that is sound.
func TestAgainstReckoning(t *testing.T) {
	n, refused, mended := 0, 0, 0
	check := func(t *rapid.T) {
		v, l := drawn(t)
		found := Check(v, l)
		got, want := strings.Join(listed(found), "\n"), strings.Join(reckon(v, l), "\n")
		if got != want {
			t.Fatalf("the guard finds\n%s\nthe reckoning\n%s\n%+v %+v", got, want, v, l)
		}
		n++
		next, left := Repair(v, l)
		w := v.withDecided(next)
		if again := reckon(w, l); strings.Join(again, "\n") != strings.Join(listed(left), "\n") {
			t.Fatalf("repaired: %v left, the reckoning finds %v", left, again)
		}
		if len(found) == 0 {
			if !same(next, v.decided()) {
				t.Fatal("a sound view was changed")
			}
			return
		}
		refused++
		if len(left) == 0 {
			mended++
		}
		for i, row := range next {
			if v.Routes[i].ReadOnly {
				if !same(row, v.Routes[i].Decided) {
					t.Fatal("a fixed row was changed")
				}
			} else if why := broken(v, i, row); why != "" {
				t.Fatalf("row %d: %s\n%+v\n%+v\n%v", i, why, v, l, next)
			}
		}
	}
	for n < 10000 { // rapid makes a hundred at a time
		rapid.Check(t, check)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d views, %d refused, %d of them mended", n, refused, mended)
}

func same(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// Sequences: each step decides anew, what the guard gave is published, and the next goes on from there. While nothing
// changes but the guard's own steps, it comes to what was decided wherever that is sound, and never moves more than the
// limit at once.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{Routes: []Route{{Demands: []Demand{{Class: "sheet", Zone: "a", Work: 4}}}}}
		l := Limits{CapacityMultiple: 1, MaxTrafficShift: rapid.SampledFrom([]float64{0.1, 0.3}).Draw(t, "jump")}
		r := &v.Routes[0]
		for i := range 6 {
			v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint("h", i), Zone: []string{"a", "b"}[i%2], Ready: true, SlowStartFactor: 1, Capacity: 2})
			r.Published = append(r.Published, 1)
		}
		for range 3 {
			r.Decided = nil
			for range v.Hosts {
				r.Decided = append(r.Decided, rapid.Float64Range(0.05, 3).Draw(t, "weight"))
			}
			sound := r.Published
			for i := 0; ; i++ {
				if i == 40 {
					t.Fatalf("after 40 steps it is at %v for %v", r.Published, r.Decided)
				}
				rows, left := Repair(v, l)
				if moved := newChecker(v.withDecided(rows), l).trafficShift(&v.withDecided(rows).Routes[0]); moved > l.MaxTrafficShift+1e-6 {
					t.Fatalf("moved %g", moved)
				}
				sound, r.Published = r.Published, rows[0]
				if len(left) == 0 && newChecker(v.withDecided([][]float64{sound}), l).trafficShift(&v.withDecided([][]float64{sound}).Routes[0]) < 1e-6 {
					break
				}
			}
		}
	})
}

// Each check found by a view that breaks it and nothing else, with its figures and what is given instead.
func TestEachCheck(t *testing.T) {
	plain := func() (*View, Limits) {
		row := func(zone string) Route {
			return Route{Demands: []Demand{{"sheet", zone, false, 1}, {"finish", zone, false, 0.5}}, Published: []float64{1, 1, 1}, Decided: []float64{1, 1, 1}}
		}
		return &View{Hosts: []Host{{"x", "a", true, 1, 4, 0}, {"y", "a", true, 1, 4, 0}, {"z", "b", true, 1, 4, 0}},
			Routes: []Route{row("a"), row("b")}}, Limits{CapacityMultiple: 1, MaxTrafficShift: 0.4}
	}
	var out strings.Builder
	for _, x := range []struct {
		name string
		do   func(v *View, l *Limits)
	}{
		{"a good table", func(*View, *Limits) {}},
		{"a weight that is no number", func(v *View, _ *Limits) { v.Routes[0].Decided[0] = math.NaN() }},
		{"sound for one class and empty for the other, which stays in its zone", func(v *View, _ *Limits) {
			v.Routes[1].Demands[1].ZoneLocal, v.Routes[1].Decided, v.Routes[1].Published = true, []float64{1, 1, 0}, nil
		}},
		{"only a host that drains", func(v *View, l *Limits) {
			v.Hosts[0].Ready, l.MaxTrafficShift = false, 0
			v.Routes[0].Decided = []float64{1, 0, 0}
		}},
		{"a host over its cap", func(v *View, l *Limits) { v.Hosts[2].Capacity, l.MaxTrafficShift = 0.5, 0 }},
		{"over its cap once the host that drains is gone", func(v *View, l *Limits) {
			v.Hosts[0].Ready, v.Hosts[2].Capacity, l.MaxTrafficShift = false, 1.2, 0
		}},
		{"a cold host over its budget", func(v *View, _ *Limits) { v.Hosts[1].SlowStartFactor, v.Hosts[1].SlowStartLimit = 0.2, 0.7 }},
		{"without the zone that carries most", func(v *View, l *Limits) { l.SurviveZoneLoss, v.Hosts[1].Capacity, v.Hosts[2].Capacity = true, 2.9, 3.1 }},
		{"a zone whose loss leaves one small host with too much", func(v *View, l *Limits) {
			v.Hosts = append(v.Hosts, Host{"v", "b", true, 1, 1, 0})
			for i := range v.Routes {
				v.Routes[i].Decided, v.Routes[i].Published = []float64{1, 1, 1, 1}, nil
			}
			l.SurviveZoneLoss = true
		}},
		{"a jump", func(v *View, _ *Limits) { v.Routes[0].Decided = []float64{9, 0.5, 0.5} }},
		{"more than there is room for: levels help, no table does", func(v *View, _ *Limits) { v.Routes[0].Demands[0].Work = 100 }},
	} {
		v, l := plain()
		x.do(v, &l)
		fmt.Fprintln(&out, x.name)
		for _, f := range Check(v, l) {
			fmt.Fprintln(&out, "  "+f.String())
		}
		next, left := Repair(v, l)
		if !same(next, v.decided()) {
			fmt.Fprintf(&out, "  instead %.3v\n", next)
		}
		for _, f := range left {
			fmt.Fprintln(&out, "  left: "+f.String())
		}
	}
	golden.Compare(t, "checks", out.String())
}

// A list that loses too much at once is held back until it is whole, confirmed, or its hold is over.
func TestListing(t *testing.T) {
	l := NewEndpointLossGuard(EndpointLossLimits{MaxLossRatio: 0.5, HoldMs: 1500})
	for _, x := range []struct {
		now                    float64
		ready, lost, confirmed int
		held                   bool
	}{{0, 10, 5, 0, false}, {100, 10, 6, 0, true}, {1000, 10, 6, 0, true}, {1100, 10, 0, 0, false}, {2000, 10, 10, 0, true}, {2100, 10, 10, 5, false},
		{3000, 10, 8, 2, true}, {4499, 10, 8, 2, true}, {4500, 10, 8, 2, false}, {5000, 0, 0, 0, false}} {
		if held := l.Observe(x.now, x.ready, x.lost, x.confirmed); held != x.held {
			t.Errorf("%+v: held %v", x, held)
		}
	}
	if NewEndpointLossGuard(EndpointLossLimits{}).Observe(0, 10, 10, 0) {
		t.Error("held without a limit")
	}
}

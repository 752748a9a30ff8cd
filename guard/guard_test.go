package guard

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/kept"
)

// reckon says anew what is wrong with a view's next tables, host by host and line by line; it shares nothing with the
// guard but its types.
func reckon(v *View, l Limits) (all []string) {
	say := func(check, on string) { all = append(all, check+": "+on) }
	ok := func(w float64) bool { return w == w && w >= 0 && w <= math.MaxFloat64 }
	host := func(name string) (Host, bool) {
		for _, h := range v.Hosts {
			if h.Name == name {
				return h, true
			}
		}
		return Host{}, false
	}
	// lines in the order of their hosts, since a sum in another order may lie on the other side of a limit
	lines := func(row map[string]float64) (names []string) {
		for name := range row {
			names = append(names, name)
		}
		sort.Strings(names)
		return names
	}
	// what each host is given when the hosts of a zone are gone
	given := func(gone string) map[string]float64 {
		out := map[string]float64{}
		for _, k := range v.Classes {
			for _, z := range v.Zones {
				total := 0.0
				for _, name := range lines(v.Next[k.Name][z]) {
					w := v.Next[k.Name][z][name]
					if h, _ := host(name); ok(w) && (gone == "" || h.Zone != gone) {
						total += w
					}
				}
				for _, name := range lines(v.Next[k.Name][z]) {
					w := v.Next[k.Name][z][name]
					if h, _ := host(name); total > 0 && ok(w) && (gone == "" || h.Zone != gone) {
						out[name] += v.Demand[k.Name][z] * k.Work / 1000 * w / total
					}
				}
			}
		}
		return out
	}
	fits := func(gone string) bool {
		need, have := 0.0, 0.0
		for _, k := range v.Classes {
			for _, z := range v.Zones {
				need += v.Demand[k.Name][z] * k.Work / 1000
			}
		}
		for _, h := range v.Hosts {
			if h.Ready && h.Zone != gone {
				have += h.Cap * h.Warmth
			}
		}
		return need <= have
	}
	for _, k := range v.Classes {
		for _, z := range v.Zones {
			able, warm := false, false
			for name, w := range v.Next[k.Name][z] {
				if !ok(w) {
					say(Number, k.Name+" in "+z+" at "+name)
				}
				h, there := host(name)
				able = able || ok(w) && w > 0 && there && h.Ready && (!k.Local || h.Zone == z)
			}
			for _, h := range v.Hosts {
				warm = warm || h.Ready && h.Warmth >= 1 && (!k.Local || h.Zone == z)
			}
			if warm && !able {
				say(Empty, k.Name+" in "+z)
			}
		}
	}
	if l.Over > 0 {
		now := given("")
		heaviest, most := "", -1.0
		by := map[string]float64{}
		for _, name := range lines(now) {
			if h, there := host(name); there { // one that is not listed has no zone
				by[h.Zone] += now[name]
			}
		}
		var zones []string
		for z := range by {
			zones = append(zones, z)
		}
		sort.Strings(zones)
		for _, z := range zones {
			if by[z] > most+1e-12 {
				heaviest, most = z, by[z]
			}
		}
		then := given(heaviest)
		for _, h := range v.Hosts {
			if fits("") && h.Ready && h.Cap > 0 && now[h.Name] > h.Cap*l.Over {
				say(Over, h.Name)
			}
			if h.Warmth < 1 && h.Most > 0 && now[h.Name] > h.Most {
				say(Cold, h.Name)
			}
			if l.Spare && heaviest != "" && fits(heaviest) && h.Zone != heaviest && h.Ready && h.Cap > 0 && then[h.Name] > h.Cap*l.Over {
				say(Spare, h.Name)
			}
		}
	}
	if l.Jump > 0 {
		for _, k := range v.Classes {
			for _, z := range v.Zones {
				part := func(t Tables) (map[string]float64, bool) {
					sum, out := 0.0, map[string]float64{}
					for _, name := range lines(t[k.Name][z]) {
						w := t[k.Name][z][name]
						if h, there := host(name); there && h.Ready && ok(w) {
							out[name], sum = w, sum+w
						}
					}
					for name := range out {
						if sum > 0 {
							out[name] /= sum
						}
					}
					return out, len(out) > 0
				}
				a, had := part(v.Now)
				b, has := part(v.Next)
				gain := 0.0
				for _, h := range v.Hosts {
					gain += math.Abs(b[h.Name]-a[h.Name]) / 2
				}
				if had && has && gain > l.Jump+1e-9 {
					say(Jump, k.Name+" in "+z)
				}
			}
		}
	}
	sort.Strings(all)
	return all
}

// drawn is a view drawn at random, near the limits as often as far from them.
func drawn(t *rapid.T) (*View, Limits) {
	v := &View{Zones: []string{"a", "b"}, Demand: map[string]map[string]float64{}, Now: Tables{}, Next: Tables{}}
	l := Limits{Over: rapid.SampledFrom([]float64{0, 1, 1.2}).Draw(t, "over"), Jump: rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "jump"), Spare: rapid.Bool().Draw(t, "spare")}
	for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		v.Hosts = append(v.Hosts, Host{Name: fmt.Sprint("h", i), Zone: rapid.SampledFrom(v.Zones).Draw(t, "zone"), Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
			Warmth: rapid.SampledFrom([]float64{1, 1, 1, 0.3}).Draw(t, "warmth"), Cap: rapid.SampledFrom([]float64{0, 2, 4}).Draw(t, "cap"),
			Most: rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "most")})
	}
	for _, k := range []Class{{"sheet", 100, rapid.Bool().Draw(t, "local")}, {"finish", 50, false}} {
		v.Classes = append(v.Classes, k)
		v.Demand[k.Name], v.Now[k.Name], v.Next[k.Name] = map[string]float64{}, map[string]map[string]float64{}, map[string]map[string]float64{}
		for _, z := range v.Zones {
			v.Demand[k.Name][z] = rapid.SampledFrom([]float64{0, 5, 20, 40}).Draw(t, "demand")
			for _, to := range []Tables{v.Now, v.Next} {
				row := map[string]float64{}
				for i := range 7 { // one more than there are hosts at most
					if w := rapid.SampledFrom([]float64{0, 0, 0.1, 1, 1, 3, math.NaN(), math.Inf(1), -1}).Draw(t, "weight"); w != 0 {
						row[fmt.Sprint("h", i)] = w
					}
				}
				to[k.Name][z] = row
			}
		}
	}
	return v, l
}

func listed(found []Finding) (all []string) {
	for _, f := range found {
		all = append(all, f.Check+": "+f.On)
	}
	sort.Strings(all)
	return all
}

// On 10,000 drawn views the guard and a reckoning of its own find the same, and what the guard gives instead is sound
// where anything is, holds no host that may not stay, and is the decided one where that is sound.
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
		if len(found) == 0 {
			return
		}
		refused++
		w := *v
		w.Next = next
		if again := reckon(&w, l); strings.Join(again, "\n") != strings.Join(listed(left), "\n") || len(again) > len(found) {
			t.Fatalf("repaired: %v left, the reckoning finds %v of %v", left, again, found)
		}
		if len(left) == 0 {
			mended++
			for class, by := range next {
				for zone, row := range by {
					for host := range row {
						for _, h := range v.Hosts {
							if h.Name == host && !h.Ready && len(listed(found)) > 0 && !same(next, v.Next) {
								t.Fatalf("%s in %s holds %s, which may not stay", class, zone, host)
							}
						}
					}
				}
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

func same(a, b Tables) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// Each check found by a view that breaks it and nothing else, with its figures and what is given instead.
func TestEachCheck(t *testing.T) {
	plain := func() (*View, Limits) {
		row := func() map[string]map[string]float64 {
			return map[string]map[string]float64{"a": {"x": 1, "y": 1, "z": 1}, "b": {"x": 1, "y": 1, "z": 1}}
		}
		return &View{Classes: []Class{{"sheet", 100, false}, {"finish", 50, false}}, Zones: []string{"a", "b"},
			Hosts:  []Host{{"x", "a", true, 1, 4, 0}, {"y", "a", true, 1, 4, 0}, {"z", "b", true, 1, 4, 0}},
			Demand: map[string]map[string]float64{"sheet": {"a": 10, "b": 10}, "finish": {"a": 10, "b": 10}},
			Now:    Tables{"sheet": row(), "finish": row()}, Next: Tables{"sheet": row(), "finish": row()}}, Limits{Over: 1, Jump: 0.4}
	}
	var out strings.Builder
	for _, x := range []struct {
		name string
		do   func(v *View, l *Limits)
	}{
		{"a good table", func(*View, *Limits) {}},
		{"a weight that is no number", func(v *View, _ *Limits) { v.Next["sheet"]["a"]["x"] = math.NaN() }},
		{"sound for one class and empty for the other", func(v *View, _ *Limits) { v.Next["finish"]["b"] = map[string]float64{} }},
		{"only a host that drains", func(v *View, l *Limits) {
			v.Hosts[0].Ready, l.Jump = false, 0
			v.Next["sheet"]["a"] = map[string]float64{"x": 1}
		}},
		{"a host over its cap", func(v *View, l *Limits) { v.Hosts[2].Cap, l.Jump = 0.5, 0 }},
		{"over its cap once the host that drains is gone", func(v *View, l *Limits) {
			v.Hosts[0].Ready, v.Hosts[2].Cap, l.Jump = false, 1.2, 0
			for _, c := range []string{"sheet", "finish"} {
				for _, z := range v.Zones {
					delete(v.Next[c][z], "x")
				}
			}
		}},
		{"a cold host over its budget", func(v *View, _ *Limits) { v.Hosts[1].Warmth, v.Hosts[1].Most = 0.2, 0.7 }},
		{"without the zone that carries most", func(v *View, l *Limits) { l.Spare, v.Hosts[2].Cap = true, 2.9 }},
		{"a jump", func(v *View, _ *Limits) { v.Next["sheet"]["a"] = map[string]float64{"x": 9, "y": 0.5, "z": 0.5} }},
		{"more than there is room for: levels help, no table does", func(v *View, _ *Limits) { v.Demand["sheet"]["a"] = 1000 }},
	} {
		v, l := plain()
		x.do(v, &l)
		fmt.Fprintln(&out, x.name)
		for _, f := range Check(v, l) {
			fmt.Fprintln(&out, "  "+f.String())
		}
		next, left := Repair(v, l)
		if !same(next, v.Next) {
			fmt.Fprintf(&out, "  instead %.3v\n", next)
		}
		for _, f := range left {
			fmt.Fprintln(&out, "  left: "+f.String())
		}
	}
	kept.Compare(t, "checks", out.String())
}

// A list that loses too much at once is held back until it is whole, confirmed, or its hold is over.
func TestListing(t *testing.T) {
	l := NewListing(ListLimits{Lose: 0.5, Hold: 1500})
	for _, x := range []struct {
		now                    float64
		ready, lost, confirmed int
		held                   bool
	}{{0, 10, 5, 0, false}, {100, 10, 6, 0, true}, {1000, 10, 6, 0, true}, {1100, 10, 0, 0, false}, {2000, 10, 10, 0, true}, {2100, 10, 10, 5, false},
		{3000, 10, 8, 2, true}, {4499, 10, 8, 2, true}, {4500, 10, 8, 2, false}, {5000, 0, 0, 0, false}} {
		if held := l.Take(x.now, x.ready, x.lost, x.confirmed); held != x.held {
			t.Errorf("%+v: held %v", x, held)
		}
	}
	if NewListing(ListLimits{}).Take(0, 10, 10, 0) {
		t.Error("held without a limit")
	}
}

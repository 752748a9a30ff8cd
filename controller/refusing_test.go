package controller

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/guard"
	"barleysail/operator"
	"barleysail/routing"
)

// refusing is a steward with uneven hosts under a demand that fills the small ones, the guard refusing.
func refusing(t *testing.T, l guard.Limits) (*desk, []Endpoint, *int64) {
	d, list := uneven(t, false)
	d.quiet = true
	d.EnableValidation(l, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	return d, list, new(int64)
}

// out is what a zone's first proxy was last given, in words.
func (d *desk) out(proxy string) string {
	a, _ := d.PublishedTables(proxy)
	var all []string
	for i, t := 0, a.Tables()[0]; i < len(t.Hosts); i++ {
		all = append(all, fmt.Sprintf("%s %.3g", t.Hosts[i], t.Weights[i]))
	}
	return strings.Join(all, ", ")
}

// Hosts over their capacity get less than the module decided, as little as does, and a drain is through in time: it is
// taken out of what the guard gives too.
func TestRefuseOver(t *testing.T) {
	d, list, n := refusing(t, guard.Limits{CapacityMultiple: 0.85})
	d.work(30, 22, n)
	d.say("decided %.3g, published %s", d.tables.table(0).row, d.out("p"))
	if g := d.gap(); g == nil || g.Result < 0.85 { // 0.71 without the guard
		t.Errorf("gap %+v", g)
	}
	d.say("a large host drains")
	list[1].State = routing.Draining
	d.list(list)
	d.work(1, 22, n)
	d.say("published %s", d.out("p"))
	d.say("with little demand nothing is refused")
	list[1].State = routing.Ready
	d.list(list)
	d.work(30, 2, n)
	d.say("decided %.3g, published %s", d.tables.table(0).row, d.out("p"))
	d.check()
}

// A jump is made in steps, each once the one before is out.
func TestRefuseJump(t *testing.T) {
	d, _, n := refusing(t, guard.Limits{MaxTrafficShift: 0.1})
	d.work(3, 2, n)
	d.say("an operator wants three times the weight for a host")
	d.operate(operator.Command{Host: "10.0.0.1:80", Weight: 9})
	for range 8 {
		d.work(1, 2, n)
		d.say("published %s", d.out("q"))
	}
	d.say("refused %d times, refusing %v", d.ValidationReport().Refused, d.ValidationReport().Refusing)
	d.check()
}

// A guard that can find nothing sound says so and serves the least bad.
func TestRefuseAll(t *testing.T) {
	set := settings()
	set.classes[0].ZoneLocal = true
	d, n := open(t, set), new(int64)
	d.quiet = true
	d.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.2}, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	list := d.hosts(4)
	for i := range list {
		list[i].Zone, list[i].Cores = "a", 4
	}
	list[0].Zone, list[0].Cores = "b", 1 // alone in its zone
	d.list(list)
	d.work(30, 10, n)
	d.say("published %s", d.out("p"))
	r := d.ValidationReport()
	d.say("refusing %v, left %v", r.Refusing, r.Left)
	d.check()
}

// Where the channel has no room for the guard's own lines, what was published stays but for removals.
func TestRefuseWithoutRoom(t *testing.T) {
	d, list, n := refusing(t, guard.Limits{CapacityMultiple: 1})
	d.work(14, 22, n)
	before := d.out("p")
	d.channel.mostWaiting = 10
	d.work(10, 10, n)
	if after := d.out("p"); after != before {
		t.Errorf("without room %s became %s", before, after)
	}
	list[3].State = routing.Draining
	d.list(list)
	d.work(1, 10, n)
	if after := d.out("p"); strings.Contains(after, "10.0.0.3:80") || !strings.Contains(after, "10.0.0.1:80") {
		t.Errorf("after a drain %s", after)
	}
}

// What an operator would publish is looked at beforehand.
func TestGuardCheck(t *testing.T) {
	for _, on := range []bool{false, true} {
		d, list := uneven(t, false)
		if on {
			d.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5}, RepairSettings{}, guard.EndpointLossLimits{})
		}
		n := int64(0)
		d.quiet = true
		d.work(10, 22, &n)
		a, err := d.ValidateTables("a", map[string]map[string]float64{"sheet": {list[0].Host: 1}})
		if err != nil || len(a.Findings) == 0 || a.Findings[0].Check != guard.OverCapacity {
			t.Errorf("on %v: %+v %v", on, a, err)
		}
		a, err = d.ValidateTables("", map[string]map[string]float64{"sheet": {list[1].Host: 1, list[3].Host: 1, list[0].Host: 0.3, list[2].Host: 0.3}})
		if err != nil || len(a.Findings) != 0 || a.Instead != nil {
			t.Errorf("on %v: %+v %v", on, a, err)
		}
		for _, x := range []map[string]map[string]float64{{"other": {}}, {"sheet": {"10.9.9.9:80": 1}}} {
			if _, err := d.ValidateTables("a", x); err == nil {
				t.Errorf("%v was taken", x)
			}
		}
		if _, err := d.ValidateTables("z", nil); err == nil {
			t.Error("zone z was taken")
		}
	}
}

// Whatever happens, what is published while the guard refuses holds no host that may not stay, none that the module left
// out unless nobody were left, is nowhere worse than decided, and the caps of the channel hold.
func TestRefusingKeepsRules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
		set.channel.MaxMessages = 20
		d := open(t, set)
		l := guard.Limits{CapacityMultiple: rapid.SampledFrom([]float64{0.5, 1}).Draw(r, "over"), MaxTrafficShift: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "jump"), SurviveZoneLoss: true}
		d.EnableValidation(l, RepairSettings{Enabled: true, SurviveZoneLoss: rapid.Bool().Draw(r, "spare")}, guard.EndpointLossLimits{})
		list := d.hosts(6)
		for i := range list {
			list[i].Cores = rapid.SampledFrom([]float64{1, 2, 4}).Draw(r, "cores")
		}
		d.list(list)
		sent := map[string][]float64{}
		for step := range rapid.IntRange(5, 30).Draw(r, "steps") {
			h := rapid.IntRange(0, 5).Draw(r, "host")
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				list[h].State = 3 - list[h].State
			case 1:
				list[h].Weight = rapid.SampledFrom([]float64{0.2, 1, 5}).Draw(r, "weight")
			case 2:
				list[h].StartedMs = d.at
			}
			d.list(list)
			came := rapid.SampledFrom([]int{1, 10, 40}).Draw(r, "came")
			for i, p := range []string{"p", "q"} {
				d.poll(PollRequest{Proxy: p, Zone: d.fleet.Zones[i], WaitMs: 900, Tags: []string{d.tagOf(p)}, AcceptDelta: true})
				d.ObserveProxyStats(d.at, p, ProxyStats{Sequence: int64(step + 1), Demand: map[string]ClassDemand{"sheet": {Arrivals: came, WindowMs: 1000}, "finish": {Arrivals: came, WindowMs: 1000}}})
			}
			for range 5 {
				d.run(200)
				if w := d.channel.waiting(); w > d.channel.mostWaiting {
					r.Fatalf("%g lines wait", w)
				}
				for _, m := range d.members.byIndex {
					sent[m.name] = append(sent[m.name], m.sent...)
					slices.Sort(sent[m.name])
					sent[m.name] = slices.Compact(sent[m.name])
					if n := len(sent[m.name]); n > 20 && sent[m.name][n-1]-sent[m.name][n-21] < 10000 {
						r.Fatalf("more than 20 messages within 10 s")
					}
				}
				d.sound(r, l)
			}
		}
	})
}

// sound checks what is ordered against what was decided.
func (d *desk) sound(r *rapid.T, l guard.Limits) {
	b := d.tables.table(0)
	if b.out == nil {
		return
	}
	able := false
	for h, w := range b.row {
		ready, _ := d.module.HostStatus(h)
		able = able || ready && w > 0
	}
	for h, w := range b.out {
		ready, _ := d.module.HostStatus(h)
		if w != 0 && (!ready || able && b.row[h] == 0) || w < 0 || math.IsNaN(w) {
			r.Fatalf("host %d has %g, decided %g, ready %v", h, w, b.row[h], ready)
		}
	}
	if able && slices.Max(b.out) <= 0 {
		r.Fatalf("nobody is left of %v", b.row)
	}
}

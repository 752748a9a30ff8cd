package controller

import (
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/guard"
	"barleysail/operator"
	"barleysail/routing"
)

// Hosts over their capacity get less than the module decided, as little as does, and a drain is through in time: it is
// taken out of what the guard gives too.
func TestRepairOverCapacity(t *testing.T) {
	d, list, n := newRepairHarness(t, guard.Limits{CapacityMultiple: 0.85})
	d.reportDemand(30, 22, n)
	d.printf("decided %.3g, published %s", d.tables.table(0).decided, d.describeTable("p"))
	if g := d.solverGap(); g == nil || g.Result < 0.85 { // 0.71 without the guard
		t.Errorf("gap %+v", g)
	}
	d.printf("a large host drains")
	list[1].State = routing.Draining
	d.mustSetEndpoints(list)
	d.reportDemand(1, 22, n)
	d.printf("published %s", d.describeTable("p"))
	d.printf("with little demand nothing is refused")
	list[1].State = routing.Ready
	d.mustSetEndpoints(list)
	d.reportDemand(30, 2, n)
	d.printf("decided %.3g, published %s", d.tables.table(0).decided, d.describeTable("p"))
	d.checkTrace()
}

// A jump is made in steps, each once the one before is out.
func TestRepairTrafficShift(t *testing.T) {
	d, _, n := newRepairHarness(t, guard.Limits{MaxTrafficShift: 0.1})
	d.reportDemand(3, 2, n)
	d.printf("an operator wants three times the weight for a host")
	d.applyOverrides(operator.Command{Host: "10.0.0.1:80", Weight: 9})
	for range 8 {
		d.reportDemand(1, 2, n)
		d.printf("published %s", d.describeTable("q"))
	}
	d.printf("refused %d times, refusing %v", d.ValidationReport().Refused, d.ValidationReport().Refusing)
	d.checkTrace()
}

// A guard that can find nothing sound says so and serves the least bad.
func TestRepairWithoutValidTables(t *testing.T) {
	set := defaultTestSettings()
	set.classes[0].ZoneLocal = true
	d, n := newHarness(t, set), new(int64)
	d.hideNotModified = true
	d.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.2}, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	list := d.readyEndpoints(4)
	for i := range list {
		list[i].Zone, list[i].Cores = "a", 4
	}
	list[0].Zone, list[0].Cores = "b", 1 // alone in its zone
	d.mustSetEndpoints(list)
	d.reportDemand(30, 10, n)
	d.printf("published %s", d.describeTable("p"))
	r := d.ValidationReport()
	d.printf("refusing %v, left %v", r.Refusing, r.Left)
	d.checkTrace()
}

// Where the channel has no room for the guard's own lines, what was published stays but for removals.
func TestRepairWithoutChannelCapacity(t *testing.T) {
	d, list, n := newRepairHarness(t, guard.Limits{CapacityMultiple: 1})
	d.reportDemand(14, 22, n)
	before := d.describeTable("p")
	d.channel.maxBacklog = 10
	d.reportDemand(10, 10, n)
	if after := d.describeTable("p"); after != before {
		t.Errorf("without room %s became %s", before, after)
	}
	list[3].State = routing.Draining
	d.mustSetEndpoints(list)
	d.reportDemand(1, 10, n)
	if after := d.describeTable("p"); strings.Contains(after, "10.0.0.3:80") || !strings.Contains(after, "10.0.0.1:80") {
		t.Errorf("after a drain %s", after)
	}
}

// Whatever happens, what is published while the guard refuses holds no host that may not stay, none that the module left
// out unless nobody were left, is nowhere worse than decided, and the caps of the channel hold.
func TestRepairKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := defaultTestSettings()
		set.channel.MaxMessages = 20
		d := newHarness(t, set)
		l := guard.Limits{CapacityMultiple: rapid.SampledFrom([]float64{0.5, 1}).Draw(r, "over"), MaxTrafficShift: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "jump"), SurviveZoneLoss: true}
		d.EnableValidation(l, RepairSettings{Enabled: true, SurviveZoneLoss: rapid.Bool().Draw(r, "spare")}, guard.EndpointLossLimits{})
		list := d.readyEndpoints(6)
		for i := range list {
			list[i].Cores = rapid.SampledFrom([]float64{1, 2, 4}).Draw(r, "cores")
		}
		d.mustSetEndpoints(list)
		sent := map[string][]float64{}
		for step := range rapid.IntRange(5, 30).Draw(r, "steps") {
			h := rapid.IntRange(0, 5).Draw(r, "host")
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				list[h].State = 3 - list[h].State
			case 1:
				list[h].Weight = rapid.SampledFrom([]float64{0.2, 1, 5}).Draw(r, "weight")
			case 2:
				list[h].StartedMs = d.nowMs
			}
			d.mustSetEndpoints(list)
			came := rapid.SampledFrom([]int{1, 10, 40}).Draw(r, "came")
			for i, p := range []string{"p", "q"} {
				d.poll(PollRequest{Proxy: p, Zone: d.deployment.Zones[i], WaitMs: 900, Tags: []string{d.newestTag(p)}, AcceptDelta: true})
				d.ObserveProxyStats(d.nowMs, p, ProxyStats{Sequence: int64(step + 1), Demand: map[string]ClassDemand{"sheet": {Arrivals: came, WindowMs: 1000}, "finish": {Arrivals: came, WindowMs: 1000}}})
			}
			for range 5 {
				d.advance(200)
				if w := d.channel.backlog(); w > d.channel.maxBacklog {
					r.Fatalf("%g lines wait", w)
				}
				for _, m := range d.sessions.byIndex {
					sent[m.proxy] = append(sent[m.proxy], m.sentMs...)
					slices.Sort(sent[m.proxy])
					sent[m.proxy] = slices.Compact(sent[m.proxy])
					if n := len(sent[m.proxy]); n > 20 && sent[m.proxy][n-1]-sent[m.proxy][n-21] < 10000 {
						r.Fatalf("more than 20 messages within 10 s")
					}
				}
				d.checkPublished(r, l)
			}
		}
	})
}

// checkPublished checks what is ordered against what was decided.
func (d *harness) checkPublished(r *rapid.T, l guard.Limits) {
	b := d.tables.table(0)
	if b.published == nil {
		return
	}
	able := false
	for h, w := range b.decided {
		ready, _ := d.balancer.HostStatus(h)
		able = able || ready && w > 0
	}
	for h, w := range b.published {
		ready, _ := d.balancer.HostStatus(h)
		if w != 0 && (!ready || able && b.decided[h] == 0) || w < 0 || math.IsNaN(w) {
			r.Fatalf("host %d has %g, decided %g, ready %v", h, w, b.decided[h], ready)
		}
	}
	if able && slices.Max(b.published) <= 0 {
		r.Fatalf("nobody is left of %v", b.decided)
	}
}

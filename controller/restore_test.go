package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// restart is another life of a steward, which starts so much later with what the one before kept, as it comes from a file.
func (d *harness) restart(t *testing.T, set testSettings, life string, later float64) *harness {
	kept := d.Snapshot(d.nowMs)
	text, err := proto.Marshal(kept)
	if err != nil {
		t.Fatal(err)
	}
	return restoreHarness(t, set, life, text, d.nowMs+later)
}

func restoreHarness(t *testing.T, set testSettings, life string, text []byte, at float64) *harness {
	kept := &statepb.State{}
	if err := proto.Unmarshal(text, kept); err != nil {
		t.Fatal(err)
	}
	set.Incarnation = life
	n := newHarness(t, set)
	n.nowMs = at
	n.Restore(at, state.ApplyDecay(kept, at, state.DefaultLimits(set.guard.SlowStartMs)))
	return n
}

// A life after another goes on with deltas onto what the proxies hold, gives a host that failed less from the first table,
// and forgets both in time.
func TestNextIncarnation(t *testing.T) {
	set := defaultTestSettings()
	d := newHarness(t, set)
	d.hideNotModified = true
	list := d.readyEndpoints(4)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, RequestRate: 90})
	n := int64(0)
	d.reportFailures(list, list[1].Host, 6, &n)
	d.printf("the first life gave %s", d.describeTable("p"))
	tag := d.newestTag("p")
	for _, later := range []float64{1000, 60e3, 3600e3} {
		x := d.restart(t, set, "M", later)
		x.printf("after %.0f s", later/1000)
		x.mustSetEndpoints(list)
		x.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
		x.advance(500)
		x.printf("it gives %s, rate %.0f", x.describeTable("p"), x.sessions.byProxy["p"].requestRates[0])
		m := x.Status(x.nowMs).Memory
		x.printf("recalled %d hosts, %d proxies, %d versions; %s", m.Hosts, m.Proxies, m.Versions, m.Why)
		d.trace.WriteString(x.trace.String())
	}
	x := d.restart(t, set, "M", -5000)
	x.mustSetEndpoints(list)
	x.printf("%s", x.Status(x.nowMs).Memory.Why)
	d.trace.WriteString(x.trace.String())
	d.checkTrace()
}

// A proxy with a tag of neither life, or whose kept table is of other classes, gets the whole; one that is in another zone
// now is another.
func TestUnknownTags(t *testing.T) {
	set := defaultTestSettings()
	d := newHarness(t, set)
	list := d.readyEndpoints(2)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(100)
	d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.newestTag("p")}})
	tag := d.newestTag("p")
	for _, x := range []struct {
		what string
		q    PollRequest
		want ResponseKind
		set  func(s *testSettings)
	}{
		{"its own", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Delta, func(*testSettings) {}},
		{"without deltas", PollRequest{Proxy: "p", Tags: []string{tag}}, Snapshot, func(*testSettings) {}},
		{"another's", PollRequest{Proxy: "p", Tags: []string{"L-999"}, AcceptDelta: true}, Snapshot, func(*testSettings) {}},
		{"another proxy's", PollRequest{Proxy: "q", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(*testSettings) {}},
		{"another zone", PollRequest{Proxy: "p", Zone: "b", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(*testSettings) {}},
		{"other classes", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(s *testSettings) { s.classes = s.classes[:1] }},
	} {
		other := defaultTestSettings()
		x.set(&other)
		n := d.restart(t, other, "M", 1000)
		n.mustSetEndpoints(list[:1]) // one host is gone, so there is something to tell
		x.q.WaitMs = 60000
		id := n.poll(x.q)
		n.advance(400)
		if a, ok := n.responses[id]; !ok || a.Kind != x.want || a.Kind == Delta && a.BaseTag != tag {
			t.Errorf("%s: %+v", x.what, a)
		}
	}
}

// A host that started shortly before the restart is still cold after it, though the list tells no start; one that the list
// says started since is cold anew.
func TestRestartDuringSlowStart(t *testing.T) {
	set := defaultTestSettings()
	d := newHarness(t, set)
	list := d.readyEndpoints(3)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(1000)
	fresh := Endpoint{Host: "10.0.0.9:80", Zone: "a", State: routing.Ready, Weight: 1}
	d.mustSetEndpoints(append(list, fresh))
	d.advance(2000)
	warmth := func(x *harness, host string) float64 { i, _ := x.HostInfo(host); return i.Why.SlowStartFactor }
	was := warmth(d, fresh.Host)
	x := d.restart(t, set, "M", 1000)
	x.mustSetEndpoints(append(list, fresh))
	x.advance(10)
	if got := warmth(x, fresh.Host); got <= was || got > was+0.1 || got >= 1 {
		t.Errorf("warmth %.2f before, %.2f a second later", was, got)
	}
	cold := newHarness(t, set)
	cold.nowMs = x.nowMs
	cold.mustSetEndpoints(append(list, fresh))
	if got := warmth(cold, fresh.Host); got != 1 {
		t.Errorf("without a state it counts as started long ago, but has %.2f", got)
	}
	list[0].StartedMs = d.nowMs + 500
	y := d.restart(t, set, "M", 1000)
	y.mustSetEndpoints(append(list, fresh))
	y.advance(10)
	if got := warmth(y, list[0].Host); got > 0.3 {
		t.Errorf("it started anew and has %.2f", got)
	}
}

// Restarted within a drain's grace: proxies that come back with the table of before are told the removal in what is left of
// it, and the drain counts from when it was first told.
func TestRestartDuringDrain(t *testing.T) {
	set := defaultTestSettings()
	d := newHarness(t, set)
	list := d.readyEndpoints(3)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(1000)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.newestTag("p")}})
	tag := d.newestTag("p")
	list[1].State = routing.Draining
	first := d.nowMs
	d.mustSetEndpoints(list) // and nothing of it gets out: the steward is killed
	x := d.restart(t, set, "M", 800)
	x.mustSetEndpoints(list)
	x.advance(200)
	id := x.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
	x.advance(set.guard.DrainGraceMs - 1000)
	if a, ok := x.responses[id]; !ok || !strings.Contains(string(a.Body()), `"10.0.0.1:80":null`) {
		t.Errorf("not told within the grace: %v", x.trace.String())
	}
	if kept := x.Snapshot(x.nowMs); kept.Hosts[1].Drains != first {
		t.Errorf("it drains since %g, not %g", kept.Hosts[1].Drains, first)
	}
}

// Restarted while a third is let in: a little more is at once, not all.
func TestRestartDuringAdmissionControl(t *testing.T) {
	set := defaultTestSettings()
	kept := &statepb.State{Life: "L", At: 50000, Fleet: &statepb.Fleet{Level: 0.3, Classes: []string{"sheet", "finish"}, Shares: []float64{0.2, 0.9}, At: 50000}}
	text, _ := proto.Marshal(kept)
	for _, x := range []struct{ later, level, sheet float64 }{{1000, 0.32, 0.23}, {20000, 0.65, 0.6}, {300e3, 1, 1}} {
		d := restoreHarness(t, set, "M", text, 50000+x.later)
		d.mustSetEndpoints(d.readyEndpoints(2))
		d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
		d.advance(1500)
		a, _ := d.PublishedTables("p")
		level, _, _ := d.balancer.Admission()
		if math.Abs(level-x.level) > 0.02 || math.Abs(a.Tables()[0].AdmissionRatio-x.sheet) > 0.02 {
			t.Errorf("after %g ms: level %.2f, share %.2f", x.later, level, a.Tables()[0].AdmissionRatio)
		}
	}
}

// What operators set is set again, and ends at its time.
func TestOverridesSurviveRestart(t *testing.T) {
	set := defaultTestSettings()
	d := newHarness(t, set)
	list := d.readyEndpoints(4)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(1000)
	for _, o := range []operator.Command{{Host: list[0].Host, State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "ann"}, {Host: list[1].Host, Weight: 3},
		{Host: "10.0.0.8:80", Weight: -1, Add: &operator.AddedHost{Zone: "b", Weight: 1, Cores: 4}}} {
		d.applyOverrides(o)
	}
	x := d.restart(t, set, "M", 5000)
	x.mustSetEndpoints(list)
	x.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	x.advance(1000)
	describe := func() (all []string) {
		for _, i := range x.HostInfos() {
			all = append(all, fmt.Sprintf("%s %s listed %g", i.Host, i.Phase, i.Listed))
		}
		return all
	}
	x.printf("%s", strings.Join(describe(), "; "))
	x.advance(20000)
	x.printf("later %s", strings.Join(describe(), "; "))
	x.checkTrace()
}

// Six hundred proxies come back within a second, half with the tables of before: the caps of the channel hold, all have
// tables in time, and those with a tag are told less.
func TestManyProxiesReconnect(t *testing.T) {
	set := defaultTestSettings()
	set.Deployment.Proxies, set.channel.EntriesPerSecond, set.channel.MaxBacklog = 600, 8000, 16000
	d := newHarness(t, set)
	d.hideNotModified = true
	list := d.readyEndpoints(40)
	d.mustSetEndpoints(list)
	name := func(i int) string { return fmt.Sprintf("p%03d", i) }
	join := func(x *harness, tagged bool) {
		for i := range 600 {
			q := PollRequest{Proxy: name(i), Zone: set.Zones[i%2], WaitMs: 60000, AcceptDelta: true, RequestRate: 1 + float64(i%50)}
			if tagged && i%2 == 0 {
				q.Tags = []string{d.newestTag(q.Proxy)}
			}
			x.poll(q)
			if i%6 == 5 {
				x.advance(10)
			}
			if w := x.channel.backlog(); w > set.channel.MaxBacklog {
				t.Fatalf("%g lines wait", w)
			}
		}
	}
	join(d, false)
	for range 15 { // until all hold the whole table, and have acknowledged it
		d.advance(3000)
		for i := range 600 {
			d.poll(PollRequest{Proxy: name(i), Zone: set.Zones[i%2], WaitMs: 60000, Tags: []string{d.newestTag(name(i))}, AcceptDelta: true})
		}
	}
	x := d.restart(t, set, "M", 3000)
	x.hideNotModified = true
	x.mustSetEndpoints(list[1:]) // one is gone meanwhile
	began := x.nowMs
	join(x, true)
	for x.nowMs < began+10000 {
		x.advance(100)
		if w := x.channel.backlog(); w > set.channel.MaxBacklog {
			t.Fatalf("%g lines wait", w)
		}
	}
	deltas, bytes := x.Status(x.nowMs).Memory.Versions, [2]int{}
	for _, m := range x.sessions.byProxy {
		a, ok := x.PublishedTables(m.proxy)
		if !ok || len(a.Tables()[0].Hosts) == 0 {
			t.Fatalf("%s holds nothing", m.proxy)
		}
	}
	for _, a := range x.responses {
		if a.Kind == Delta {
			bytes[0] += len(a.Body())
		} else if a.Kind == Snapshot {
			bytes[1] += len(a.Body())
		}
	}
	if deltas < 290 {
		t.Errorf("%d went on from their old tables", deltas)
	}
	t.Logf("%d went on from their old tables; %d bytes of deltas, %d of wholes", deltas, bytes[0], bytes[1])
}

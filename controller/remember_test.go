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

// next is another life of a steward, which starts so much later with what the one before kept, as it comes from a file.
func (d *desk) next(t *testing.T, set plain, life string, later float64) *desk {
	kept := d.Snapshot(d.at)
	text, err := proto.Marshal(kept)
	if err != nil {
		t.Fatal(err)
	}
	return wake(t, set, life, text, d.at+later)
}

func wake(t *testing.T, set plain, life string, text []byte, at float64) *desk {
	kept := &statepb.State{}
	if err := proto.Unmarshal(text, kept); err != nil {
		t.Fatal(err)
	}
	set.Incarnation = life
	n := open(t, set)
	n.at = at
	n.Restore(at, state.ApplyDecay(kept, at, state.DefaultLimits(set.guard.SlowStartMs)))
	return n
}

// failing lets a host fail all its tries for some seconds while the others serve.
func (d *desk) failing(list []Endpoint, bad string, seconds int, number *int64) {
	for range seconds {
		*number++
		hosts := map[string]HostStats{}
		for _, e := range list {
			hosts[e.Host] = HostStats{Attempts: 20, MeanLatencyMs: 50, WindowMs: 1000, Load: routing.UnknownLoad}
		}
		hosts[bad] = HostStats{Attempts: 20, Failed: 20, WindowMs: 1000, Load: routing.UnknownLoad}
		d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.tagOf("p")}, AcceptDelta: true})
		d.ObserveProxyStats(d.at, "p", ProxyStats{Sequence: *number, Hosts: hosts, Demand: map[string]ClassDemand{"sheet": {Arrivals: 80, WindowMs: 1000}, "finish": {Arrivals: 10, WindowMs: 1000}}})
		d.run(1000)
	}
}

// A life after another goes on with deltas onto what the proxies hold, gives a host that failed less from the first table,
// and forgets both in time.
func TestNextLife(t *testing.T) {
	set := settings()
	d := open(t, set)
	d.quiet = true
	list := d.hosts(4)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, RequestRate: 90})
	n := int64(0)
	d.failing(list, list[1].Host, 6, &n)
	d.say("the first life gave %s", d.out("p"))
	tag := d.tagOf("p")
	for _, later := range []float64{1000, 60e3, 3600e3} {
		x := d.next(t, set, "M", later)
		x.say("after %.0f s", later/1000)
		x.list(list)
		x.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
		x.run(500)
		x.say("it gives %s, rate %.0f", x.out("p"), x.members.byName["p"].rates[0])
		m := x.Status(x.at).Memory
		x.say("recalled %d hosts, %d proxies, %d versions; %s", m.Hosts, m.Proxies, m.Versions, m.Why)
		d.trace.WriteString(x.trace.String())
	}
	x := d.next(t, set, "M", -5000)
	x.list(list)
	x.say("%s", x.Status(x.at).Memory.Why)
	d.trace.WriteString(x.trace.String())
	d.check()
}

// A proxy with a tag of neither life, or whose kept table is of other classes, gets the whole; one that is in another zone
// now is another.
func TestStrangersTags(t *testing.T) {
	set := settings()
	d := open(t, set)
	list := d.hosts(2)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(100)
	d.poll(PollRequest{Proxy: "p", WaitMs: 900, Tags: []string{d.tagOf("p")}})
	tag := d.tagOf("p")
	for _, x := range []struct {
		what string
		q    PollRequest
		want ResponseKind
		set  func(s *plain)
	}{
		{"its own", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Delta, func(*plain) {}},
		{"without deltas", PollRequest{Proxy: "p", Tags: []string{tag}}, Snapshot, func(*plain) {}},
		{"another's", PollRequest{Proxy: "p", Tags: []string{"L-999"}, AcceptDelta: true}, Snapshot, func(*plain) {}},
		{"another proxy's", PollRequest{Proxy: "q", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(*plain) {}},
		{"another zone", PollRequest{Proxy: "p", Zone: "b", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(*plain) {}},
		{"other classes", PollRequest{Proxy: "p", Tags: []string{tag}, AcceptDelta: true}, Snapshot, func(s *plain) { s.classes = s.classes[:1] }},
	} {
		other := settings()
		x.set(&other)
		n := d.next(t, other, "M", 1000)
		n.list(list[:1]) // one host is gone, so there is something to tell
		x.q.WaitMs = 60000
		id := n.poll(x.q)
		n.run(400)
		if a, ok := n.answers[id]; !ok || a.Kind != x.want || a.Kind == Delta && a.BaseTag != tag {
			t.Errorf("%s: %+v", x.what, a)
		}
	}
}

// A host that started shortly before the restart is still cold after it, though the list tells no start; one that the list
// says started since is cold anew.
func TestRestartWhileAHostWarms(t *testing.T) {
	set := settings()
	d := open(t, set)
	list := d.hosts(3)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(1000)
	fresh := Endpoint{Host: "10.0.0.9:80", Zone: "a", State: routing.Ready, Weight: 1}
	d.list(append(list, fresh))
	d.run(2000)
	warmth := func(x *desk, host string) float64 { i, _ := x.HostInfo(host); return i.Why.SlowStartFactor }
	was := warmth(d, fresh.Host)
	x := d.next(t, set, "M", 1000)
	x.list(append(list, fresh))
	x.run(10)
	if got := warmth(x, fresh.Host); got <= was || got > was+0.1 || got >= 1 {
		t.Errorf("warmth %.2f before, %.2f a second later", was, got)
	}
	cold := open(t, set)
	cold.at = x.at
	cold.list(append(list, fresh))
	if got := warmth(cold, fresh.Host); got != 1 {
		t.Errorf("without a state it counts as started long ago, but has %.2f", got)
	}
	list[0].StartedMs = d.at + 500
	y := d.next(t, set, "M", 1000)
	y.list(append(list, fresh))
	y.run(10)
	if got := warmth(y, list[0].Host); got > 0.3 {
		t.Errorf("it started anew and has %.2f", got)
	}
}

// Restarted within a drain's grace: proxies that come back with the table of before are told the removal in what is left of
// it, and the drain counts from when it was first told.
func TestRestartInADrainsGrace(t *testing.T) {
	set := settings()
	d := open(t, set)
	list := d.hosts(3)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(1000)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{d.tagOf("p")}})
	tag := d.tagOf("p")
	list[1].State = routing.Draining
	first := d.at
	d.list(list) // and nothing of it gets out: the steward is killed
	x := d.next(t, set, "M", 800)
	x.list(list)
	x.run(200)
	id := x.poll(PollRequest{Proxy: "p", WaitMs: 60000, Tags: []string{tag}, AcceptDelta: true})
	x.run(set.guard.DrainGraceMs - 1000)
	if a, ok := x.answers[id]; !ok || !strings.Contains(string(a.Body()), `"10.0.0.1:80":null`) {
		t.Errorf("not told within the grace: %v", x.trace.String())
	}
	if kept := x.Snapshot(x.at); kept.Hosts[1].Drains != first {
		t.Errorf("it drains since %g, not %g", kept.Hosts[1].Drains, first)
	}
}

// Restarted while a third is let in: a little more is at once, not all.
func TestRestartDuringALevel(t *testing.T) {
	set := settings()
	kept := &statepb.State{Life: "L", At: 50000, Fleet: &statepb.Fleet{Level: 0.3, Classes: []string{"sheet", "finish"}, Shares: []float64{0.2, 0.9}, At: 50000}}
	text, _ := proto.Marshal(kept)
	for _, x := range []struct{ later, level, sheet float64 }{{1000, 0.32, 0.23}, {20000, 0.65, 0.6}, {300e3, 1, 1}} {
		d := wake(t, set, "M", text, 50000+x.later)
		d.list(d.hosts(2))
		d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
		d.run(1500)
		a, _ := d.PublishedTables("p")
		level, _, _ := d.module.Admission()
		if math.Abs(level-x.level) > 0.02 || math.Abs(a.Tables()[0].AdmissionRatio-x.sheet) > 0.02 {
			t.Errorf("after %g ms: level %.2f, share %.2f", x.later, level, a.Tables()[0].AdmissionRatio)
		}
	}
}

// What operators set is set again, and ends at its time.
func TestSettingsLast(t *testing.T) {
	set := settings()
	d := open(t, set)
	list := d.hosts(4)
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.run(1000)
	for _, o := range []operator.Command{{Host: list[0].Host, State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "ann"}, {Host: list[1].Host, Weight: 3},
		{Host: "10.0.0.8:80", Weight: -1, Add: &operator.AddedHost{Zone: "b", Weight: 1, Cores: 4}}} {
		d.operate(o)
	}
	x := d.next(t, set, "M", 5000)
	x.list(list)
	x.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	x.run(1000)
	describe := func() (all []string) {
		for _, i := range x.HostInfos() {
			all = append(all, fmt.Sprintf("%s %s listed %g", i.Host, i.Phase, i.Listed))
		}
		return all
	}
	x.say("%s", strings.Join(describe(), "; "))
	x.run(20000)
	x.say("later %s", strings.Join(describe(), "; "))
	x.check()
}

// Six hundred proxies come back within a second, half with the tables of before: the caps of the channel hold, all have
// tables in time, and those with a tag are told less.
func TestManyReturn(t *testing.T) {
	set := settings()
	set.Deployment.Proxies, set.channel.EntriesPerSecond, set.channel.MaxBacklog = 600, 8000, 16000
	d := open(t, set)
	d.quiet = true
	list := d.hosts(40)
	d.list(list)
	name := func(i int) string { return fmt.Sprintf("p%03d", i) }
	join := func(x *desk, tagged bool) {
		for i := range 600 {
			q := PollRequest{Proxy: name(i), Zone: set.Zones[i%2], WaitMs: 60000, AcceptDelta: true, RequestRate: 1 + float64(i%50)}
			if tagged && i%2 == 0 {
				q.Tags = []string{d.tagOf(q.Proxy)}
			}
			x.poll(q)
			if i%6 == 5 {
				x.run(10)
			}
			if w := x.channel.waiting(); w > set.channel.MaxBacklog {
				t.Fatalf("%g lines wait", w)
			}
		}
	}
	join(d, false)
	for range 15 { // until all hold the whole table, and have acknowledged it
		d.run(3000)
		for i := range 600 {
			d.poll(PollRequest{Proxy: name(i), Zone: set.Zones[i%2], WaitMs: 60000, Tags: []string{d.tagOf(name(i))}, AcceptDelta: true})
		}
	}
	x := d.next(t, set, "M", 3000)
	x.quiet = true
	x.list(list[1:]) // one is gone meanwhile
	began := x.at
	join(x, true)
	for x.at < began+10000 {
		x.run(100)
		if w := x.channel.waiting(); w > set.channel.MaxBacklog {
			t.Fatalf("%g lines wait", w)
		}
	}
	deltas, bytes := x.Status(x.at).Memory.Versions, [2]int{}
	for _, m := range x.members.byName {
		a, ok := x.PublishedTables(m.name)
		if !ok || len(a.Tables()[0].Hosts) == 0 {
			t.Fatalf("%s holds nothing", m.name)
		}
	}
	for _, a := range x.answers {
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

// What is remembered at full size, and how long it takes.
func BenchmarkRemember(b *testing.B) {
	d, _ := largest(func(*Controller) {})
	size := 0
	for range b.N {
		size = proto.Size(d.Snapshot(d.at))
	}
	b.ReportMetric(float64(size), "B")
}

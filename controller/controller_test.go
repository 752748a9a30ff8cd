package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"slices"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"

	"barleysail/guard"
	"barleysail/routing"
)

// A proxy joins, holds a poll, and gets what changed as a delta onto what it holds.
func TestLongPoll(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	d.printf("a proxy joins")
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000, AcceptDelta: true})
	d.advance(100)
	d.printf("without the preference to wait: nothing new, at once")
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: -1})
	d.printf("it waits; a host drains")
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000, AcceptDelta: true})
	d.advance(500)
	list := d.readyEndpoints(2)
	list[1].State = routing.Draining
	d.mustSetEndpoints(list)
	d.advance(500)
	d.printf("the same without deltas, onto a tag of the history: the whole")
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	d.printf("onto a tag of another life, and onto one that was never given: the whole")
	d.poll(PollRequest{Proxy: "p", Tags: []string{"K-1"}, WaitMs: 30000, AcceptDelta: true})
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-9"}, WaitMs: 30000, AcceptDelta: true})
	d.printf("whatever there is will do: held for 2 s")
	d.poll(PollRequest{Proxy: "p", AnyTag: true, WaitMs: 2000})
	d.advance(2500)
	d.checkTrace()
}

// Of two polls for a proxy the later one stays, and the earlier is answered at once. A version is acknowledged
// once, whatever tags come after.
func TestReplacedPoll(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	d.advance(100)
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	d.advance(50)
	d.printf("a second poll")
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	d.printf("acked %d, marks left %d", d.sessions.byProxy["p"].ackedVersion, len(d.sessions.byProxy["p"].versions[0].stamps))
	d.printf("the caller of the first is gone: nothing happens; of the second: the proxy has to poll again")
	d.CancelPoll(d.nowMs, "p", 2)
	d.printf("held %d", d.Status(d.nowMs).Polls)
	d.CancelPoll(d.nowMs, "p", 3)
	d.printf("held %d joined %d", d.Status(d.nowMs).Polls, d.Status(d.nowMs).Joined)
	d.advance(5100)
	d.printf("joined %d", d.Status(d.nowMs).Joined)
	d.checkTrace()
}

// A proxy that comes back after it left gets a fresh stay: its old tag names nothing.
func TestReconnect(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	d.advance(100)
	d.printf("leaves: %v, again: %v", d.Disconnect(d.nowMs, "p", d), d.Disconnect(d.nowMs, "p", d))
	d.advance(100)
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000, AcceptDelta: true})
	d.advance(100)
	d.printf("in another zone it is another stay")
	d.poll(PollRequest{Proxy: "p", Zone: "b", Tags: []string{"L-2"}, WaitMs: 30000, AcceptDelta: true})
	d.advance(100)
	d.checkTrace()
}

// A steward without a list orders no hosts, not even none: a proxy keeps what it brought. With the first list
// it does.
func TestEndpointsUnknown(t *testing.T) {
	set := defaultTestSettings()
	set.WatchesEndpoints = true
	d := newHarness(t, set)
	d.advance(100)
	d.poll(PollRequest{Proxy: "p", WaitMs: -1})
	d.advance(1000)
	d.printf("the list cannot be had")
	d.ObserveWatchFailure(d.nowMs)
	d.advance(1000)
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 5000, AcceptDelta: true})
	d.advance(1000)
	d.checkTrace()
}

// A delta never fits another base, and any of the history onto any later version gives that version.
func TestDeltasApplyToBase(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newHarness(t, defaultTestSettings())
		list := d.readyEndpoints(6)
		d.mustSetEndpoints(list)
		docs := map[string][]byte{}
		tags := []string{}
		for range rapid.IntRange(2, 12).Draw(r, "rounds") {
			id := d.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: tags})
			d.advance(400)
			whole := d.poll(PollRequest{Proxy: "p", WaitMs: -1})
			a := d.responses[whole]
			docs[a.Tag] = a.Body()
			tags = append(tags, a.Tag)
			base := rapid.SampledFrom(tags).Draw(r, "base")
			id = d.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: []string{base}, AcceptDelta: true})
			got := d.responses[id]
			body := got.Body()
			switch got.Kind {
			case NotModified:
				body = docs[base]
			case Delta:
				if got.BaseTag != base {
					r.Fatalf("a delta onto %s for a proxy that holds %s", got.BaseTag, base)
				}
				var err error
				if body, err = jsonpatch.MergePatch(docs[base], body); err != nil {
					r.Fatal(err)
				}
			}
			var x, y any
			if json.Unmarshal(body, &x) != nil || json.Unmarshal(docs[a.Tag], &y) != nil || !reflect.DeepEqual(x, y) {
				r.Fatalf("from %s: %s\nnot %s", base, body, docs[a.Tag])
			}
			for i := range list {
				list[i].State = rapid.SampledFrom([]routing.HostState{routing.Ready, routing.Draining}).Draw(r, "phase")
				list[i].Weight = rapid.Float64Range(0.5, 2).Draw(r, "weight")
			}
			d.mustSetEndpoints(list[:rapid.IntRange(1, 6).Draw(r, "listed")])
			d.advance(3000)
		}
	})
}

// Refused inputs leave everything as it was.
func TestInvalidInputs(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	for _, list := range [][]Endpoint{
		{{Host: "nonsense", Zone: "a", State: routing.Ready}}, {{Host: "10.0.0.1:0", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.999:80", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.1:99999", Zone: "a", State: routing.Ready}}, {{Host: "a b:80", Zone: "a", State: routing.Ready}},
		{{Host: "box-1.addis:80", Zone: "c", State: routing.Ready}}, {{Host: "[::1]:80", Zone: "a"}},
		{{Host: "h:1", Zone: "a", State: routing.Ready}, {Host: "h:1", Zone: "b", State: routing.Ready}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, Weight: math.NaN()}}, {{Host: "h:1", Zone: "a", State: routing.Ready, Weight: -1}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, StartedMs: math.Inf(1)}},
	} {
		d.printf("list refused: %v", d.SetEndpoints(d.nowMs, list))
	}
	d.printf("%d hosts", d.Status(d.nowMs).Hosts)
	for _, q := range []PollRequest{{Proxy: "", Zone: "a"}, {Proxy: "a/b", Zone: "a"}, {Proxy: "p", Zone: "c"}, {Proxy: "p", RequestRate: -1}, {Proxy: "p", RequestRate: math.NaN()}} {
		d.poll(q)
	}
	_, err := d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sequence: 1})
	d.printf("sums of a proxy that has not joined: %v, %v", err, errors.Is(err, ErrNotConnected))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	load, good := routing.UnknownLoad, HostStats{Attempts: 3, Failed: 1, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad}
	load.Utilization = math.NaN()
	for _, u := range []ProxyStats{
		{Sequence: 0}, {Sequence: 1, Hosts: map[string]HostStats{"10.9.9.9:80": good}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.1:80": {Attempts: 1, Failed: 2, WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: -1, Failed: -1, WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: math.Inf(1), WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: 1, WindowMs: 1, Load: load}}},
		{Sequence: 1, Demand: map[string]ClassDemand{"nothing": {Arrivals: 1, WindowMs: 1}}},
		{Sequence: 1, Demand: map[string]ClassDemand{"sheet": {Arrivals: 1, Unanswered: 2, WindowMs: 1}}},
	} {
		counted, err := d.ObserveProxyStats(d.nowMs, "p", u)
		d.printf("sums counted %v: %v", counted, err)
	}
	d.checkTrace()
}

// Sums are counted once for each number; a sender that starts over begins anew.
func TestStatsCountedOnce(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	d.advance(100)
	for _, u := range []ProxyStats{{Sender: "x", Sequence: 1}, {Sender: "x", Sequence: 1}, {Sender: "x", Sequence: 3}, {Sender: "x", Sequence: 2}, {Sender: "y", Sequence: 1}} {
		u.Hosts = map[string]HostStats{"10.0.0.0:80": {Attempts: 10, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad}}
		counted, err := d.ObserveProxyStats(d.nowMs, "p", u)
		d.printf("sums %s %d: counted %v, %v", u.Sender, u.Sequence, counted, err)
	}
	d.checkTrace()
}

// Messages with a removal leave the channel before others, and the queued message of a proxy takes in what is enqueued
// while it waits, its stamps in order.
func TestChannel(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	c := newControlChannel(routing.ControlChannel{EntriesPerSecond: 1000, MessageOverhead: 5, MaxMessages: 2, MessageWindowMs: 1000})
	one, two, three := &session{proxy: "one"}, &session{proxy: "two"}, &session{proxy: "three"}
	c.enqueue(one, 10, false, 1)
	c.enqueue(two, 10, false, 1)
	c.enqueue(three, 10, false, 1)
	d.printf("waiting %.0f lines in %d messages", c.backlog(), c.queuedMessages())
	c.enqueue(three, 3, true, 2)
	d.printf("a removal for three: waiting %.0f in %d", c.backlog(), c.queuedMessages())
	for range 4 {
		g := c.dequeue(0)
		if g == nil {
			d.printf("nothing")
			continue
		}
		d.printf("%s leaves with %.0f lines and marks %v", g.session.proxy, g.entries, g.stamps)
		c.unqueue(g)
		g.session.sentMs = append(g.session.sentMs, 0)
	}
	d.printf("waiting %.0f in %d", c.backlog(), c.queuedMessages())
	c.enqueue(one, 1, false, 3)
	one.sentMs = append(one.sentMs, 0)
	c.enqueue(two, 1, false, 3)
	d.printf("one has had two messages, as many as it may: %s goes", c.dequeue(1).session.proxy)
	c.drop(two)
	d.printf("two leaves: waiting %.0f in %d, next at %.0f", c.backlog(), c.queuedMessages(), c.nextMs())
	d.printf("after a second: %s", c.dequeue(1000).session.proxy)
	d.checkTrace()
}

// A version acknowledges its own stamps and those of all versions before it, in the order in which they were sent, each
// once.
func TestStampsOfAcknowledgedVersions(t *testing.T) {
	tests := []struct {
		name string
		acks []int64
		want [][]int
	}{
		{"each version by itself", []int64{3, 5, 9}, [][]int{{1, 2}, nil, {3}}},
		{"a later version counts for earlier ones", []int64{9}, [][]int{{1, 2, 3}}},
		{"a version is acknowledged once", []int64{5, 5, 3, 9}, [][]int{{1, 2}, nil, nil, {3}}},
		{"no version", []int64{0, 9}, [][]int{nil, {1, 2, 3}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			proxy := &session{versions: []version{{number: 3, stamps: []int{1, 2}}, {number: 5}, {number: 9, stamps: []int{3}}}}
			for i, number := range test.acks {
				if got := proxy.acknowledge(number); !slices.Equal(got, test.want[i]) {
					t.Errorf("version %d acknowledges the stamps %v, want %v", number, got, test.want[i])
				}
			}
		})
	}
}

// An acknowledgement counts at once, also while a message of the same round waits for another proxy; that proxy's own
// stamps stay unacknowledged.
func TestAcknowledgeAtOnce(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	d.poll(PollRequest{Proxy: "q", WaitMs: 30000})
	for len(d.responses) == 0 {
		d.advance(1)
	}
	p, q := d.sessions.byProxy["p"], d.sessions.byProxy["q"]
	if d.channel.inFlight == nil || d.channel.inFlight.session != q {
		t.Fatalf("in flight is %+v, want the message to q", d.channel.inFlight)
	}
	sent := slices.Clone(d.channel.inFlight.stamps)
	if len(sent) == 0 || !slices.Equal(p.versions[0].stamps, sent) {
		t.Fatalf("p was sent the stamps %v, q %v: want those of one round", p.versions[0].stamps, sent)
	}
	d.poll(PollRequest{Proxy: "p", Tags: []string{d.newestTag("p")}, WaitMs: 30000})
	if p.ackedVersion != p.versions[0].number || len(p.versions[0].stamps) != 0 {
		t.Errorf("p acknowledged version %d, its stamps %v are left", p.ackedVersion, p.versions[0].stamps)
	}
	if !slices.Equal(d.channel.inFlight.stamps, sent) {
		t.Errorf("the message to q has the stamps %v, want %v", d.channel.inFlight.stamps, sent)
	}
	d.advance(100)
	if !slices.Equal(q.versions[0].stamps, sent) || q.ackedVersion != 0 {
		t.Errorf("q acknowledged version %d, its stamps %v are left", q.ackedVersion, q.versions[0].stamps)
	}
	d.checkTrace()
}

// A host that is gone is forgotten when no table names it, and its index is given to another; a host that
// comes back without a start has started now.
func TestForgetRemovedHost(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(3))
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(200)
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 60000, AcceptDelta: true})
	d.mustSetEndpoints(d.readyEndpoints(2))
	d.advance(1000)
	d.poll(PollRequest{Proxy: "p", Tags: []string{"L-2"}, WaitMs: 60000, AcceptDelta: true})
	d.printf("indices %d", d.Status(d.nowMs).IndicesInUse)
	d.advance(60000)
	d.printf("indices %d", d.Status(d.nowMs).IndicesInUse)
	list := append(d.readyEndpoints(2), Endpoint{Host: "new.addis:80", Zone: "b", State: routing.Ready, Weight: 1})
	d.mustSetEndpoints(list)
	d.printf("the new host has index %d", d.Controller.hostIndex.IndexOf["new.addis:80"])
	d.advance(100)
	d.checkTrace()
}

// A steward runs for months: what it keeps stays bounded while hosts are replaced and proxies come and go.
func TestChurnIsBounded(t *testing.T) {
	before, after, st := churn(t, 3000)
	if st.IndicesInUse > 40 || after > before+4<<20 {
		t.Errorf("%d indices in use, heap %d to %d bytes", st.IndicesInUse, before, after)
	}
}

// churn replaces hosts and lets proxies join and leave, n times each.
func churn(t testing.TB, n int) (before, after uint64, st Status) {
	set := defaultTestSettings()
	set.RemovedHostRetentionMs = 1000
	d := &harness{nowMs: 1000, responses: map[int64]Response{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 1}, set.Settings)
	d.t = &testing.T{}
	list := d.readyEndpoints(20)
	d.mustSetEndpoints(list)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for i := range n {
		if i == n/10 {
			before = heap()
		}
		list[i%len(list)].Host = fmt.Sprintf("10.%d.%d.%d:80", i>>16+1, i>>8&255, i&255)
		d.mustSetEndpoints(list)
		p := fmt.Sprintf("p%d", i)
		d.poll(PollRequest{Proxy: p, WaitMs: 30000})
		d.advance(50)
		d.poll(PollRequest{Proxy: p, WaitMs: 30000, Tags: []string{fmt.Sprintf("L-%d", d.sessions.lastVersion)}})
		d.advance(50)
		if i%2 == 0 {
			d.Disconnect(d.nowMs, p, d)
		}
		clear(d.responses)
		d.trace.Reset()
	}
	after = heap()
	return before, after, d.Status(d.nowMs)
}

func BenchmarkChurn(b *testing.B) {
	for range b.N {
		before, after, st := churn(b, 100000)
		b.ReportMetric(float64(before)/1024, "KiB-before")
		b.ReportMetric(float64(after)/1024, "KiB-after")
		b.ReportMetric(float64(st.IndicesInUse), "indices")
	}
}

// newLargestHarness is a steward at the size of the largest deployment, all proxies joined and bound.
func newLargestHarness(before func(*Controller)) (*harness, []Endpoint) {
	set := defaultTestSettings()
	set.Deployment.Proxies, set.channel.EntriesPerSecond, set.channel.MaxBacklog = 607, 1e6, 1e6
	set.channel.MaxMessages = 0
	d := &harness{nowMs: 1000, responses: map[int64]Response{}, t: &testing.T{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 1}, set.Settings)
	before(d.Controller)
	var list []Endpoint
	for i := range 506 {
		list = append(list, Endpoint{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: set.Zones[i%2], State: routing.Ready, Weight: 1, Cores: 4})
	}
	d.mustSetEndpoints(list)
	for i := range 607 {
		d.poll(PollRequest{Proxy: fmt.Sprint("p", i), WaitMs: 60000})
	}
	d.advance(2000)
	return d, list
}

// BenchmarkRounds measures rounds of decisions while sums of 20 hosts a second come from every proxy, without the table
// guard and with it: while no table changes, and while hosts drain.
func BenchmarkRounds(b *testing.B) {
	for _, changing := range []int{0, 5, 1} { // a host drains and another is back: never, each second, in each round
		for i, name := range []string{"off", "tells", "refuses"} {
			b.Run(fmt.Sprintf("changing=%d/guard=%s", changing, name), func(b *testing.B) {
				d, list := newLargestHarness(func(s *Controller) {
					if i > 0 {
						s.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}, RepairSettings{Enabled: i > 1}, guard.EndpointLossLimits{})
					}
				})
				b.ResetTimer()
				for n := range b.N {
					b.StopTimer()
					for i := range 607 / 5 {
						p := fmt.Sprint("p", (n%5)*121+i)
						d.poll(PollRequest{Proxy: p, WaitMs: 60000, Tags: []string{d.newestTag(p)}, AcceptDelta: true})
						hosts := map[string]HostStats{}
						for k := range 20 {
							hosts[list[(i*20+n*7+k)%len(list)].Host] = HostStats{Attempts: 4, MeanLatencyMs: 100 + float64(k), WindowMs: 1000, Load: routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}}
						}
						if _, err := d.ObserveProxyStats(d.nowMs, p, ProxyStats{Sequence: int64(n + 1), Hosts: hosts, Demand: map[string]ClassDemand{"sheet": {Arrivals: 3, WindowMs: 1000}}}); err != nil {
							b.Fatal(err)
						}
					}
					if changing > 0 && n%changing == 0 {
						list[n%506].State, list[(n+505)%506].State = routing.Draining, routing.Ready
						d.mustSetEndpoints(list)
					}
					b.StartTimer()
					d.advance(200)
					d.trace.Reset()
					clear(d.responses)
				}
			})
		}
	}
}

// BenchmarkStats measures the intake of one proxy's sums of 20 hosts.
func BenchmarkStats(b *testing.B) {
	d, list := newLargestHarness(func(*Controller) {})
	hosts := map[string]HostStats{}
	for k := range 20 {
		hosts[list[k].Host] = HostStats{Attempts: 4, MeanLatencyMs: 100, WindowMs: 1000, Load: routing.HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}}
	}
	b.ResetTimer()
	b.ReportAllocs()
	for n := range b.N {
		if _, err := d.ObserveProxyStats(d.nowMs, "p1", ProxyStats{Sequence: int64(n + 1), Hosts: hosts}); err != nil {
			b.Fatal(err)
		}
	}
}

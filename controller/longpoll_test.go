package controller

import (
	"testing"

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

// Two proxies with one name are told, both are counted, and the one that holds a poll keeps it: they do not answer each
// other's polls for ever.
func TestDuplicateProxyName(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	list := d.readyEndpoints(1)
	d.mustSetEndpoints(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	d.advance(500)
	d.hideNotModified = true
	refused, answered := 0, len(d.responses)
	for i := range 100 {
		d.lastPoll++
		err := d.Poll(d.nowMs, d.lastPoll, PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000, Tags: []string{d.newestTag("p")}}, d)
		if err == ErrDuplicateProxy {
			refused++
		}
		d.advance(10)
		if i%20 == 0 {
			for _, sender := range []string{"one", "two"} {
				counted, err := d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sender: sender, Sequence: int64(i + 1), Hosts: map[string]HostStats{list[0].Host: {Attempts: 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}}})
				if !counted || err != nil {
					t.Errorf("sums of %s: %v, %v", sender, counted, err)
				}
			}
		}
	}
	if refused < 80 || len(d.responses)-answered > 15 || d.Status(d.nowMs).Polls != 1 {
		t.Errorf("%d refused, %d answered, %d held", refused, len(d.responses)-answered, d.Status(d.nowMs).Polls)
	}
	told := 0
	for _, e := range d.Events(0) {
		if e.Kind == "intake" {
			told++
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
	d.advance(11000)
	if err := d.Poll(d.nowMs, 1e6, PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000}, d); err != nil {
		t.Errorf("later one poll may take another's place: %v", err)
	}
}

package controller

import (
	"errors"
	"testing"

	"barleysail/routing"
)

// A proxy connects, leaves a poll pending, and gets what changed as a delta onto the version that it holds.
func TestLongPoll(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.printf("a proxy connects")
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000, AcceptDelta: true})
	h.advance(100)
	h.printf("a poll without a wait: not modified, at once")
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: -1})
	h.printf("a pending poll, and a host that drains")
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000, AcceptDelta: true})
	h.advance(500)
	list := h.readyEndpoints(2)
	list[1].State = routing.Draining
	h.mustSetEndpoints(list)
	h.advance(500)
	h.printf("a tag of the history, without deltas: a snapshot")
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	h.printf("a tag of another incarnation, and one that was never assigned: snapshots")
	h.poll(PollRequest{Proxy: "p", Tags: []string{"K-1"}, WaitMs: 30000, AcceptDelta: true})
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-9"}, WaitMs: 30000, AcceptDelta: true})
	h.printf("any tag matches: pending for 2 s")
	h.poll(PollRequest{Proxy: "p", AnyTag: true, WaitMs: 2000})
	h.advance(2500)
	h.checkTrace()
}

// Of two polls of a proxy the later one stays pending, and the earlier one gets its response at once. A version is
// acknowledged only once, though later polls name its tag again.
func TestReplacedPoll(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	h.advance(100)
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	h.advance(50)
	h.printf("a second poll")
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000})
	session := h.sessions.byProxy["p"]
	h.printf("acknowledged version %d, stamps left %d", session.ackedVersion, len(session.versions[0].stamps))
	h.printf("canceling the replaced poll changes nothing; after canceling the pending one the proxy has to poll again")
	h.CancelPoll(h.nowMs, "p", 2)
	h.printf("pending polls %d", h.Status(h.nowMs).PendingPolls)
	h.CancelPoll(h.nowMs, "p", 3)
	status := h.Status(h.nowMs)
	h.printf("pending polls %d, connected proxies %d", status.PendingPolls, status.ConnectedProxies)
	h.advance(5100)
	h.printf("connected proxies %d", h.Status(h.nowMs).ConnectedProxies)
	h.checkTrace()
}

// A proxy that comes back after it was disconnected gets a new session: its old tag names no version.
func TestReconnect(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	h.advance(100)
	h.printf("disconnected: %v, once more: %v", h.Disconnect(h.nowMs, "p", h), h.Disconnect(h.nowMs, "p", h))
	h.advance(100)
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 30000, AcceptDelta: true})
	h.advance(100)
	h.printf("a poll from another zone starts a new session")
	h.poll(PollRequest{Proxy: "p", Zone: "b", Tags: []string{"L-2"}, WaitMs: 30000, AcceptDelta: true})
	h.advance(100)
	h.checkTrace()
}

// Two proxies with the same name do not replace each other's polls without end: the one whose poll is pending keeps its
// session. The request stats of both are counted, and the duplicate name is recorded as one event.
func TestDuplicateProxyName(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	list := h.readyEndpoints(1)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(500)
	h.hideNotModified = true
	rejected := 0
	responsesBefore := len(h.responses)
	for i := range 100 {
		h.lastPoll++
		request := PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000, Tags: []string{h.newestTag("p")}}
		if err := h.Poll(h.nowMs, h.lastPoll, request, h); errors.Is(err, ErrDuplicateProxy) {
			rejected++
		}
		h.advance(10)
		if i%20 == 0 {
			reportAsTwoSenders(t, h, int64(i+1), list[0].Host)
		}
	}
	responses := len(h.responses) - responsesBefore
	pending := h.Status(h.nowMs).PendingPolls
	if rejected < 80 || responses > 15 || pending != 1 {
		t.Errorf("%d polls were rejected, %d got a response and %d are pending, want at least 80, at most 15 and 1",
			rejected, responses, pending)
	}
	if count := h.countEvents("intake", ""); count != 1 {
		t.Errorf("the duplicate name was recorded as %d events, want 1", count)
	}
	h.advance(11000)
	if err := h.Poll(h.nowMs, 1e6, PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000}, h); err != nil {
		t.Errorf("a poll that replaces another one after the window: the error is %v, want none", err)
	}
}

// reportAsTwoSenders reports the request stats of two senders under one proxy's name. Both have to be counted.
func reportAsTwoSenders(t *testing.T, h *harness, sequence int64, host string) {
	t.Helper()
	stats := HostStats{Attempts: 1, MeanLatencyMs: 5, WindowMs: 1000, Load: routing.UnknownLoad}
	for _, sender := range []string{"one", "two"} {
		report := ProxyStats{Sender: sender, Sequence: sequence, Hosts: map[string]HostStats{host: stats}}
		counted, err := h.ObserveProxyStats(h.nowMs, "p", report)
		if !counted || err != nil {
			t.Errorf("request stats of %s: counted %v, error %v, want them counted without an error", sender, counted, err)
		}
	}
}

// Before a graceful shutdown all pending polls get a response with the current tables.
func TestReleasePolls(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	var polls []int64
	for _, proxy := range []string{"p", "q"} {
		h.poll(PollRequest{Proxy: proxy, WaitMs: 60000})
	}
	h.advance(100)
	for _, proxy := range []string{"p", "q"} {
		polls = append(polls, h.poll(PollRequest{Proxy: proxy, WaitMs: 60000, Tags: []string{h.newestTag(proxy)}}))
	}
	h.Disconnect(h.nowMs, "p", h)
	h.ReleasePolls(h.nowMs, h)
	for _, poll := range polls {
		if response, ok := h.responses[poll]; !ok || response.Kind != NotModified {
			t.Errorf("the response to poll %d is of the kind %d (given: %v), want %d, NotModified",
				poll, response.Kind, ok, NotModified)
		}
	}
	if pending := h.Status(h.nowMs).PendingPolls; pending != 0 {
		t.Errorf("%d polls are pending after the release, want none", pending)
	}
}

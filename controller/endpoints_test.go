package controller

import (
	"testing"

	"barleysail/routing"
)

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

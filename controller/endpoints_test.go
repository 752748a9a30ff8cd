package controller

import (
	"testing"

	"barleysail/routing"
)

// A controller without an endpoint list publishes no hosts and no empty table, so that a proxy keeps the table that it
// has. The first list is published.
func TestEndpointsUnknown(t *testing.T) {
	config := defaultTestConfig()
	config.deployment.WatchesEndpoints = true
	h := newHarness(t, config)
	h.advance(100)
	h.poll(PollRequest{Proxy: "p", WaitMs: -1})
	h.advance(1000)
	h.printf("the watch of the endpoint list fails")
	h.ObserveWatchFailure(h.nowMs)
	h.advance(1000)
	h.mustSetEndpoints(h.readyEndpoints(1))
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 5000, AcceptDelta: true})
	h.advance(1000)
	h.checkTrace()
}

// A removed host is forgotten when no table refers to it any more, and its index is assigned to another host.
func TestForgetRemovedHost(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(3))
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(200)
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-1"}, WaitMs: 60000, AcceptDelta: true})
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.advance(1000)
	h.poll(PollRequest{Proxy: "p", Tags: []string{"L-2"}, WaitMs: 60000, AcceptDelta: true})
	h.printf("host indices in use: %d", h.Status(h.nowMs).HostIndices)
	h.advance(60000)
	h.printf("host indices in use: %d", h.Status(h.nowMs).HostIndices)
	added := Endpoint{Host: "new.addis:80", Zone: "b", State: routing.Ready, Weight: 1}
	h.mustSetEndpoints(append(h.readyEndpoints(2), added))
	h.printf("the new host has index %d", h.hostIndex.IndexOf[added.Host])
	h.advance(100)
	h.checkTrace()
}

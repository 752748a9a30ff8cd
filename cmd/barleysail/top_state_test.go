package main

import (
	"context"
	"testing"

	"barleysail/controller"
)

// A query adds the new events to the known ones. A failed query keeps the previous state.
func TestTopStateNext(t *testing.T) {
	url := startTwoHostController(t)
	waitForOutput(t, url, 0, "joined", "get", "events")
	client := newControllerClient(url)
	ctx := context.Background()
	first := topState{}.next(ctx, client)
	if first.err != nil || len(first.hosts) != 2 || len(first.proxies) != 1 || len(first.events) == 0 {
		t.Fatalf("first query: got %+v, want 2 hosts, 1 proxy, events and no error", first)
	}
	if first.status.ConnectedProxies != 1 {
		t.Errorf("connected proxies in the status: got %d, want 1", first.status.ConnectedProxies)
	}

	second := first.next(ctx, client)
	for i := 1; i < len(second.events); i++ {
		if second.events[i].Number != second.events[i-1].Number+1 {
			t.Errorf("event after %d: got %d, want the next number", second.events[i-1].Number, second.events[i].Number)
		}
	}

	failed := second.next(ctx, newControllerClient("127.0.0.1:1"))
	if failed.err == nil || len(failed.hosts) != 2 || len(failed.events) != len(second.events) {
		t.Errorf("failed query: got %+v, want an error, 2 hosts and %d events", failed, len(second.events))
	}
	if recovered := failed.next(ctx, client); recovered.err != nil {
		t.Errorf("query after the failed one: got error %v, want none", recovered.err)
	}
}

// A restarted controller numbers its events from the beginning, so those of the earlier one are dropped.
func TestTopStateDropsEventsOfAnEarlierController(t *testing.T) {
	url := startTwoHostController(t)
	waitForOutput(t, url, 0, "joined", "get", "events")
	earlier := topState{
		status: controller.Status{Incarnation: "earlier"},
		events: []controller.Event{{Number: 0, Text: "of the earlier controller"}},
	}
	next := earlier.next(context.Background(), newControllerClient(url))
	if next.err != nil || len(next.events) == 0 {
		t.Fatalf("got %+v, want events and no error", next)
	}
	for _, event := range next.events {
		if event.Text == "of the earlier controller" {
			t.Error("got an event of the earlier controller, want none")
		}
	}
}

// topState keeps the newest topEventsKept events.
func TestTopStateLimitsEvents(t *testing.T) {
	url := startTwoHostController(t)
	waitForOutput(t, url, 0, "joined", "get", "events")
	client := newControllerClient(url)
	state := topState{}.next(context.Background(), client)
	for number := range topEventsKept {
		state.events = append(state.events, controller.Event{Number: int64(-topEventsKept + number)})
	}
	state.events = append(state.events, controller.Event{})
	next := state.next(context.Background(), client)
	if next.err != nil || len(next.events) != topEventsKept {
		t.Errorf("got %d events, error %v, want %d events", len(next.events), next.err, topEventsKept)
	}
}

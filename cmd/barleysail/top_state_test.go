package main

import (
	"context"
	"testing"

	"barleysail/controller"
)

// A query adds new events to those that are known, and one that fails keeps all that was known.
func TestTopStateNext(t *testing.T) {
	url := startTwoHostController(t)
	waitForOutput(t, url, 0, "joined", "get", "events")
	client := newControllerClient(url)
	ctx := context.Background()
	first := topState{}.next(ctx, client)
	if first.err != nil || len(first.hosts) != 2 || len(first.proxies) != 1 || len(first.events) == 0 {
		t.Fatalf("the first query: %+v", first)
	}
	if first.status.ConnectedProxies != 1 {
		t.Errorf("%d proxies are connected by the status, want 1", first.status.ConnectedProxies)
	}

	second := first.next(ctx, client)
	for i := 1; i < len(second.events); i++ {
		if second.events[i].Number != second.events[i-1].Number+1 {
			t.Errorf("event %d follows %d", second.events[i].Number, second.events[i-1].Number)
		}
	}

	failed := second.next(ctx, newControllerClient("127.0.0.1:1"))
	if failed.err == nil || len(failed.hosts) != 2 || len(failed.events) != len(second.events) {
		t.Errorf("after a failed query: %+v", failed)
	}
	if recovered := failed.next(ctx, client); recovered.err != nil {
		t.Errorf("after the failure: %v", recovered.err)
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
		t.Fatalf("%+v", next)
	}
	for _, event := range next.events {
		if event.Text == "of the earlier controller" {
			t.Error("an event of the earlier controller is kept")
		}
	}
}

// The newest events are kept, up to a limit.
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
		t.Errorf("%d events are kept, want %d: %v", len(next.events), topEventsKept, next.err)
	}
}

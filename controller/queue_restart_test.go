package controller

import (
	"testing"

	"barleysail/operator"
	"barleysail/routing"
)

// Guards against a drain of a zone that is forgotten in a restart: the hosts that still wait for the one before them
// are never drained, although the command was accepted.
func TestQueuedCommandsSurviveRestart(t *testing.T) {
	config := defaultTestConfig()
	h := newHarness(t, config)
	list := h.readyEndpoints(8)
	h.mustSetEndpoints(list)
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(1000)
	var commands []operator.Command
	for _, endpoint := range list[:4] {
		commands = append(commands, operator.Command{
			Host: endpoint.Host, State: operator.Draining, Weight: -1, DurationMs: 60000, Queue: true, Operator: "ann",
		})
	}
	if _, err := h.ApplyOverrides(h.nowMs, commands, h); err != nil {
		t.Fatal(err)
	}
	h.advance(1000)
	draining := func(h *harness) (count int) {
		for _, endpoint := range h.endpoints.effective {
			if endpoint.State == routing.Draining {
				count++
			}
		}
		return count
	}
	if got := draining(h); got == 0 || got == len(commands) {
		t.Fatalf("%d hosts drain before the restart, want some of %d", got, len(commands))
	}
	next := h.restart(config, 500)
	next.mustSetEndpoints(list)
	if got, want := draining(next), draining(h); got != want {
		t.Errorf("%d hosts drain right after the restart, want %d as before", got, want)
	}
	next.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	next.advance(30000)
	if got := draining(next); got != len(commands) {
		t.Errorf("%d hosts drain 30 s after the restart, want %d", got, len(commands))
	}
	override, _ := next.overrides.store.Override(list[3].Host)
	if override.Operator != "ann" || override.ExpiresMs != override.SetAtMs+60000 {
		t.Errorf("override %+v of the last host, want that of the command", override)
	}
}

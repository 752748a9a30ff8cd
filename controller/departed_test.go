package controller

import "testing"

// Guards against a report that is counted twice: a proxy that left, or whose connection was lost, sends it again after
// it has connected again.
func TestRepeatedReportAfterReconnect(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	list := h.readyEndpoints(2)
	h.mustSetEndpoints(list)
	report := func(sender string, sequence int64) bool {
		t.Helper()
		counted, err := h.ObserveProxyStats(h.nowMs, "p", ProxyStats{
			Sender:   sender,
			Sequence: sequence,
			Demand:   map[string]ClassDemand{h.classes[0].Name: {Arrivals: 5, WindowMs: 1000}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return counted
	}
	reconnect := func() {
		h.Disconnect(h.nowMs, "p", h)
		h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	}
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	for _, step := range []struct {
		name     string
		before   func()
		sender   string
		sequence int64
		counted  bool
	}{
		{"first report", func() {}, "s", 1, true},
		{"repeated after a reconnect", reconnect, "s", 1, false},
		{"next report", func() {}, "s", 2, true},
		{"repeated after two reconnects", func() { reconnect(); reconnect() }, "s", 2, false},
		{"restarted sender with an id of its own", reconnect, "t", 1, true},
		{"sender without an id", func() {}, "", 7, true},
		{"restarted sender without an id", reconnect, "", 1, true},
		{"report older than any that counts", func() {
			h.Disconnect(h.nowMs, "p", h)
			h.advance(h.ingest.limits.MaxAgeMs + 1)
			reconnect()
		}, "s", 2, true},
	} {
		step.before()
		if counted := report(step.sender, step.sequence); counted != step.counted {
			t.Errorf("%s: counted %v, want %v", step.name, counted, step.counted)
		}
	}
}

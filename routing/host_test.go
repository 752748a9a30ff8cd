package routing

import (
	"slices"
	"testing"
)

// newHarnessWithRemovedHost returns a harness whose host 1 was removed and is in no table.
func newHarnessWithRemovedHost(t *testing.T) *harness {
	t.Helper()
	h := newHarness(defaultSettings(), 3)
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Removed, 1, 0)
	h.run(1000, nil)
	if weight := h.hosts[1].publication.weight; weight != 0 {
		t.Fatalf("the removed host is published with weight %v, want 0", weight)
	}
	h.hosts[1].health.checkInFlight = false
	return h
}

func TestForgetHost(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(h *harness)
		want    bool
	}{
		{"removed", func(*harness) {}, true},
		{"ready", func(h *harness) { h.ObserveEndpoint(1, 1, Ready, 1, 0) }, false},
		{"draining", func(h *harness) { h.ObserveEndpoint(1, 1, Draining, 1, 0) }, false},
		{"published", func(h *harness) { h.hosts[1].publication.weight = 0.1 }, false},
		{"health check in flight", func(h *harness) { h.hosts[1].health.checkInFlight = true }, false},
		{"in a subset", func(h *harness) { h.proxies[0].subset = []int{1} }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarnessWithRemovedHost(t)
			test.prepare(h)
			want := h.hosts[1]
			if got := h.ForgetHost(1); got != test.want {
				t.Fatalf("got %v, want %v", got, test.want)
			}
			if test.want {
				want = newHostRecord()
				want.incarnation = 1
			}
			if h.hosts[1] != want {
				t.Errorf("the record is %+v, want %+v", h.hosts[1], want)
			}
			if listed := slices.Contains(h.hostOrder, 1); listed == test.want {
				t.Errorf("host in the order of discovery: %v, want %v", listed, !test.want)
			}
		})
	}
}

func TestForgetUnknownHost(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	if !h.ForgetHost(99) {
		t.Error("ForgetHost returned false for a host that was never recorded, want true")
	}
}

// A forgotten host's index is reused for another host while the health check task of the old host is still scheduled:
// only the new host's task continues.
func TestForgottenHostIsNotChecked(t *testing.T) {
	h := newHarnessWithRemovedHost(t)
	if !h.ForgetHost(1) {
		t.Fatal("ForgetHost returned false for a removed host, want true")
	}
	tasks := len(h.tasks.tasks)
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Ready, 1, 0)
	h.run(2000, nil)
	if got := len(h.tasks.tasks); got != tasks {
		t.Errorf("%d tasks are scheduled, want %d", got, tasks)
	}
	if !h.hosts[1].health.checkInFlight {
		t.Error("no health check of the new host is in flight, want one")
	}
}

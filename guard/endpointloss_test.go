package guard

import "testing"

// TestEndpointLossGuard checks that a list that loses too many hosts at once is held back until the hosts are back,
// their loss is confirmed, or the hold time is over. The steps share one guard.
func TestEndpointLossGuard(t *testing.T) {
	guard := NewEndpointLossGuard(EndpointLossLimits{MaxLossRatio: 0.5, HoldMs: 1500})
	steps := []struct {
		name                   string
		nowMs                  float64
		ready, lost, confirmed int
		want                   bool
	}{
		{"half lost", 0, 10, 5, 0, false},
		{"more than half lost", 100, 10, 6, 0, true},
		{"still lost", 1000, 10, 6, 0, true},
		{"all back", 1100, 10, 0, 0, false},
		{"all lost", 2000, 10, 10, 0, true},
		{"half of them confirmed", 2100, 10, 10, 5, false},
		{"some confirmed, not enough", 3000, 10, 8, 2, true},
		{"just before the end of the hold", 4499, 10, 8, 2, true},
		{"end of the hold", 4500, 10, 8, 2, false},
		{"no ready hosts", 5000, 0, 0, 0, false},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			held := guard.Observe(step.nowMs, step.ready, step.lost, step.confirmed)
			if held != step.want {
				t.Errorf("Observe returns held %v, want %v", held, step.want)
			}
			if _, holding := guard.HeldUntil(); holding != step.want {
				t.Errorf("HeldUntil returns holding %v, want %v", holding, step.want)
			}
		})
	}
}

// TestHeldUntil checks that a hold ends HoldMs after it began, whatever is observed in between.
func TestHeldUntil(t *testing.T) {
	guard := NewEndpointLossGuard(EndpointLossLimits{MaxLossRatio: 0.5, HoldMs: 1500})
	for _, nowMs := range []float64{100, 900} {
		guard.Observe(nowMs, 10, 6, 0)
	}
	untilMs, holding := guard.HeldUntil()
	if untilMs != 1600 || !holding {
		t.Errorf("HeldUntil returns %g ms, holding %v, want 1600 ms, true", untilMs, holding)
	}
}

// TestEndpointLossGuardWithoutLimit checks that nothing is held back without a limit.
func TestEndpointLossGuardWithoutLimit(t *testing.T) {
	if NewEndpointLossGuard(EndpointLossLimits{}).Observe(0, 10, 10, 0) {
		t.Error("Observe returns held true without a limit, want false")
	}
}

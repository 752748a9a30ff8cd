package intake

import (
	"math"
	"testing"
)

// The age of a stamped report does not depend on the offset of the sender's clock, and setting the clock forward or
// back changes no age.
func TestClockAge(t *testing.T) {
	const (
		startMs = 1e12
		hourMs  = 3600e3
		delayMs = 20.0
		queueMs = 2000.0 // time for which each tenth report waits before it is sent
	)
	for _, test := range []struct {
		name    string
		aheadMs float64
	}{
		{"exact", 0},
		{"an hour ahead", hourMs},
		{"an hour behind", -hourMs},
	} {
		t.Run(test.name, func(t *testing.T) {
			var clock SenderClock
			for i := range 100 {
				nowMs := startMs + float64(i)*1000
				totalDelayMs, wantMs := delayMs, 0.0
				if i%10 == 5 {
					totalDelayMs, wantMs = delayMs+queueMs, queueMs
				}
				ageMs := clock.Age(nowMs, nowMs+test.aheadMs-totalDelayMs)
				if math.Abs(ageMs-wantMs) > 1e-3 && i > 0 {
					t.Fatalf("report %d with a delay of %g ms: got age %g ms, want %g ms", i, totalDelayMs, ageMs, wantMs)
				}
			}
			nowMs := startMs + 101e3
			if ageMs := clock.Age(nowMs, nowMs+test.aheadMs+60e3); ageMs != 0 {
				t.Errorf("got age %g ms after the clock was set forward by a minute, want 0", ageMs)
			}
			nowMs = startMs + 102e3
			if ageMs := clock.Age(nowMs, nowMs+test.aheadMs-hourMs); ageMs != 0 {
				t.Errorf("got age %g ms after the clock was set back by an hour, want 0", ageMs)
			}
		})
	}
}

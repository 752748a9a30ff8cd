package clock

import (
	"testing"
	"time"
)

// The clock starts at the wall clock's time.
func TestNowStartsAtWallClock(t *testing.T) {
	before := time.Now()
	nowMs := New().Now()
	after := time.Now()
	earliestMs := float64(before.UnixMicro()) / 1000
	latestMs := float64(after.UnixMicro())/1000 + 1 // the wall clock may be adjusted in between
	if nowMs < earliestMs-1 || nowMs > latestMs {
		t.Errorf("Now() = %f, want from %f to %f", nowMs, earliestMs-1, latestMs)
	}
}

// The clock advances and never goes back.
func TestNowAdvances(t *testing.T) {
	clock := New()
	firstMs := clock.Now()
	previousMs := firstMs
	for range 1000 {
		nowMs := clock.Now()
		if nowMs < previousMs {
			t.Fatalf("Now() = %f, want at least the previous %f", nowMs, previousMs)
		}
		previousMs = nowMs
	}
	const sleep = 2 * time.Millisecond
	time.Sleep(sleep)
	if elapsedMs := clock.Now() - firstMs; elapsedMs < float64(sleep.Milliseconds())-0.01 {
		t.Errorf("Now() advanced by %f ms during a sleep of %v, want at least that", elapsedMs, sleep)
	}
}

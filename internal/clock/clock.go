// Package clock provides the monotonic clock that a controller runs by. It does not follow adjustments of the wall
// clock.
package clock

import "time"

// Clock returns times in milliseconds since 1970 that never decrease: the wall clock's time at the clock's creation
// plus the monotonic time elapsed since then. The zero value is not usable.
type Clock struct {
	startedAtMs float64 // by the wall clock
	startedAt   time.Time
}

// New returns a clock that starts at the current time of the wall clock.
func New() Clock {
	now := time.Now()
	return Clock{startedAtMs: milliseconds(now.UnixMicro()), startedAt: now}
}

// Now returns the current time in milliseconds since 1970, with a resolution of one microsecond.
func (c Clock) Now() float64 {
	elapsed := time.Since(c.startedAt)
	return c.startedAtMs + milliseconds(elapsed.Microseconds())
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

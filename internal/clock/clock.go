// Package clock provides the monotonic clock that a controller runs by. It does not follow adjustments of the wall
// clock.
package clock

import "time"

// Clock returns instants in milliseconds since 1970 that never go back: the wall clock when the clock was made, plus
// the monotonic time that has passed since. The zero value is not usable.
type Clock struct {
	startedAtMs float64 // by the wall clock
	startedAt   time.Time
}

// New starts a clock at the time of the wall clock.
func New() Clock {
	now := time.Now()
	return Clock{startedAtMs: milliseconds(now.UnixMicro()), startedAt: now}
}

// Now returns the current instant in milliseconds since 1970, with a resolution of a microsecond.
func (c Clock) Now() float64 {
	elapsed := time.Since(c.startedAt)
	return c.startedAtMs + milliseconds(elapsed.Microseconds())
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

package daemon

import "time"

const (
	msPerSecond       = 1000
	microsecondsPerMs = 1000
)

// milliseconds converts a configured or computed number of ms to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// wholeMicroseconds converts a duration to ms, truncated to whole microseconds.
func wholeMicroseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / microsecondsPerMs
}

// wallClockMs returns the time of the wall clock in ms since 1970. Persisted times use this clock, since a
// controller's clock does not follow adjustments of the wall clock and may differ between two processes.
func wallClockMs() float64 { return float64(time.Now().UnixMicro()) / microsecondsPerMs }

package intake

import "math"

// Clock estimates the age of reports whose time stamps are by the sender's clock, which may be wrong. The least
// recent difference between arrival and stamp is the offset between the clocks plus the shortest network delay; the
// excess of a report's difference over it is the report's age. A sender's clock that runs ahead therefore makes no
// report look younger than one that has just arrived. The zero value is ready to use.
type Clock struct {
	minOffsetMs         float64 // of the current window
	previousMinOffsetMs float64 // of the window before
	windowStartMs       float64
	initialized         bool
}

const (
	// clockWindowMs is the length of a window. An offset is kept for at most two windows, so that the estimate
	// follows a clock that drifts or is set back.
	clockWindowMs = 60000.0
	// clockStepMs is the growth of the offset from which the sender's clock must have been set back, since no report
	// is that late.
	clockStepMs = 600000.0
)

// Age returns the age in milliseconds of a report that arrives now with a stamp of the sender's clock, 0 or more.
func (c *Clock) Age(nowMs, stampMs float64) float64 {
	offsetMs := nowMs - stampMs
	switch {
	case !c.initialized || offsetMs > c.minOffsetMs+clockStepMs:
		*c = Clock{minOffsetMs: offsetMs, previousMinOffsetMs: offsetMs, windowStartMs: nowMs, initialized: true}
	case nowMs >= c.windowStartMs+clockWindowMs:
		c.previousMinOffsetMs = c.minOffsetMs
		c.minOffsetMs = offsetMs
		c.windowStartMs = nowMs
	}
	c.minOffsetMs = math.Min(c.minOffsetMs, offsetMs)
	return offsetMs - math.Min(c.minOffsetMs, c.previousMinOffsetMs)
}

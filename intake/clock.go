package intake

import "math"

// Clock estimates the age of reports that their sender stamped by its own clock, however wrong that clock is. The least
// difference between arrival and stamp that was lately seen is the offset between the clocks plus the shortest network
// delay; what a report lies above it is its age. A sender's clock that runs ahead therefore makes no report look
// younger than one that has just arrived. The zero value knows no offset.
type Clock struct {
	minOffsetMs         float64 // of the present window
	previousMinOffsetMs float64 // of the window before
	windowStartMs       float64
	initialized         bool
}

const (
	// clockWindowMs is the length of a window. An offset is remembered for two windows at most, which follows a clock
	// that drifts or is set back.
	clockWindowMs = 60000.0
	// clockStepMs is the growth of the offset that shows a clock that was set back, as no report is that late.
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

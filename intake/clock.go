package intake

import "math"

// SenderClock estimates the age of reports that one sender stamps by its own clock, which may be wrong. The smallest
// recent difference between arrival time and time stamp is taken as the offset between the clocks plus the shortest
// network delay. A report is older by as much as its difference exceeds this minimum, so even a sender's clock that
// runs ahead gives no report a negative age. The zero value is ready to use.
type SenderClock struct {
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
func (c *SenderClock) Age(nowMs, stampMs float64) float64 {
	offsetMs := nowMs - stampMs
	switch {
	case !c.initialized || offsetMs > c.minOffsetMs+clockStepMs:
		*c = SenderClock{minOffsetMs: offsetMs, previousMinOffsetMs: offsetMs, windowStartMs: nowMs, initialized: true}
	case nowMs >= c.windowStartMs+clockWindowMs:
		c.previousMinOffsetMs = c.minOffsetMs
		c.minOffsetMs = offsetMs
		c.windowStartMs = nowMs
	}
	c.minOffsetMs = math.Min(c.minOffsetMs, offsetMs)
	return offsetMs - math.Min(c.minOffsetMs, c.previousMinOffsetMs)
}

package intake

import "math"

// Clock reckons how old a report is that its sender stamped by a clock of its own, however wrong that is: the least that
// lay between a stamp and its arrival lately is the clocks' difference with the shortest way, and what is more is age. A
// clock that runs ahead makes no report younger than one that has just come.
type Clock struct {
	minOffsetMs, previousMinOffsetMs float64 // of this span and of the one before
	windowStartMs                    float64
	initialized                      bool
}

// clockWindowMs ms a difference is remembered for, twice at most; so a clock that drifts or is set is followed.
const clockWindowMs = 60000.0

// clockStepMs ms by which a clock must have been set when a difference is suddenly larger: no report is that late.
const clockStepMs = 600000.0

// Age of a report with a stamp that comes now.
func (c *Clock) Age(now, stamp float64) float64 {
	d := now - stamp
	if !c.initialized || d > c.minOffsetMs+clockStepMs {
		*c = Clock{minOffsetMs: d, previousMinOffsetMs: d, windowStartMs: now, initialized: true}
	} else if now >= c.windowStartMs+clockWindowMs {
		c.previousMinOffsetMs, c.minOffsetMs, c.windowStartMs = c.minOffsetMs, d, now
	}
	c.minOffsetMs = math.Min(c.minOffsetMs, d)
	return d - math.Min(c.minOffsetMs, c.previousMinOffsetMs)
}

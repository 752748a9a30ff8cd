package intake

import "math"

// Clock reckons how old a report is that its sender stamped by a clock of its own, however wrong that is: the least that
// lay between a stamp and its arrival lately is the clocks' difference with the shortest way, and what is more is age. A
// clock that runs ahead makes no report younger than one that has just come.
type Clock struct {
	least, before float64 // of this span and of the one before
	since         float64
	known         bool
}

// clockSpan ms a difference is remembered for, twice at most; so a clock that drifts or is set is followed.
const clockSpan = 60000.0

// clockJump ms by which a clock must have been set when a difference is suddenly larger: no report is that late.
const clockJump = 600000.0

// Age of a report with a stamp that comes now.
func (c *Clock) Age(now, stamp float64) float64 {
	d := now - stamp
	if !c.known || d > c.least+clockJump {
		*c = Clock{least: d, before: d, since: now, known: true}
	} else if now >= c.since+clockSpan {
		c.before, c.least, c.since = c.least, d, now
	}
	c.least = math.Min(c.least, d)
	return d - math.Min(c.least, c.before)
}

// Package clock gives the time that a steward runs by.
package clock

import "time"

// Clock gives milliseconds since 1970 that only advance: the wall clock at the start, and what passed since.
type Clock struct {
	wall  float64
	start time.Time
}

// New starts a clock.
func New() Clock {
	now := time.Now()
	return Clock{float64(now.UnixMicro()) / 1000, now}
}

// Now gives the time.
func (c Clock) Now() float64 { return c.wall + float64(time.Since(c.start).Microseconds())/1000 }

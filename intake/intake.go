// Package intake decides what a steward takes in of what proxies and hosts report: how much each source may send, what
// waits and in which order it is taken, what is dropped and why, how much an old or sparse report still weighs, which
// load reports are believed, and how far the steward sheds reports before it delays decisions. It does no I/O, reads no
// clock and starts no goroutine; times are milliseconds.
package intake

// Limits of the intake.
type Limits struct {
	MaxQueued          int     // lines that may wait for a round
	MaxPerRound        int     // lines that a round takes in, at the usual pace
	FullWeightMs       float64 // ms for which a report weighs all
	HalfLifeMs         float64 // then it weighs half after so long
	MaxAgeMs           float64 // and nothing after so long
	TrustAll           bool    // load reports are taken as they are, none is doubted
	SilentAfterMs      float64 // a host's reports have stopped after so long, at the least
	UncertainAfterMs   float64 // what is estimated in their place is unsure to the full after so long
	UnknownUtilization float64 // busy part that a host of which nothing is known counts as: no room, and no overload
	StuckProbability   float64 // reports stand still by chance this rarely: below it they are stuck
}

// DefaultLimits are the limits where none are set.
func DefaultLimits() Limits {
	return Limits{MaxQueued: 50000, MaxPerRound: 20000, FullWeightMs: 2000, HalfLifeMs: 10000, MaxAgeMs: 60000, SilentAfterMs: 5000, UncertainAfterMs: 10000,
		UnknownUtilization: 0.85, StuckProbability: 1e-4}
}

// Package intake decides what a steward takes in of what proxies and hosts report: how much each source may send, what
// waits and in which order it is taken, what is dropped and why, how much an old or sparse report still weighs, which
// load reports are believed, and how far the steward sheds reports before it delays decisions. It does no I/O, reads no
// clock and starts no goroutine; times are milliseconds.
package intake

import "barleysail/decide"

// Limits of the intake.
type Limits struct {
	Waiting   int     // lines that may wait for a round
	Round     int     // lines that a round takes in, at the usual pace
	Fresh     float64 // ms for which a report weighs all
	HalfLife  float64 // then it weighs half after so long
	Oldest    float64 // and nothing after so long
	Believe   bool    // load reports are taken as they are, none is doubted
	Silent    float64 // a host's reports have stopped after so long, at the least
	Unsure    float64 // what is estimated in their place is unsure to the full after so long
	Blind     float64 // busy part that a host of which nothing is known counts as: no room, and no overload
	StuckOdds float64 // reports stand still by chance this rarely: below it they are stuck
}

// DefaultLimits are the limits where none are set.
func DefaultLimits() Limits {
	return Limits{Waiting: 50000, Round: 20000, Fresh: 2000, HalfLife: 10000, Oldest: 60000, Silent: 5000, Unsure: 10000,
		Blind: 0.85, StuckOdds: 1e-4}
}

// Line is what one source told of one host, or of one class that came to it.
type Line struct {
	Source string
	Of     string // the host; of usage the class
	Usage  bool
	Tries  int // of usage: what came
	Failed int
	Mean   float64 // ms, of the good tries
	Span   float64 // ms in which it was counted
	Load   decide.Load
	Times  []Bar   // how the good tries' times spread; nil: not told
	Came   float64 // when it came in
	At     float64 // when it was true, on the steward's clock
}

// merge adds a later line of the same source on the same thing.
func (l *Line) merge(m Line) {
	good, more := float64(l.Tries-l.Failed), float64(m.Tries-m.Failed)
	if good+more > 0 {
		l.Mean = (l.Mean*good + m.Mean*more) / (good + more)
	}
	l.Tries, l.Failed, l.Span = l.Tries+m.Tries, l.Failed+m.Failed, l.Span+m.Span
	l.Times = append(l.Times, m.Times...)
	if m.Load != decide.NoLoad {
		l.Load = m.Load
	}
	l.At = max(l.At, m.At)
}

// Why a line was not taken in.
const (
	Full    = "more waited than may"
	Aged    = "it was too old"
	Unknown = "its host or proxy is gone"
)

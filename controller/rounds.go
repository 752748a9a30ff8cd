package controller

import "math"

// rounds decides when the module is called: at the time it asked for, or a step after the last round where
// something came that should not wait. Sums, usage and acknowledgements wait for the module's own time, so
// that a fleet of proxies that all send theirs does not cost a round each.
type rounds struct {
	at   float64 // the next round for the sake of an input
	wake float64 // the next round that the module asked for
	last float64
}

// soon asks for a round because of an input that should not wait.
func (r *rounds) soon(now, step float64) { r.at = math.Min(r.at, math.Max(now, r.last+step)) }

func (r *rounds) next() float64 { return math.Min(r.at, r.wake) }

func (r *rounds) due(now float64) bool { return now >= r.next() }

func (r *rounds) start(now float64) {
	r.last, r.at = now, math.Inf(1)
	if now >= r.wake {
		r.wake = math.Inf(1)
	}
}

package controller

import (
	"math"
)

// roundScheduler decides when the module is called: at the time it asked for, or a step after the last round where
// something came that should not wait. Sums, usage and acknowledgements wait for the module's own time, so
// that a fleet of proxies that all send theirs does not cost a round each.
type roundScheduler struct {
	requestedMs float64 // the next round for the sake of an input
	plannedMs   float64 // the next round that the module asked for
	lastMs      float64
}

// request asks for a round because of an input that should not wait.
func (r *roundScheduler) request(now, step float64) {
	r.requestedMs = math.Min(r.requestedMs, math.Max(now, r.lastMs+step))
}

func (r *roundScheduler) nextMs() float64 { return math.Min(r.requestedMs, r.plannedMs) }

func (r *roundScheduler) due(now float64) bool { return now >= r.nextMs() }

func (r *roundScheduler) start(now float64) {
	r.lastMs, r.requestedMs = now, math.Inf(1)
	if now >= r.plannedMs {
		r.plannedMs = math.Inf(1)
	}
}

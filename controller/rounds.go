package controller

import "math"

// roundScheduler decides when the next round of the balancer is due: at the time that the balancer asked for, or as
// soon as the least interval allows where an input came that should not wait. Statistics and acknowledgements wait for
// the balancer's own time, so that a fleet of proxies that all report does not cost a round for each report.
type roundScheduler struct {
	requestedMs float64 // the next round for the sake of an input
	plannedMs   float64 // the next round that the balancer asked for
	lastMs      float64 // the start of the last round
}

// newRoundScheduler makes a scheduler by which the first round is due at once.
func newRoundScheduler() roundScheduler {
	return roundScheduler{requestedMs: math.Inf(-1), plannedMs: math.Inf(1), lastMs: math.Inf(-1)}
}

// request asks for a round for the sake of an input, no sooner than intervalMs after the last one.
func (r *roundScheduler) request(nowMs, intervalMs float64) {
	r.requestedMs = math.Min(r.requestedMs, math.Max(nowMs, r.lastMs+intervalMs))
}

func (r *roundScheduler) nextMs() float64 { return math.Min(r.requestedMs, r.plannedMs) }

func (r *roundScheduler) due(nowMs float64) bool { return nowMs >= r.nextMs() }

// start notes that a round starts. A round that the balancer planned for later stays planned.
func (r *roundScheduler) start(nowMs float64) {
	r.lastMs = nowMs
	r.requestedMs = math.Inf(1)
	if nowMs >= r.plannedMs {
		r.plannedMs = math.Inf(1)
	}
}

package controller

import "math"

// roundScheduler schedules the rounds of the balancer: at the time that the balancer has planned, or, after an urgent
// input, as soon as the shortest interval allows. Request stats and acknowledgements are not urgent, so that a large
// number of proxies does not cause a round for each report.
type roundScheduler struct {
	requestedMs float64 // time of the next round after an urgent input; +Inf: none
	plannedMs   float64 // time of the next round that the balancer has planned; +Inf: none
	lastMs      float64 // time at which the last round started
}

// newRoundScheduler returns a scheduler whose first round is due at once.
func newRoundScheduler() roundScheduler {
	return roundScheduler{requestedMs: math.Inf(-1), plannedMs: math.Inf(1), lastMs: math.Inf(-1)}
}

// request requests a round after an urgent input, at least intervalMs after the start of the last one.
func (r *roundScheduler) request(nowMs, intervalMs float64) {
	r.requestedMs = math.Min(r.requestedMs, math.Max(nowMs, r.lastMs+intervalMs))
}

func (r *roundScheduler) nextMs() float64 { return math.Min(r.requestedMs, r.plannedMs) }

func (r *roundScheduler) due(nowMs float64) bool { return nowMs >= r.nextMs() }

// start records the start of a round. A round that the balancer has planned for later stays planned.
func (r *roundScheduler) start(nowMs float64) {
	r.lastMs = nowMs
	r.requestedMs = math.Inf(1)
	if nowMs >= r.plannedMs {
		r.plannedMs = math.Inf(1)
	}
}

package response

import "math"

// Hosts answers tries by a fitted model, with queues of their own. It is asked in order of time.
type SimulatedHosts struct {
	model        *Model
	coreFreeMs   map[string][]float64 // when each core is free
	startTimes   map[string][]float64 // of the tries that may wait yet, in order
	Attempts     int
	Extrapolated int // tries whose answer is extrapolated: nothing was seen of the host in that window
}

// NewHosts makes hosts with empty queues.
func NewSimulatedHosts(model *Model) *SimulatedHosts {
	return &SimulatedHosts{model: model, coreFreeMs: map[string][]float64{}, startTimes: map[string][]float64{}}
}

// Answer tells when a try that reaches a host at a time is answered, and how. work is what the transaction takes
// against its class's usual time; patience is when its client gives up. A dead host refuses at once; a hung one
// never answers; work that has begun is not stopped.
func (h *SimulatedHosts) Respond(class, host string, atMs, relativeWork, patienceMs float64) (endMs float64, result Result) {
	h.Attempts++
	state, slowdown, observed := h.model.stateAt(host, atMs)
	if !observed {
		h.Extrapolated++
	}
	switch state {
	case down:
		return atMs + 1, NeverRan
	case unresponsive:
		return atMs + patienceMs, Failed
	}
	parameters := h.model.Parameters(host)
	freeMs := h.coreFreeMs[host]
	if len(freeMs) == 0 {
		freeMs = make([]float64, parameters.Cores)
		h.coreFreeMs[host] = freeMs
	}
	core := 0
	for i := range freeMs {
		if freeMs[i] < freeMs[core] {
			core = i
		}
	}
	startMs := math.Max(atMs, freeMs[core])
	if _, startSlowdown, _ := h.model.stateAt(host, startMs); startMs > atMs {
		slowdown = startSlowdown
	}
	queued := h.queued(host, atMs)
	if parameters.QueueLimit > 0 && len(queued) >= parameters.QueueLimit {
		return atMs + 1, NeverRan
	}
	serviceMs := h.model.BaseServiceTime(class) * parameters.ServiceTimeFactor * slowdown * relativeWork
	endMs = startMs + serviceMs
	freeMs[core] = endMs
	h.startTimes[host] = append(queued, startMs)
	if endState, _, _ := h.model.stateAt(host, endMs); endState == down || endState == unresponsive {
		endMs, result = atMs+patienceMs, Failed
	}
	if endMs > atMs+patienceMs {
		return atMs + patienceMs, Failed
	}
	return endMs, result
}

// Load is what a host would report at a time: the busy part of its cores, and how many tries wait.
func (h *SimulatedHosts) Load(host string, atMs float64) (utilization, queueLength float64) {
	parameters := h.model.Parameters(host)
	for _, freeMs := range h.coreFreeMs[host] {
		if freeMs > atMs {
			utilization += 1 / float64(parameters.Cores)
		}
	}
	h.startTimes[host] = h.queued(host, atMs)
	return utilization, float64(len(h.startTimes[host]))
}

// waiting gives when those begin that wait at a time: with first come, first served in the order in which they came.
func (h *SimulatedHosts) queued(host string, atMs float64) []float64 {
	startTimes := h.startTimes[host]
	for len(startTimes) > 0 && startTimes[0] <= atMs {
		startTimes = startTimes[1:]
	}
	return startTimes
}

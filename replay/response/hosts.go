package response

import "math"

// rejectionMs is the time after which a host rejects an attempt.
const rejectionMs = 1

// SimulatedHosts simulates the hosts of a fitted model, with their own queues. Its methods must be called in the order
// of time.
type SimulatedHosts struct {
	model        *Model
	coreFreeMs   map[string][]float64 // when each core becomes free
	startTimes   map[string][]float64 // of attempts that may still wait, in order
	Attempts     int
	Extrapolated int // attempts for which nothing was observed of the host in that window
}

// NewSimulatedHosts returns hosts with empty queues.
func NewSimulatedHosts(model *Model) *SimulatedHosts {
	return &SimulatedHosts{model: model, coreFreeMs: map[string][]float64{}, startTimes: map[string][]float64{}}
}

// Respond returns when an attempt that reaches a host at a time ends, and its result. relativeWork is the work of the
// request relative to the usual work of its class; the client gives up after timeoutMs. A host that is down rejects
// the attempt at once, and an unresponsive host never responds. Service that has begun is not stopped.
func (h *SimulatedHosts) Respond(
	class, host string, atMs, relativeWork, timeoutMs float64,
) (endMs float64, result Result) {
	h.Attempts++
	state, slowdown, observed := h.model.stateAt(host, atMs)
	if !observed {
		h.Extrapolated++
	}
	switch state {
	case down:
		return atMs + rejectionMs, NeverRan
	case unresponsive:
		return atMs + timeoutMs, Failed
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
		return atMs + rejectionMs, NeverRan
	}
	serviceMs := h.model.BaseServiceTime(class) * parameters.ServiceTimeFactor * slowdown * relativeWork
	endMs = startMs + serviceMs
	freeMs[core] = endMs
	h.startTimes[host] = append(queued, startMs)
	if endState, _, _ := h.model.stateAt(host, endMs); endState == down || endState == unresponsive {
		endMs, result = atMs+timeoutMs, Failed
	}
	if endMs > atMs+timeoutMs {
		return atMs + timeoutMs, Failed
	}
	return endMs, result
}

// Load returns what a host would report at a time: the utilization of its cores and its queue length.
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

// queued returns the start times of the attempts that wait at a time, with first come, first served.
func (h *SimulatedHosts) queued(host string, atMs float64) []float64 {
	startTimes := h.startTimes[host]
	for len(startTimes) > 0 && startTimes[0] <= atMs {
		startTimes = startTimes[1:]
	}
	return startTimes
}

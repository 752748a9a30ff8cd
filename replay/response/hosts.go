package response

import "math"

// Hosts answers tries by a fitted model, with queues of their own. It is asked in order of time.
type SimulatedHosts struct {
	model        *Model
	free         map[string][]float64 // when each core is free
	begins       map[string][]float64 // of the tries that may wait yet, in order
	Attempts     int
	Extrapolated int // tries whose answer is extrapolated: nothing was seen of the host in that window
}

// NewHosts makes hosts with empty queues.
func NewSimulatedHosts(m *Model) *SimulatedHosts {
	return &SimulatedHosts{model: m, free: map[string][]float64{}, begins: map[string][]float64{}}
}

// Answer tells when a try that reaches a host at a time is answered, and how. work is what the transaction takes
// against its class's usual time; patience is when its client gives up. A dead host refuses at once; a hung one
// never answers; work that has begun is not stopped.
func (h *SimulatedHosts) Respond(class, host string, at, work, patience float64) (done float64, how Result) {
	h.Attempts++
	s, slow, seen := h.model.at(host, at)
	if !seen {
		h.Extrapolated++
	}
	switch s {
	case dead:
		return at + 1, NeverRan
	case hung:
		return at + patience, Failed
	}
	fit := h.model.Parameters(host)
	free := h.free[host]
	if len(free) == 0 {
		free = make([]float64, fit.Cores)
		h.free[host] = free
	}
	core := 0
	for i := range free {
		if free[i] < free[core] {
			core = i
		}
	}
	begin := math.Max(at, free[core])
	if _, then, _ := h.model.at(host, begin); begin > at {
		slow = then
	}
	waiting := h.waiting(host, at)
	if fit.QueueLimit > 0 && len(waiting) >= fit.QueueLimit {
		return at + 1, NeverRan
	}
	takes := h.model.BaseServiceTime(class) * fit.ServiceTimeFactor * slow * work
	done = begin + takes
	free[core] = done
	h.begins[host] = append(waiting, begin)
	if end, _, _ := h.model.at(host, done); end == dead || end == hung {
		done, how = at+patience, Failed
	}
	if done > at+patience {
		return at + patience, Failed
	}
	return done, how
}

// Load is what a host would report at a time: the busy part of its cores, and how many tries wait.
func (h *SimulatedHosts) Load(host string, at float64) (util, queue float64) {
	fit := h.model.Parameters(host)
	for _, f := range h.free[host] {
		if f > at {
			util += 1 / float64(fit.Cores)
		}
	}
	h.begins[host] = h.waiting(host, at)
	return util, float64(len(h.begins[host]))
}

// waiting gives when those begin that wait at a time: with first come, first served in the order in which they came.
func (h *SimulatedHosts) waiting(host string, at float64) []float64 {
	all := h.begins[host]
	for len(all) > 0 && all[0] <= at {
		all = all[1:]
	}
	return all
}

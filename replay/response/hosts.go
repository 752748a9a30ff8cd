package response

import "math"

// Hosts answers tries by a fitted model, with queues of their own. It is asked in order of time.
type Hosts struct {
	model  *Model
	free   map[string][]float64 // when each core is free
	began  map[string]float64   // of the present second of load, for reports
	busy   map[string]float64   // work taken on in it
	before map[string]float64
	Tries  int
	Beyond int // tries whose answer is extrapolated: nothing was seen of the host in that window
}

// NewHosts makes hosts with empty queues.
func NewHosts(m *Model) *Hosts {
	return &Hosts{model: m, free: map[string][]float64{}, began: map[string]float64{}, busy: map[string]float64{},
		before: map[string]float64{}}
}

// Answer tells when a try that reaches a host at a time is answered, and how. work is what the transaction takes
// against its class's usual time; patience is when its client gives up. A dead host refuses at once; a hung one
// never answers; work that has begun is not stopped.
func (h *Hosts) Answer(class, host string, at, work, patience float64) (done float64, how Outcome) {
	h.Tries++
	s, slow, seen := h.model.at(host, at)
	if !seen {
		h.Beyond++
	}
	switch s {
	case dead:
		return at + 1, NeverRan
	case hung:
		return at + patience, Failed
	}
	fit := h.model.Host(host)
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
	takes := h.model.UsualTime(class) * fit.Speed * slow * work
	begin := math.Max(at, free[core])
	done = begin + takes
	if fit.Full > 0 && done-at > fit.Full {
		return at + 1, NeverRan
	}
	free[core] = done
	h.note(host, at, takes)
	if end, _, _ := h.model.at(host, done); end == dead || end == hung {
		done, how = at+patience, Failed
	}
	if done > at+patience {
		return at + patience, Failed
	}
	return done, how
}

// note counts the work taken on in the present second.
func (h *Hosts) note(host string, at, takes float64) {
	if at >= h.began[host]+window {
		h.before[host] = 0
		if at < h.began[host]+2*window {
			h.before[host] = h.busy[host]
		}
		h.began[host], h.busy[host] = math.Floor(at/window)*window, 0
	}
	h.busy[host] += takes
}

// Load is what a host would report at a time: the busy part of its cores, and how many tries wait.
func (h *Hosts) Load(host string, at float64) (util, queue float64) {
	h.note(host, at, 0)
	fit, behind := h.model.Host(host), 0.0
	for _, f := range h.free[host] {
		if f > at {
			util += 1 / float64(fit.Cores)
			behind += f - at
		}
	}
	steady := math.Min(1, h.before[host]/window/float64(fit.Cores))
	usual := 0.0
	for class := range h.model.usual {
		usual = math.Max(usual, h.model.UsualTime(class)*fit.Speed)
	}
	if usual > 0 {
		queue = math.Floor(math.Max(0, behind/usual-float64(fit.Cores)))
	}
	return (util + steady) / 2, queue
}

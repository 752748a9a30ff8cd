package response

import "math"

// window is the stretch over which a host is taken to be in one state.
const windowMs = 1000.0

// state of a host in a window.
type state int

const (
	unobserved state = iota
	healthy
	unresponsive
	down
)

// cell is what was seen of a host in a window.
type windowStats struct {
	succeeded, failed, rejected    int
	firstSuccessMs, firstFailureMs float64 // when the first good try began and the first of the others, -1: none
	latencyRatioSum                float64 // sum of the good tries' times over their classes' usual times
	baseTimeSum, latencySum        float64 // sums of the usual times of the good tries, and of their own
	healthyChecks, timedOutChecks  int
	unreachableChecks              int
	utilization                    float64      // as reported, below 0: not
	all, unqueued                  serviceStats // of the tries whose work began in it, and of those of them that did not wait
	slowdown                       float64      // times slower than usual that it was; 0: not known
}

// worked sums what tries worked, over their classes' usual times, and counts those that were done.
type serviceStats struct {
	completed       int
	serviceRatioSum float64
}

func (s serviceStats) meanRatio() float64 { return s.serviceRatioSum / float64(max(s.completed, 1)) }

// row is a host's windows, from a number on.
type hostWindows struct {
	first        int
	windows      []windowStats
	closed       int     // windows before this one are
	lastSlowdown float64 // how slow it last was, in window seen
	lastObserved int
}

// at gives a window of the row, nil where it is not kept.
func (h *hostWindows) window(i int) *windowStats {
	if h == nil || i < h.first || i >= h.first+len(h.windows) {
		return nil
	}
	return &h.windows[i-h.first]
}

func (m *Model) windowIndex(atMs float64) int { return max(int((atMs-m.startMs)/windowMs), 0) }

func (m *Model) window(host string, atMs float64) *windowStats {
	windows, i := m.windows[host], m.windowIndex(atMs)
	if windows == nil {
		windows = &hostWindows{first: i, closed: i}
		m.windows[host] = windows
	}
	i = max(i, windows.first) // one that comes too late counts where the row begins
	for windows.first+len(windows.windows) <= i {
		windows.windows = append(windows.windows, windowStats{utilization: -1, firstSuccessMs: -1, firstFailureMs: -1})
	}
	return windows.window(i)
}

// Settle takes in what was seen up to a time: nothing more is told of a window that ends before it.
func (m *Model) CloseWindows(beforeMs float64) { m.closeWindows(m.windowIndex(beforeMs)) }

func (m *Model) closeWindows(end int) {
	for host, windows := range m.windows {
		for ; windows.closed < min(end, windows.first+len(windows.windows)); windows.closed++ {
			window := windows.window(windows.closed)
			if window == nil {
				continue
			}
			switch m.pass {
			case coresPass:
				m.summary(host).addWindowForCores(window)
			case serviceTimesPass:
				m.summary(host).addWindowForServiceTimes(window)
			case queryPass:
				windows.setSlowdown(windows.closed, window, m.parameters[host])
			}
		}
	}
}

// Drop forgets what is not asked for from a time on, but what holds on from before it.
func (m *Model) DiscardBefore(beforeMs float64) {
	firstKept := m.windowIndex(beforeMs) - maxStateAgeWindows - 1
	for _, windows := range m.windows {
		if discarded := min(firstKept, windows.closed) - windows.first; discarded >= minDiscardedWindows {
			windows.windows = append(windows.windows[:0], windows.windows[min(discarded, len(windows.windows)):]...)
			windows.first += discarded
		}
	}
}

// dropLeast windows are dropped at once.
const minDiscardedWindows = 32

// slow works out by how much a host was slower in a window that is settled.
func (w *hostWindows) setSlowdown(i int, window *windowStats, parameters HostParameters) {
	if window.state() != healthy {
		return
	}
	switch {
	case window.unqueued.completed >= minSlowdownAttempts:
		window.slowdown = window.unqueued.meanRatio() / parameters.ServiceTimeFactor
	case window.all.completed >= minSlowdownAttempts:
		window.slowdown = math.Min(window.all.meanRatio()/parameters.ServiceTimeFactor, math.Max(1, float64(parameters.Cores)*windowMs/(window.baseTimeSum*parameters.ServiceTimeFactor)))
		if w.lastSlowdown > 0 { // when these began is not sure, so what was last seen counts too
			completed := float64(window.all.completed)
			window.slowdown = (completed*window.slowdown + lastSlowdownWeight*w.lastSlowdown) / (completed + lastSlowdownWeight)
		}
	case w.lastSlowdown > 0 && i-w.lastObserved < maxStateAgeWindows:
		window.slowdown = w.lastSlowdown // nothing got done there that would tell otherwise
		return
	default:
		return
	}
	w.lastSlowdown, w.lastObserved = window.slowdown, i
}

// turning gives the state within a window in which a host was alive for a part only: it hangs or is dead from the
// first try that shows it, if the next window does, and until the first good one, if the window before did.
func (h *hostWindows) stateWithin(i int, atMs float64) state {
	window := h.window(i)
	if next := h.window(i + 1); next != nil && window.firstFailureMs >= 0 && atMs >= window.firstFailureMs {
		if state := next.state(); state == unresponsive || state == down {
			return state
		}
	}
	if before := h.window(i - 1); before != nil && atMs < window.firstSuccessMs {
		if state := before.state(); state == unresponsive || state == down {
			return state
		}
	}
	return healthy
}

// reach is for how many windows what was last seen of a host holds on.
const maxStateAgeWindows = 20

func (w *windowStats) state() state {
	switch {
	case w.succeeded > 0, w.healthyChecks > 0: // one that is full refuses tries, and answers probes
		return healthy
	case w.rejected > 0 && w.rejected >= w.failed || w.unreachableChecks > 0 && w.failed == 0:
		return down
	case w.failed > 0 || w.timedOutChecks > 0:
		return unresponsive
	}
	return unobserved
}

// slowness is how many times longer than usual for the host its work took. Between slowTaken and its inverse it is
// taken for chance: the transactions' own work differs, and each has what is known of its.
func significantSlowdown(slowdown float64) float64 {
	if slowdown == 0 || slowdown < minSlowdown && slowdown > 1/minSlowdown {
		return 1
	}
	return slowdown
}

const minSlowdown = 1.4

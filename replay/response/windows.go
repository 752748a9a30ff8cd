package response

import "math"

// windowMs is the length of the windows. A host is assumed to be in one state during a window.
const windowMs = 1000.0

// state is the state of a host in a window.
type state int

const (
	unobserved state = iota
	healthy
	unresponsive
	down
)

// windowStats is what was observed of a host in a window.
type windowStats struct {
	succeeded, failed, rejected int
	firstSuccessMs              float64 // start of the first attempt that succeeded; -1: none
	firstFailureMs              float64 // start of the first attempt that did not succeed; -1: none
	latencyRatioSum             float64 // of the latency to the base service time of the class, of attempts that succeeded
	baseTimeSum, latencySum     float64 // of attempts that succeeded
	healthyChecks, failedChecks int
	unreachableChecks           int
	utilization                 float64      // the reported one; below 0: none
	all                         serviceStats // of attempts whose service began in the window
	unqueued                    serviceStats // of those that did not wait
	slowdown                    float64      // service time relative to the usual one of the host; 0: not known
}

// serviceStats sums the service times of attempts, relative to the base service time of their class, and counts the
// completed ones.
type serviceStats struct {
	completed       int
	serviceRatioSum float64
}

func (s serviceStats) meanRatio() float64 { return s.serviceRatioSum / float64(max(s.completed, 1)) }

// hostWindows are the windows of a host from an index on.
type hostWindows struct {
	firstIndex        int
	windows           []windowStats
	closed            int     // index of the first window that is not closed
	lastSlowdown      float64 // last known slowdown, that of the window lastSlowdownIndex
	lastSlowdownIndex int
}

// window returns the window with an index, nil if it is not kept.
func (h *hostWindows) window(i int) *windowStats {
	if h == nil || i < h.firstIndex || i >= h.firstIndex+len(h.windows) {
		return nil
	}
	return &h.windows[i-h.firstIndex]
}

func (m *Model) windowIndex(atMs float64) int { return max(int((atMs-m.startMs)/windowMs), 0) }

func (m *Model) window(host string, atMs float64) *windowStats {
	windows, i := m.windows[host], m.windowIndex(atMs)
	if windows == nil {
		windows = &hostWindows{firstIndex: i, closed: i}
		m.windows[host] = windows
	}
	i = max(i, windows.firstIndex) // an observation of an earlier time counts for the first window
	for windows.firstIndex+len(windows.windows) <= i {
		windows.windows = append(windows.windows, windowStats{utilization: -1, firstSuccessMs: -1, firstFailureMs: -1})
	}
	return windows.window(i)
}

// CloseWindows processes the windows that end before a time. No more observations of these windows may follow.
func (m *Model) CloseWindows(beforeMs float64) { m.closeWindows(m.windowIndex(beforeMs)) }

func (m *Model) closeWindows(end int) {
	for host, windows := range m.windows {
		for ; windows.closed < min(end, windows.firstIndex+len(windows.windows)); windows.closed++ {
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

// DiscardBefore discards the windows before a time that are not needed for later states.
func (m *Model) DiscardBefore(beforeMs float64) {
	firstKept := m.windowIndex(beforeMs) - maxStateAgeWindows - 1
	for _, windows := range m.windows {
		if discarded := min(firstKept, windows.closed) - windows.firstIndex; discarded >= minDiscardedWindows {
			windows.windows = append(windows.windows[:0], windows.windows[min(discarded, len(windows.windows)):]...)
			windows.firstIndex += discarded
		}
	}
}

// minDiscardedWindows is the least number of windows that are discarded at once.
const minDiscardedWindows = 32

// setSlowdown sets the slowdown of a closed window.
func (h *hostWindows) setSlowdown(i int, window *windowStats, parameters HostParameters) {
	if window.state() != healthy {
		return
	}
	switch {
	case window.unqueued.completed >= minSlowdownAttempts:
		window.slowdown = window.unqueued.meanRatio() / parameters.ServiceTimeFactor
	case window.all.completed >= minSlowdownAttempts:
		byCores := float64(parameters.Cores) * windowMs / (window.baseTimeSum * parameters.ServiceTimeFactor)
		window.slowdown = math.Min(window.all.meanRatio()/parameters.ServiceTimeFactor, math.Max(1, byCores))
		if h.lastSlowdown > 0 { // the waits are uncertain, so the last known slowdown counts too
			completed := float64(window.all.completed)
			window.slowdown = (completed*window.slowdown + lastSlowdownWeight*h.lastSlowdown) /
				(completed + lastSlowdownWeight)
		}
	case h.lastSlowdown > 0 && i-h.lastSlowdownIndex < maxStateAgeWindows:
		window.slowdown = h.lastSlowdown // nothing was completed that would show otherwise
		return
	default:
		return
	}
	h.lastSlowdown, h.lastSlowdownIndex = window.slowdown, i
}

// stateWithin returns the state at a time of a window in which the host was healthy only for a part: the state of the
// next window from the first failed attempt on, and that of the window before until the first success.
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

// maxStateAgeWindows is the number of windows for which the last observation of a host holds.
const maxStateAgeWindows = 20

func (w *windowStats) state() state {
	switch {
	case w.succeeded > 0, w.healthyChecks > 0: // a host with a full queue rejects attempts but is healthy
		return healthy
	case w.rejected > 0 && w.rejected >= w.failed || w.unreachableChecks > 0 && w.failed == 0:
		return down
	case w.failed > 0 || w.failedChecks > 0:
		return unresponsive
	}
	return unobserved
}

// significantSlowdown returns the factor by which service times were longer than usual for the host. Factors close to 1
// are taken for chance, since the work of requests differs, and each request has its own known work.
func significantSlowdown(slowdown float64) float64 {
	if slowdown == 0 || slowdown < minSlowdown && slowdown > 1/minSlowdown {
		return 1
	}
	return slowdown
}

// minSlowdown is the least slowdown that is not taken for chance.
const minSlowdown = 1.4

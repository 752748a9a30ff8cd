// Package response models the response times of hosts. A replay uses it to estimate the response to attempts that are
// not in the recordings. The model is fitted to the recorded attempts: the service times and cores of each host, and
// when it was slow, unresponsive or down. Queueing is first come, first served over the cores. Responses at times
// without observations are extrapolated, and counted as such. The package does no I/O; times are in ms.
package response

import "math"

// Result is the result of an attempt.
type Result int

// The results of attempts have the values of those of package client.
const (
	Fulfilled Result = iota // a successful response
	Failed                  // an error, a timeout or no response
	NeverRan                // the attempt was not executed
)

// HostParameters are the fitted parameters of a host.
type HostParameters struct {
	ServiceTimeFactor float64 // service time relative to the base service time of the class
	Cores             int
	QueueLimit        int  // queue length from which attempts are rejected; 0: not observed
	Observed          bool // whether any recorded attempt at the host succeeded
}

// Model is a response-time model of hosts. It is fitted in passes over the recordings, each in the order of time, and
// keeps only windows about the current time:
//
//   - the first pass calls ObserveLatency and SetListedCapacity,
//   - the second calls ObserveAttempt, ObserveHealthCheck and ObserveUtilization, and FitCores at its end,
//   - the third calls the same and ObserveServiceTime, and FitServiceTimes at its end,
//   - the last calls the same as the third, and queries the model for times that lie somewhat before its observations.
//
// In each pass but the first, the caller states with CloseWindows up to which time all observations were made, and with
// DiscardBefore which windows are not queried any more.
type Model struct {
	windows       map[string]*hostWindows
	startMs       float64
	pass          pass
	latencies     map[string]*sample // by class
	baseServiceMs map[string]float64
	parameters    map[string]HostParameters
	listed        map[string]listedCapacity
	summaries     map[string]*hostSummary // of the current pass, by host
}

// pass is one of the passes over the recordings that observe windows: all but the first.
type pass int

const (
	coresPass pass = iota
	serviceTimesPass
	queryPass
)

// New returns an empty model for recordings that begin at a time.
func New(startMs float64) *Model {
	return &Model{
		windows:       map[string]*hostWindows{},
		startMs:       startMs,
		latencies:     map[string]*sample{},
		baseServiceMs: map[string]float64{},
		parameters:    map[string]HostParameters{},
		listed:        map[string]listedCapacity{},
		summaries:     map[string]*hostSummary{},
	}
}

// SetStart sets the time at which the recordings begin. It must be called before the observations of windows.
func (m *Model) SetStart(startMs float64) { m.startMs = startMs }

func (m *Model) summary(host string) *hostSummary {
	summary := m.summaries[host]
	if summary == nil {
		summary = &hostSummary{}
		m.summaries[host] = summary
	}
	return summary
}

// endPass ends the current pass and begins the next one.
func (m *Model) endPass(next pass) {
	m.closeWindows(math.MaxInt)
	m.pass, m.windows = next, map[string]*hostWindows{}
}

// ObserveLatency adds the latency of an attempt that succeeded, for the base service time of its class. All latencies
// must be added before the first call of ObserveAttempt, which fixes the base service time.
func (m *Model) ObserveLatency(class string, latencyMs float64) {
	latencies := m.latencies[class]
	if latencies == nil {
		latencies = &sample{}
		m.latencies[class] = latencies
	}
	latencies.add(latencyMs)
}

// baseServiceQuantile is the quantile of the latencies of a class that is its base service time: most attempts below it
// did not wait in a queue.
const baseServiceQuantile = 0.35

// minBaseServiceMs keeps ratios to the base service time finite.
const minBaseServiceMs = 0.1

// BaseServiceTime returns the base service time of a class: the usual service time of an attempt.
func (m *Model) BaseServiceTime(class string) float64 {
	baseMs, ok := m.baseServiceMs[class]
	if !ok {
		if latencies := m.latencies[class]; latencies != nil {
			baseMs = latencies.quantile(baseServiceQuantile)
		}
		baseMs = math.Max(baseMs, minBaseServiceMs)
		m.baseServiceMs[class] = baseMs
	}
	return baseMs
}

// ObserveAttempt adds a recorded attempt.
func (m *Model) ObserveAttempt(class, host string, atMs, latencyMs float64, result Result) {
	switch result {
	case Fulfilled:
		window := m.window(host, atMs+latencyMs) // the host was healthy when it responded
		window.succeeded++
		if window.firstSuccessMs < 0 || atMs < window.firstSuccessMs {
			window.firstSuccessMs = atMs
		}
		baseMs := m.BaseServiceTime(class)
		window.baseTimeSum += baseMs
		window.latencySum += latencyMs
		window.latencyRatioSum += latencyMs / baseMs
	default:
		window := m.window(host, atMs)
		if result == Failed {
			window.failed++
		} else {
			window.rejected++
		}
		if window.firstFailureMs < 0 || atMs < window.firstFailureMs {
			window.firstFailureMs = atMs
		}
	}
}

// ObserveHealthCheck adds the result of a health check: healthy, unreachable, or failed in another way.
func (m *Model) ObserveHealthCheck(host string, atMs float64, isHealthy, unreachable bool) {
	window := m.window(host, atMs)
	switch {
	case isHealthy:
		window.healthyChecks++
	case unreachable:
		window.unreachableChecks++
	default:
		window.failedChecks++
	}
}

// ObserveUtilization adds the utilization that a host reported; below 0: not known.
func (m *Model) ObserveUtilization(host string, atMs, utilization float64) {
	if utilization >= 0 {
		m.window(host, atMs).utilization = math.Min(utilization, 1)
	}
}

// listedCapacity is the capacity of a host in the endpoint list.
type listedCapacity struct{ cores, speed float64 }

// SetListedCapacity sets a host's listed number of cores, and the speed of each relative to other hosts; 0 cores: not
// listed.
func (m *Model) SetListedCapacity(host string, cores, speed float64) {
	if cores > 0 {
		if speed <= 0 {
			speed = 1
		}
		m.listed[host] = listedCapacity{cores, speed}
	}
}

// ObserveServiceTime adds the service time of an attempt, as returned by QueueReconstruction.AddAttempt.
func (m *Model) ObserveServiceTime(class, host string, atMs, latencyMs, startMs, serviceMs float64, result Result) {
	switch result {
	case NeverRan:
		return
	case Failed:
		if state, _, _ := m.stateAt(host, atMs+latencyMs); state != healthy {
			return // the host was no longer serving it when it failed
		}
	}
	if serviceMs == 0 {
		return
	}
	window := m.window(host, startMs)
	for _, stats := range []*serviceStats{&window.all, &window.unqueued} {
		if stats == &window.unqueued && startMs > atMs {
			continue
		}
		stats.serviceRatioSum += serviceMs / m.BaseServiceTime(class)
		if result == Fulfilled {
			stats.completed++
		}
	}
}

// Parameters returns the fitted parameters of a host.
func (m *Model) Parameters(host string) HostParameters {
	parameters, ok := m.parameters[host]
	if !ok {
		return HostParameters{ServiceTimeFactor: 1, Cores: 1}
	}
	return parameters
}

// stateAt returns the state and the slowdown of a host at a time. Where nothing was observed in the window, the last
// earlier observation holds for up to maxStateAgeWindows; otherwise the host is assumed to be healthy. observed reports
// whether there was an observation in the window itself.
func (m *Model) stateAt(host string, atMs float64) (state state, slowdown float64, observed bool) {
	if atMs < m.startMs {
		return healthy, 1, false
	}
	windows, i := m.windows[host], m.windowIndex(atMs)
	for j := i; j > i-maxStateAgeWindows; j-- {
		window := windows.window(j)
		if window == nil || window.state() == unobserved {
			continue
		}
		state, slowdown = window.state(), significantSlowdown(window.slowdown)
		if j == i && state == healthy {
			state = windows.stateWithin(i, atMs)
		}
		// The slowdown of a window that is still open is not known; the last known one holds for it.
		isClosed := j < windows.closed
		if m.pass == queryPass && !isClosed && windows.lastSlowdown > 0 &&
			i-windows.lastSlowdownIndex < maxStateAgeWindows {
			slowdown = significantSlowdown(windows.lastSlowdown)
		}
		return state, slowdown, j == i
	}
	return healthy, 1, false
}

// Liveness returns whether a host would pass a health check at a time, and if not whether it is reachable at all.
func (m *Model) Liveness(host string, atMs float64) (alive, reachable bool) {
	state, _, _ := m.stateAt(host, atMs)
	return state == healthy, state != down
}

// ServiceTime returns the service time that an attempt at a host has at a time, for a request with the usual work of
// its class.
func (m *Model) ServiceTime(class, host string, atMs float64) float64 {
	_, slowdown, _ := m.stateAt(host, atMs)
	return m.BaseServiceTime(class) * m.Parameters(host).ServiceTimeFactor * slowdown
}

// RelativeWork returns the work of a request relative to the usual work of its class. It derives it from the start and
// the service time of an attempt that succeeded.
func (m *Model) RelativeWork(class, host string, startMs, serviceMs float64) float64 {
	return serviceMs / m.ServiceTime(class, host, startMs)
}

// SlowdownFactor returns the factor by which service times at a host are longer than usual at a time.
func (m *Model) SlowdownFactor(host string, atMs float64) float64 {
	_, slowdown, _ := m.stateAt(host, atMs)
	return slowdown
}

// Package response tells what a host would have answered to a try that it did not get, from the tries that it did
// get. It is fitted from a record and knows nothing that the record does not hold: a host's speed, when it was
// slow, hung or dead, and how many cores it works with. Queueing is first come, first served over the cores. What
// lies where nothing was seen is extrapolated, and counted as such. It does no I/O; times are ms.
package response

import "math"

// Outcome of a try.
type Result int

// As in package client.
const (
	Fulfilled Result = iota
	Failed
	NeverRan
)

// Host is what the fit found of one.
type HostParameters struct {
	ServiceTimeFactor float64 // times a class's usual time that an unhurried try takes here
	Cores             int
	QueueLimit        int  // so many may wait, further tries are refused; 0: never seen
	Observed          bool // from its own tries
}

// Model is fitted in passes over a day, each in the order of time, and keeps of a day only what lies about the present:
// Usual and Stated in the first; Saw, Probed and Loaded in the second, and Fit at its end; the same with Worked in the
// third, and FitWork at its end; the same once more while it is asked, a little behind. In each pass Settle tells how far
// the day is known, and Drop what is not asked for any more.
type Model struct {
	windows       map[string]*hostWindows
	startMs       float64
	pass          pass
	latencies     map[string]*sample // usual times by class
	baseServiceMs map[string]float64
	parameters    map[string]HostParameters
	listed        map[string]listedCapacity
	summaries     map[string]*hostSummary // of the pass, by host
}

// pass over the day that is being made.
type pass int

const (
	coresPass pass = iota
	serviceTimesPass
	queryPass
)

// New makes a model of a day that begins at a time.
func New(startMs float64) *Model {
	return &Model{windows: map[string]*hostWindows{}, startMs: startMs, latencies: map[string]*sample{}, baseServiceMs: map[string]float64{},
		parameters: map[string]HostParameters{}, listed: map[string]listedCapacity{}, summaries: map[string]*hostSummary{}}
}

// Begin sets the time at which the day begins, before anything is seen.
func (m *Model) SetStart(startMs float64) { m.startMs = startMs }

func (m *Model) summary(host string) *hostSummary {
	summary := m.summaries[host]
	if summary == nil {
		summary = &hostSummary{}
		m.summaries[host] = summary
	}
	return summary
}

// next ends a pass.
func (m *Model) endPass(next pass) {
	m.closeWindows(math.MaxInt)
	m.pass, m.windows = next, map[string]*hostWindows{}
}

// Usual notes a good try's time for its class's usual time. All tries go through it before any goes to Saw.
func (m *Model) ObserveLatency(class string, latencyMs float64) {
	latencies := m.latencies[class]
	if latencies == nil {
		latencies = &sample{}
		m.latencies[class] = latencies
	}
	latencies.add(latencyMs)
}

// usualPart of the good tries of a class lie under its usual time: most of those were not held up by others.
const baseServiceQuantile = 0.35

// UsualTime is that of a class: what a try takes that is not held up.
func (m *Model) BaseServiceTime(class string) float64 {
	baseMs, ok := m.baseServiceMs[class]
	if !ok {
		if latencies := m.latencies[class]; latencies != nil {
			baseMs = latencies.quantile(baseServiceQuantile)
		}
		baseMs = math.Max(baseMs, 0.1)
		m.baseServiceMs[class] = baseMs
	}
	return baseMs
}

// Saw notes a try as it was recorded.
func (m *Model) ObserveAttempt(class, host string, atMs, latencyMs float64, result Result) {
	switch result {
	case Fulfilled:
		window := m.window(host, atMs+latencyMs) // it was alive when it answered
		window.succeeded++
		if window.firstSuccessMs < 0 || atMs < window.firstSuccessMs {
			window.firstSuccessMs = atMs
		}
		baseMs := m.BaseServiceTime(class)
		window.baseTimeSum, window.latencySum = window.baseTimeSum+baseMs, window.latencySum+latencyMs
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

// Probed notes a probe: fine, or without an answer, or with nothing found there.
func (m *Model) ObserveHealthCheck(host string, atMs float64, isHealthy, unreachable bool) {
	window := m.window(host, atMs)
	switch {
	case isHealthy:
		window.healthyChecks++
	case unreachable:
		window.unreachableChecks++
	default:
		window.timedOutChecks++
	}
}

// Loaded notes the busy part of a host's cores, as it reported it.
func (m *Model) ObserveUtilization(host string, atMs, utilization float64) {
	if utilization >= 0 {
		m.window(host, atMs).utilization = math.Min(utilization, 1)
	}
}

// capacity of a host, as the list states it.
type listedCapacity struct{ cores, speed float64 }

// Stated notes a host's cores and the speed of each, against others, as the list tells them; cores 0: not told.
func (m *Model) SetListedCapacity(host string, cores, speed float64) {
	if cores > 0 {
		if speed <= 0 {
			speed = 1
		}
		m.listed[host] = listedCapacity{cores, speed}
	}
}

// Worked notes what Lines tells of a try: when its work began, and how long it went on.
func (m *Model) ObserveServiceTime(class, host string, atMs, latencyMs, startMs, serviceMs float64, result Result) {
	switch result {
	case NeverRan:
		return
	case Failed:
		if state, _, _ := m.stateAt(host, atMs+latencyMs); state != healthy {
			return // it was no longer at work
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
		if stats.serviceRatioSum += serviceMs / m.BaseServiceTime(class); result == Fulfilled {
			stats.completed++
		}
	}
}

// Host gives what the fit found.
func (m *Model) Parameters(host string) HostParameters {
	parameters, ok := m.parameters[host]
	if !ok {
		return HostParameters{ServiceTimeFactor: 1, Cores: 1}
	}
	return parameters
}

// at gives a host's state at a time and how many times slower than usual it was. Where nothing was seen in the
// window the last one before that showed anything holds, up to a bound, and after it the host is taken as alive.
func (m *Model) stateAt(host string, atMs float64) (state state, slowdown float64, observed bool) {
	if atMs < m.startMs {
		return healthy, 1, false
	}
	windows, i := m.windows[host], m.windowIndex(atMs)
	for k := i; k > i-maxStateAgeWindows; k-- {
		window := windows.window(k)
		if window == nil || window.state() == unobserved {
			continue
		}
		state, slowdown = window.state(), significantSlowdown(window.slowdown)
		if k == i && state == healthy {
			state = windows.stateWithin(i, atMs)
		}
		if m.pass == queryPass && k >= windows.closed && windows.lastSlowdown > 0 && i-windows.lastObserved < maxStateAgeWindows { // not settled: as it last was
			slowdown = significantSlowdown(windows.lastSlowdown)
		}
		return state, slowdown, k == i
	}
	return healthy, 1, false
}

// Alive tells whether a probe at a time would be answered, and if not whether anything is there at all.
func (m *Model) Liveness(host string, atMs float64) (alive, reachable bool) {
	state, _, _ := m.stateAt(host, atMs)
	return state == healthy, state != down
}

// Takes is how long an unhurried try of usual work takes at a host at a time.
func (m *Model) ServiceTime(class, host string, atMs float64) float64 {
	_, slowdown, _ := m.stateAt(host, atMs)
	return m.BaseServiceTime(class) * m.Parameters(host).ServiceTimeFactor * slowdown
}

// Work is what a transaction was against its class's usual, by what Lines tells of a good try of it.
func (m *Model) RelativeWork(class, host string, startMs, serviceMs float64) float64 {
	return serviceMs / m.ServiceTime(class, host, startMs)
}

// Slowness is how many times slower than usual a host is at a time.
func (m *Model) SlowdownFactor(host string, atMs float64) float64 {
	_, slowdown, _ := m.stateAt(host, atMs)
	return slowdown
}

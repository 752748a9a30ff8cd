package response

import (
	"math"
	"sort"
)

// summary is what a pass leaves of a host's windows.
type hostSummary struct {
	ratios                  sample                       // of the windows, in the first pass; of what did not wait, in the second
	lowLoad                 boundedSample[lowLoadWindow] // windows with a report of the busy part
	maxLoad                 float64                      // work of a window
	unqueuedAttempts        int                          // tries that did not wait
	queueLengthsAtRejection sample                       // how many waited when a living host refused a try
}

// quiet is a window's mean time against the usual, its tries in hand, and the busy part reported.
type lowLoadWindow struct{ latencyRatio, concurrency, utilization float64 }

// thinned keeps a bounded, evenly thinned part of a stream: every k-th item, k doubling when it is full.
type boundedSample[T any] struct {
	values         []T
	interval, seen int
}

const maxSampleSize = 4096

func (s *boundedSample[T]) add(value T) {
	if s.interval == 0 {
		s.interval = 1
	}
	if s.seen++; s.seen%s.interval != 0 {
		return
	}
	if s.values = append(s.values, value); len(s.values) == maxSampleSize {
		half := s.values[:0]
		for i := 1; i < maxSampleSize; i += 2 {
			half = append(half, s.values[i])
		}
		s.values, s.interval = half, 2*s.interval
	}
}

// sample of figures.
type sample struct{ boundedSample[float64] }

// part gives the figure under which so much of the sample lies.
func (s *sample) quantile(p float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), s.values...)
	sort.Float64s(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// fit takes a window in that is settled, in the pass before Fit.
func (s *hostSummary) addWindowForCores(window *windowStats) {
	s.maxLoad = math.Max(s.maxLoad, window.baseTimeSum/windowMs)
	if window.succeeded == 0 {
		return
	}
	ratio := window.latencyRatioSum / float64(window.succeeded)
	s.ratios.add(ratio)
	if window.failed == 0 && window.utilization >= 0 {
		s.lowLoad.add(lowLoadWindow{ratio, window.latencySum / windowMs, window.utilization})
	}
}

// Fit works out each host's cores, and roughly its speed. Its cores are as the list states them; where nothing is
// stated, the tries in hand, by their times (Little's law), over the part of them that it reported as busy, in windows
// where few waited; without such as many as its busiest window needs. It is as fast as its tries are on average in its
// quicker windows, where few wait, until FitWork knows better.
func (m *Model) FitCores() {
	m.endPass(serviceTimesPass)
	for host, summary := range m.summaries {
		parameters := HostParameters{ServiceTimeFactor: 1, Cores: 1}
		if len(summary.ratios.values) > 0 {
			parameters.Observed, parameters.ServiceTimeFactor = true, math.Max(summary.ratios.quantile(0.25), 0.05)
		}
		cores := summary.maxLoad * parameters.ServiceTimeFactor
		if concurrency, utilization := summary.lowLoadSums(parameters.ServiceTimeFactor); utilization > 0 {
			cores = concurrency / utilization
		}
		if capacity, ok := m.listed[host]; ok {
			cores = capacity.cores
		}
		parameters.Cores = min(max(int(math.Round(cores)), 1), 1024)
		m.parameters[host] = parameters
	}
	m.correctCongestedHosts()
	m.summaries = map[string]*hostSummary{}
}

// inQuiet sums tries in hand and the busy part of the cores over windows where tries took about as long as usual.
// They are chosen by that and not by the busy part: it is a noisy figure, and the low ones of it would be chosen.
func (s *hostSummary) lowLoadSums(serviceTimeFactor float64) (concurrency, utilization float64) {
	for _, window := range s.lowLoad.values {
		if window.latencyRatio < maxLowLoadLatencyRatio*serviceTimeFactor {
			concurrency, utilization = concurrency+window.concurrency, utilization+window.utilization
		}
	}
	return concurrency, utilization
}

// quietMost is how many times as long as usual tries take in a quiet window at most.
const maxLowLoadLatencyRatio = 1.25

// quickened takes hosts at which tries wait even in the quicker windows to be as fast as the others are for what the
// list states of them.
func (m *Model) correctCongestedHosts() {
	listedMs := m.listedServiceTime(0.25, nil) // waiting makes it longer only
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; parameters.Observed && listedMs > 0 {
			parameters.ServiceTimeFactor = math.Min(parameters.ServiceTimeFactor, listedMs/capacity.speed)
			m.parameters[host] = parameters
		}
	}
}

// statedTime gives the time that a class's usual try takes at a stated speed of 1, under which a part of the hosts lie
// that are not left out; 0: none tells.
func (m *Model) listedServiceTime(quantile float64, excluded map[string]bool) float64 {
	var times []float64
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; parameters.Observed && !excluded[host] {
			times = append(times, parameters.ServiceTimeFactor*capacity.speed)
		}
	}
	if sort.Float64s(times); len(times) > 0 {
		return times[int(quantile*float64(len(times)))]
	}
	return 0
}

// refused notes how many waited when a host refused a try.
func (m *Model) observeRejection(host string, atMs float64, queueLength int) {
	if m.pass != serviceTimesPass || queueLength <= 0 {
		return
	}
	if state, _, _ := m.stateAt(host, atMs); state != healthy {
		return
	}
	m.summary(host).queueLengthsAtRejection.add(float64(queueLength))
}

// fitWork takes a window in that is settled, in the pass before FitWork.
func (s *hostSummary) addWindowForServiceTimes(window *windowStats) {
	if window.unqueued.completed >= minSlowdownAttempts && window.state() == healthy {
		s.ratios.add(window.unqueued.meanRatio())
		s.unqueuedAttempts += window.unqueued.completed
	}
}

// FitWork works out each host's speed, and by how much it was slower in each window, from what its tries worked; from
// those that did not wait, where there are any, since of them it is sure. A try that was given up counts by the time
// it had worked, and not as one that was done: so the mean is right where the slow ones are those that are cut off
// (the estimate of a rate under censoring). The speed is that of the middle window. Hosts that were never at work, or
// where tries waited all day, are taken to be as the others are for what the list states.
func (m *Model) FitServiceTimes() {
	m.endPass(queryPass)
	uncertain := map[string]bool{}
	for host, parameters := range m.parameters {
		summary := m.summary(host)
		parameters.QueueLimit = int(summary.queueLengthsAtRejection.quantile(0.5))
		if uncertain[host] = summary.unqueuedAttempts < minServiceTimeAttempts; !uncertain[host] {
			parameters.ServiceTimeFactor = math.Max(summary.ratios.quantile(0.5), 0.05)
		}
		m.parameters[host] = parameters
	}
	listedMs := m.listedServiceTime(0.5, uncertain)
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; (!parameters.Observed || uncertain[host]) && listedMs > 0 {
			parameters.ServiceTimeFactor, parameters.Cores = listedMs/capacity.speed, max(int(math.Round(capacity.cores)), 1)
			m.parameters[host] = parameters
		}
	}
	m.summaries = map[string]*hostSummary{}
}

// So many tries that did not wait tell how slow a host is in a window, and how fast it is at all.
const (
	minSlowdownAttempts    = 2
	minServiceTimeAttempts = 20
	lastSlowdownWeight     = 8 // what was last seen counts as so many that waited
)

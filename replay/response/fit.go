package response

import (
	"math"
	"sort"
)

// hostSummary is what a pass collects from the windows of a host. The ratios are those of the windows to the base
// service time: of the mean latency in the pass before FitCores, of the mean unqueued service time in that before
// FitServiceTimes.
type hostSummary struct {
	ratios                  sample
	lowLoad                 boundedSample[lowLoadWindow] // windows with reported utilization
	maxLoad                 float64                      // largest sum of a window's base service times, per ms
	unqueuedAttempts        int                          // attempts that did not wait
	queueLengthsAtRejection sample                       // queue lengths when the host, while healthy, rejected an attempt
}

// lowLoadWindow is a window's mean latency relative to the base service time, the mean number of attempts in progress,
// and the reported utilization.
type lowLoadWindow struct{ latencyRatio, concurrency, utilization float64 }

// boundedSample keeps a bounded part of a stream: every nth value, where n doubles whenever the sample is full.
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

// sample is a bounded sample of numbers.
type sample struct{ boundedSample[float64] }

// quantile returns a quantile of the sample, 0 if it is empty.
func (s *sample) quantile(p float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), s.values...)
	sort.Float64s(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// addWindowForCores adds a closed window, in the pass before FitCores.
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

// FitCores fits each host's cores, and roughly its service time factor. The cores are the listed ones. For a host
// without, they are the mean number of attempts in progress (Little's law) over the reported utilization, in windows
// with little waiting; without such windows, as many as the window with the largest load needs. The service time factor
// is the latency of the faster windows, which have little waiting, until FitServiceTimes improves it.
func (m *Model) FitCores() {
	m.endPass(serviceTimesPass)
	for host, summary := range m.summaries {
		parameters := HostParameters{ServiceTimeFactor: 1, Cores: 1}
		if len(summary.ratios.values) > 0 {
			parameters.Observed = true
			parameters.ServiceTimeFactor = math.Max(summary.ratios.quantile(0.25), minServiceTimeFactor)
		}
		cores := summary.maxLoad * parameters.ServiceTimeFactor
		if concurrency, utilization := summary.lowLoadSums(parameters.ServiceTimeFactor); utilization > 0 {
			cores = concurrency / utilization
		}
		if capacity, ok := m.listed[host]; ok {
			cores = capacity.cores
		}
		parameters.Cores = min(max(int(math.Round(cores)), 1), maxCores)
		m.parameters[host] = parameters
	}
	m.correctCongestedHosts()
	m.summaries = map[string]*hostSummary{}
}

// lowLoadSums sums the attempts in progress and the utilization over windows in which attempts took about the base
// time. The windows are selected by latency rather than by utilization: the reported utilization is noisy, and a
// selection of low values would bias the sum.
func (s *hostSummary) lowLoadSums(serviceTimeFactor float64) (concurrency, utilization float64) {
	for _, window := range s.lowLoad.values {
		if window.latencyRatio < maxLowLoadLatencyRatio*serviceTimeFactor {
			concurrency, utilization = concurrency+window.concurrency, utilization+window.utilization
		}
	}
	return concurrency, utilization
}

// maxLowLoadLatencyRatio is the largest latency of a window with little waiting, relative to the unqueued one.
const maxLowLoadLatencyRatio = 1.25

// correctCongestedHosts lowers the service time factor of hosts whose attempts wait even in the faster windows to that
// of the other hosts, scaled by the listed speeds.
func (m *Model) correctCongestedHosts() {
	listedFactor := m.listedServiceTimeFactor(0.25, nil) // a low quantile, as waiting only makes latencies longer
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; parameters.Observed && listedFactor > 0 {
			parameters.ServiceTimeFactor = math.Min(parameters.ServiceTimeFactor, listedFactor/capacity.speed)
			m.parameters[host] = parameters
		}
	}
}

// listedServiceTimeFactor returns a quantile, over the hosts that are not excluded, of the service time factor scaled
// to a listed speed of 1; 0 if no host has one.
func (m *Model) listedServiceTimeFactor(quantile float64, excluded map[string]bool) float64 {
	var factors []float64
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; parameters.Observed && !excluded[host] {
			factors = append(factors, parameters.ServiceTimeFactor*capacity.speed)
		}
	}
	if sort.Float64s(factors); len(factors) > 0 {
		return factors[int(quantile*float64(len(factors)))]
	}
	return 0
}

// observeRejection adds the queue length of a host that rejected an attempt.
func (m *Model) observeRejection(host string, atMs float64, queueLength int) {
	if m.pass != serviceTimesPass || queueLength <= 0 {
		return
	}
	if state, _, _ := m.stateAt(host, atMs); state != healthy {
		return
	}
	m.summary(host).queueLengthsAtRejection.add(float64(queueLength))
}

// addWindowForServiceTimes adds a closed window, in the pass before FitServiceTimes.
func (s *hostSummary) addWindowForServiceTimes(window *windowStats) {
	if window.unqueued.completed >= minSlowdownAttempts && window.state() == healthy {
		s.ratios.add(window.unqueued.meanRatio())
		s.unqueuedAttempts += window.unqueued.completed
	}
}

// FitServiceTimes fits each host's service time factor, and its slowdown in each window, to the service times of its
// attempts: those of attempts that did not wait, where there are any, since they are certain. An attempt that was given
// up adds the time for which it was served but does not count as completed, so the mean is unbiased if slow attempts
// are cut off (the estimate of a rate from censored observations). The service time factor is the median of the
// windows. Hosts without attempts, or whose attempts always waited, are assumed to be like the others, scaled by the
// listed speed.
func (m *Model) FitServiceTimes() {
	m.endPass(queryPass)
	uncertain := map[string]bool{}
	for host, parameters := range m.parameters {
		summary := m.summary(host)
		parameters.QueueLimit = int(summary.queueLengthsAtRejection.quantile(0.5))
		if uncertain[host] = summary.unqueuedAttempts < minServiceTimeAttempts; !uncertain[host] {
			parameters.ServiceTimeFactor = math.Max(summary.ratios.quantile(0.5), minServiceTimeFactor)
		}
		m.parameters[host] = parameters
	}
	listedFactor := m.listedServiceTimeFactor(0.5, uncertain)
	for host, capacity := range m.listed {
		if parameters := m.parameters[host]; (!parameters.Observed || uncertain[host]) && listedFactor > 0 {
			parameters.ServiceTimeFactor = listedFactor / capacity.speed
			parameters.Cores = max(int(math.Round(capacity.cores)), 1)
			m.parameters[host] = parameters
		}
	}
	m.summaries = map[string]*hostSummary{}
}

const (
	minSlowdownAttempts    = 2  // unqueued attempts from which the slowdown of a window is known
	minServiceTimeAttempts = 20 // unqueued attempts from which the service time factor of a host is known
	lastSlowdownWeight     = 8  // of the last known slowdown, as a number of attempts that waited
	minServiceTimeFactor   = 0.05
	maxCores               = 1024
)

package intake

import (
	"math"

	"barleysail/routing"
)

// hostState is the state that Trust keeps of one host.
type hostState struct {
	attempts       attemptStats // attempts that proxies made at the host
	recentAttempts attemptStats // the same, decaying faster
	latencies      LatencyDistribution
	reporters      Reporters // processes that reported under this host's name
	clock          SenderClock

	lastLoad     routing.HostLoad // as last reported
	lastLoadMs   float64          // instant of that report; 0: none yet
	lastSampleMs float64          // instant of the last report that was checked
	intervalMs   float64          // moving average of the time between checked reports
	repeats      int              // checked reports in a row that were equal to the one before

	confidence     float64 // in the load reports, 0 to 1
	distrusted     bool
	distrustReason string
	trusted        trustedSample
}

// trustedSample is the last trusted load report, with the proxies' observations of the host at that time.
type trustedSample struct {
	load          routing.HostLoad
	atMs          float64
	rate          float64 // attempts per second
	meanLatencyMs float64
}

const (
	attemptDecayMs      = 5000.0 // decay time of the attempts of a host and of the fleet
	fastDecayMs         = 1500.0 // decay time of the sums that follow a change of traffic faster
	intervalSmoothing   = 0.2    // weight of the newest interval in the moving average
	maxSilentMultiple   = 10     // bound of an interval in the moving average, as a multiple of Limits.SilentAfterMs
	silentIntervals     = 5.0    // mean intervals without a report after which a host's reports have stopped
	samplingIntervalMs  = 500.0  // least time between two checked reports of a host
	fullConfidence      = 1
	distrustThreshold   = 0.5  // confidence below which load reports are distrusted
	trustThreshold      = 0.75 // confidence above which they are trusted again
	confidenceRemaining = 0.75 // fraction of the confidence that remains after an inconsistent report
	confidenceGain      = 0.1  // fraction of the missing confidence that a consistent report restores
	duplicateConfidence = distrustThreshold * 0.9
)

func newHostState() *hostState {
	return &hostState{
		attempts:       attemptStats{decayMs: attemptDecayMs},
		recentAttempts: attemptStats{decayMs: fastDecayMs},
		lastLoad:       routing.UnknownLoad,
		confidence:     fullConfidence,
		trusted:        trustedSample{load: routing.UnknownLoad},
	}
}

// hasReported reports whether the host has ever reported its load.
func (h *hostState) hasReported() bool { return h.lastLoadMs != 0 }

// observeInterval updates the usual interval between load reports.
func (h *hostState) observeInterval(nowMs float64, limits *Limits) {
	intervalMs := math.Min(nowMs-h.lastSampleMs, maxSilentMultiple*limits.SilentAfterMs)
	h.intervalMs += intervalSmoothing * (intervalMs - h.intervalMs)
}

// isSilent reports whether the host's load reports have stopped.
func (h *hostState) isSilent(nowMs float64, limits *Limits) bool {
	return nowMs-h.lastLoadMs > math.Max(limits.SilentAfterMs, silentIntervals*h.intervalMs)
}

// uncertainty returns how uncertain an estimate of the host's utilization is, from 0 to 1.
func (h *hostState) uncertainty(nowMs float64, limits *Limits) float64 {
	return math.Min((nowMs-h.trusted.atMs)/math.Max(limits.UncertainAfterMs, minPeriodMs), 1)
}

// updateConfidence lowers the confidence after an inconsistent report, and raises it after a consistent one.
func (h *hostState) updateConfidence(consistent bool) {
	if consistent {
		h.confidence += confidenceGain * (1 - h.confidence)
	} else {
		h.confidence *= confidenceRemaining
	}
}

// recordTrusted records a load report as the last trusted one.
func (h *hostState) recordTrusted(nowMs float64, load routing.HostLoad) {
	h.trusted = trustedSample{
		load:          load,
		atMs:          nowMs,
		rate:          h.attempts.attemptsPerSecond(),
		meanLatencyMs: h.attempts.meanLatencyMs(),
	}
}

// estimateUtilization estimates the host's utilization without its load reports. Where the capacity is known, it is
// the work of the attempts of all proxies over that capacity (utilization law: U = arrival rate * service time /
// cores). Otherwise it is the last trusted utilization, scaled by the change of rate and mean latency since. A low
// estimate rises toward Limits.UnknownUtilization as the uncertainty grows.
func (h *hostState) estimateUtilization(nowMs float64, limits *Limits, capacity Capacity) float64 {
	h.attempts.decay(nowMs)
	rate := h.attempts.attemptsPerSecond()
	utilization := limits.UnknownUtilization
	switch {
	case capacity.isKnown() && capacity.ProxyShare > 0:
		utilization = rate / capacity.ProxyShare * capacity.MeanWorkMs / msPerSecond / capacity.Cores
	case h.canScaleTrusted():
		trusted := &h.trusted
		scaled := trusted.load.Utilization * rate * h.attempts.meanLatencyMs()
		utilization = scaled / (trusted.rate * trusted.meanLatencyMs)
	}
	missing := limits.UnknownUtilization - utilization
	return math.Max(utilization, utilization+h.uncertainty(nowMs, limits)*missing)
}

// canScaleTrusted reports whether the last trusted load can be scaled by the attempts since then.
func (h *hostState) canScaleTrusted() bool {
	trusted := &h.trusted
	hasBaseline := trusted.load.Utilization >= 0 && trusted.rate > 0 && trusted.meanLatencyMs > 0
	return hasBaseline && h.attempts.successes >= 1
}

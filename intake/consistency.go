package intake

import (
	"fmt"
	"math"

	"barleysail/routing"
)

const (
	minObservationMs     = 3000.0 // time for which a host is observed before its reports are checked
	minSuccesses         = 20.0   // decayed number of successful attempts at a host before its reports are checked
	minRateRatio         = 0.8    // a reported rate below this fraction of the observed one is inconsistent
	rateTolerance        = 1      // added to the reported rate for this comparison, in requests per second
	minUtilizationRatio  = 0.5    // a reported utilization below this fraction of the observed one is inconsistent
	utilizationTolerance = 0.1    // added to the reported utilization for this comparison
	idleUtilization      = 0.5    // a host that reports less utilization than this, and an empty queue, is idle
	maxIdleLatencyRatio  = 2.5    // multiple of the fleet's mean latency above which an idle host's report is inconsistent
	minStuckRepeats      = 5      // equal reports in a row from which a host's reports may count as stuck
	repeatSmoothing      = 0.999  // factor by which each report decays the fleet's counts in repeatStats
)

// repeatStats counts the fleet's load reports, and those of them that were equal to the one before, with decay.
type repeatStats struct {
	repeated float64
	total    float64
}

func (s *repeatStats) observe(isRepeat bool) {
	s.repeated *= repeatSmoothing
	s.total = s.total*repeatSmoothing + 1
	if isRepeat {
		s.repeated++
	}
}

// probability returns the probability of the given number of repeated reports in a row.
func (s *repeatStats) probability(repeats int) float64 {
	return math.Pow(s.repeated/s.total, float64(repeats))
}

// rateSums are decayed sums over the fleet of the request rates, per second, that hosts reported and that proxies
// observed there.
type rateSums struct {
	reported  float64
	observed  float64
	updatedMs float64
}

// observe adds the rates of one host.
func (s *rateSums) observe(nowMs, reported, observed float64) {
	factor := math.Exp((s.updatedMs - nowMs) / fastDecayMs)
	s.reported = s.reported*factor + reported
	s.observed = s.observed*factor + observed
	s.updatedMs = nowMs
}

// ratio returns the reported rate as a fraction of the observed one, at most 1. It corrects for traffic that falls
// everywhere, which hosts report before the observed sums have decayed.
func (s *rateSums) ratio() float64 { return math.Min(1, s.reported/math.Max(s.observed, minDivisor)) }

// inconsistency returns how a load report contradicts what proxies observed at the host, or "" for a consistent report.
// The controller knows only the attempts of its own proxies, so these are a lower bound of the host's work.
func (t *Trust) inconsistency(nowMs float64, host *hostState, load routing.HostLoad, capacity Capacity) string {
	host.attempts.decay(nowMs)
	host.recentAttempts.decay(nowMs)
	t.fleet.decay(nowMs)
	if host.attempts.successes < minSuccesses || nowMs < host.attempts.startMs+minObservationMs {
		return ""
	}
	if reason := t.checkStuck(host); reason != "" {
		return reason
	}
	// When traffic falls, a host reports it before the slower of the two sums has decayed, so the lower rate is used.
	observedRate := math.Min(host.attempts.successesPerSecond(), host.recentAttempts.successesPerSecond())
	fleetRatio := 1.0
	if load.RequestRate >= 0 {
		t.rates.observe(nowMs, load.RequestRate, observedRate)
		fleetRatio = t.rates.ratio()
	}
	if reason := checkRequestRate(load, fleetRatio, observedRate); reason != "" {
		return reason
	}
	if reason := checkUtilization(load, fleetRatio*observedRate, capacity); reason != "" {
		return reason
	}
	return checkIdleLatency(load, host.attempts.meanLatencyMs(), t.fleet.meanLatencyMs())
}

// checkStuck returns a reason where the host's load has been unchanged for so many reports that chance is an
// implausible explanation (Limits.StuckProbability).
func (t *Trust) checkStuck(host *hostState) string {
	probability := t.repeats.probability(host.repeats)
	isStuck := host.repeats >= minStuckRepeats && probability < t.limits.StuckProbability
	if !isStuck {
		return ""
	}
	return fmt.Sprintf("the same %d times, by chance once in %.0f", host.repeats+1, 1/probability)
}

// checkRequestRate returns a reason where the host reports a lower request rate than that of the proxies' successful
// attempts there.
func checkRequestRate(load routing.HostLoad, fleetRatio, observedRate float64) string {
	isLow := load.RequestRate >= 0 && load.RequestRate+rateTolerance < minRateRatio*fleetRatio*observedRate
	if !isLow {
		return ""
	}
	return fmt.Sprintf("it tells %.3g a second, our proxies alone had %.3g fulfilled", load.RequestRate, observedRate)
}

// checkUtilization returns a reason where the host reports a lower utilization than the proxies' attempts alone cause.
func checkUtilization(load routing.HostLoad, rate float64, capacity Capacity) string {
	if !capacity.isKnown() {
		return ""
	}
	observed := rate * capacity.MeanWorkMs / msPerSecond / capacity.Cores
	isLow := load.Utilization >= 0 && load.Utilization+utilizationTolerance < minUtilizationRatio*observed
	if !isLow {
		return ""
	}
	return fmt.Sprintf("it tells a busy part of %.2f, our proxies' work alone makes %.2f", load.Utilization, observed)
}

// checkIdleLatency returns a reason where the host reports that it is idle but its mean latency is far above the
// fleet's.
func checkIdleLatency(load routing.HostLoad, latencyMs, fleetLatencyMs float64) string {
	isIdle := load.Utilization >= 0 && load.Utilization < idleUtilization && load.QueueLength <= 0
	isSlow := latencyMs > maxIdleLatencyRatio*fleetLatencyMs
	if !isIdle || !isSlow {
		return ""
	}
	return fmt.Sprintf("it tells a busy part of %.2f, its answers take %.0f ms where %.0f are usual",
		load.Utilization, latencyMs, fleetLatencyMs)
}

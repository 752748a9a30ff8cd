package intake

import (
	"fmt"
	"math"

	"barleysail/routing"
)

const (
	minObservationMs     = 3000.0 // of attempts at a host before its reports are compared with them
	minGoodAttempts      = 20.0   // decayed number of successful attempts, likewise
	minRateRatio         = 0.8    // a reported rate may not be below this part of the observed one
	rateTolerance        = 1      // requests per second that a reported rate may lie below that
	minUtilizationRatio  = 0.5    // a reported utilization may not be below this part of the observed work's
	utilizationTolerance = 0.1    // by which a reported utilization may lie below that
	idleUtilization      = 0.5    // a host that reports less than this, and an empty queue, is idle
	maxIdleLatencyRatio  = 2.5    // an idle host's mean latency may not exceed this many times the fleet's
	minStuckRepeats      = 5      // equal reports in a row before a host's reports may be taken as stuck
	repeatSmoothing      = 0.999  // weight of the past in the fleet's share of repeated reports, per report
)

// repeatStats is the decayed share of the fleet's load reports that were equal to the one before.
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

// probability returns the chance of so many repeated reports in a row.
func (s *repeatStats) probability(repeats int) float64 {
	return math.Pow(s.repeated/s.total, float64(repeats))
}

// rateSums are decayed sums over the fleet of the request rates that hosts reported and that proxies observed there.
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

// ratio returns which part of the observed rate the fleet reported, at most 1. Where traffic falls everywhere, hosts
// report it before the observed sums have decayed.
func (s *rateSums) ratio() float64 { return math.Min(1, s.reported/math.Max(s.observed, minDivisor)) }

// inconsistency returns why a load report contradicts what proxies observed at the host, "" if it does not. Proxies see
// only their own attempts, so these are a lower bound of the host's work.
func (t *Trust) inconsistency(nowMs float64, host *hostState, load routing.HostLoad, capacity Capacity) string {
	host.attempts.decay(nowMs)
	host.recentAttempts.decay(nowMs)
	t.fleet.decay(nowMs)
	if host.attempts.good < minGoodAttempts || nowMs < host.attempts.startMs+minObservationMs {
		return ""
	}
	if reason := t.stuckReports(host); reason != "" {
		return reason
	}
	// Where traffic falls a host reports it before the slower sum has decayed: the lower rate counts.
	observedRate := math.Min(host.attempts.goodPerSecond(), host.recentAttempts.goodPerSecond())
	fleetRatio := 1.0
	if load.RequestRate >= 0 {
		t.rates.observe(nowMs, load.RequestRate, observedRate)
		fleetRatio = t.rates.ratio()
	}
	if reason := lowRate(load, fleetRatio, observedRate); reason != "" {
		return reason
	}
	if reason := lowUtilization(load, fleetRatio*observedRate, capacity); reason != "" {
		return reason
	}
	return slowWhileIdle(load, host.attempts.meanLatencyMs(), t.fleet.meanLatencyMs())
}

// stuckReports returns a reason where the host's load has been unchanged for so many reports that chance explains it no
// more.
func (t *Trust) stuckReports(host *hostState) string {
	probability := t.repeats.probability(host.repeats)
	isStuck := host.repeats >= minStuckRepeats && probability < t.limits.StuckProbability
	if !isStuck {
		return ""
	}
	return fmt.Sprintf("the same %d times, by chance once in %.0f", host.repeats+1, 1/probability)
}

// lowRate returns a reason where the host reports fewer requests than proxies had fulfilled there.
func lowRate(load routing.HostLoad, fleetRatio, observedRate float64) string {
	isLow := load.RequestRate >= 0 && load.RequestRate+rateTolerance < minRateRatio*fleetRatio*observedRate
	if !isLow {
		return ""
	}
	return fmt.Sprintf("it tells %.3g a second, our proxies alone had %.3g fulfilled", load.RequestRate, observedRate)
}

// lowUtilization returns a reason where the host reports less utilization than the proxies' attempts alone cause.
func lowUtilization(load routing.HostLoad, rate float64, capacity Capacity) string {
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

// slowWhileIdle returns a reason where the host reports to be idle but answers far slower than the fleet.
func slowWhileIdle(load routing.HostLoad, latencyMs, fleetLatencyMs float64) string {
	isIdle := load.Utilization >= 0 && load.Utilization < idleUtilization && load.QueueLength <= 0
	isSlow := latencyMs > maxIdleLatencyRatio*fleetLatencyMs
	if !isIdle || !isSlow {
		return ""
	}
	return fmt.Sprintf("it tells a busy part of %.2f, its answers take %.0f ms where %.0f are usual",
		load.Utilization, latencyMs, fleetLatencyMs)
}

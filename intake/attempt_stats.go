package intake

import "math"

// attemptStats are exponentially decaying sums of the attempts that proxies made: after decayMs without attempts a sum
// has fallen to 1/e.
type attemptStats struct {
	decayMs      float64
	good         float64 // attempts that succeeded
	failed       float64
	latencySumMs float64 // of the attempts that succeeded
	updatedMs    float64 // instant to which the sums have decayed
	startMs      float64 // begin of the first report's window; 0: there was no report
}

const (
	minStatsAgeMs = 100.0 // the sums are taken as at least this old, so that a rate stays finite
	msPerSecond   = 1000
	minDivisor    = 1e-9 // in place of a sum that may be 0
)

// decay brings the sums up to an instant.
func (s *attemptStats) decay(nowMs float64) {
	factor := math.Exp((s.updatedMs - nowMs) / s.decayMs)
	s.good *= factor
	s.failed *= factor
	s.latencySumMs *= factor
	s.updatedMs = nowMs
}

// add counts the attempts of a report.
func (s *attemptStats) add(nowMs float64, report *Report) {
	if s.startMs == 0 {
		s.startMs = nowMs - report.WindowMs
	}
	s.decay(nowMs)
	good := float64(report.succeeded())
	s.good += good
	s.failed += float64(report.Failed)
	s.latencySumMs += good * report.MeanLatencyMs
}

// goodPerSecond returns the rate of attempts that succeeded.
func (s *attemptStats) goodPerSecond() float64 { return s.perSecond(s.good) }

// totalPerSecond returns the rate of all attempts.
func (s *attemptStats) totalPerSecond() float64 { return s.perSecond(s.good + s.failed) }

// perSecond returns the rate behind a decaying sum. A constant rate r sums up to r d (1 - exp(-t/d)) within t, where d
// is decayMs.
func (s *attemptStats) perSecond(sum float64) float64 {
	ageMs := math.Max(s.updatedMs-s.startMs, minStatsAgeMs)
	return sum / (s.decayMs * (1 - math.Exp(-ageMs/s.decayMs))) * msPerSecond
}

// meanLatencyMs returns the mean latency of the attempts that succeeded.
func (s *attemptStats) meanLatencyMs() float64 { return s.latencySumMs / math.Max(s.good, minDivisor) }

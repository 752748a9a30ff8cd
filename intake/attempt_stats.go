package intake

import "math"

// attemptStats are exponentially decaying sums of the attempts that proxies made: after decayMs without attempts a sum
// has fallen to 1/e.
type attemptStats struct {
	decayMs      float64
	successes    float64 // attempts that succeeded
	failures     float64
	latencySumMs float64 // of the attempts that succeeded
	updatedMs    float64 // instant to which the sums were decayed
	startMs      float64 // start of the first report's window; 0: no report yet
}

const (
	minStatsAgeMs = 100.0 // least age assumed of the sums, so that a rate stays finite
	msPerSecond   = 1000
	minDivisor    = 1e-9 // replaces a divisor that may be 0
)

// decay decays the sums to an instant.
func (s *attemptStats) decay(nowMs float64) {
	factor := math.Exp((s.updatedMs - nowMs) / s.decayMs)
	s.successes *= factor
	s.failures *= factor
	s.latencySumMs *= factor
	s.updatedMs = nowMs
}

// add adds the attempts of a report.
func (s *attemptStats) add(nowMs float64, report *Report) {
	if s.startMs == 0 {
		s.startMs = nowMs - report.WindowMs
	}
	s.decay(nowMs)
	successes := float64(report.succeeded())
	s.successes += successes
	s.failures += float64(report.Failed)
	s.latencySumMs += successes * report.MeanLatencyMs
}

// successesPerSecond returns the rate of successful attempts, per second.
func (s *attemptStats) successesPerSecond() float64 { return s.perSecond(s.successes) }

// attemptsPerSecond returns the rate of all attempts, per second.
func (s *attemptStats) attemptsPerSecond() float64 { return s.perSecond(s.successes + s.failures) }

// perSecond returns the rate that a decaying sum shows, per second. A constant rate r sums up to r d (1 - exp(-t/d))
// within the time t, where d is decayMs.
func (s *attemptStats) perSecond(sum float64) float64 {
	ageMs := math.Max(s.updatedMs-s.startMs, minStatsAgeMs)
	return sum / (s.decayMs * (1 - math.Exp(-ageMs/s.decayMs))) * msPerSecond
}

// meanLatencyMs returns the mean latency of the attempts that succeeded.
func (s *attemptStats) meanLatencyMs() float64 {
	return s.latencySumMs / math.Max(s.successes, minDivisor)
}

package intake

import "math"

// HostReport is how a host's reports stand.
type HostReport struct {
	Count             float64       `json:"count"`     // good tries that count now, faded
	AgeMs             float64       `json:"age_ms"`    // of the newest load report; below 0: there was none
	Trust             float64       `json:"trust"`     // in its load reports, 0 to 1
	DistrustReason    string        `json:"doubted"`   // why they are not believed
	Silent            bool          `json:"silent"`    // they have stopped
	Estimate          float64       `json:"estimate"`  // of its busy part, where they are not believed or have stopped
	Uncertainty       float64       `json:"unsure"`    // how unsure that is, 0 to 1
	DuplicateReporter bool          `json:"two_names"` // two senders are at work under its name
	Latencies         LatencyReport `json:"times"`
}

// Host tells how a host's reports stand; false where none came and no proxy met it.
func (t *Trust) Host(now float64, name string, c Capacity) (r HostReport, ok bool) {
	h := t.hosts[name]
	if h == nil {
		return r, false
	}
	h.attempts.decay(now)
	r = HostReport{Count: h.attempts.good, AgeMs: -1, Trust: h.confidence, DistrustReason: h.distrustReason, DuplicateReporter: h.reporters.Duplicate(now), Latencies: h.latencies.Report()}
	if h.lastLoadMs > 0 {
		r.AgeMs, r.Silent = now-h.lastLoadMs, t.isSilent(now, h)
		if r.Silent || h.distrusted {
			r.Estimate = math.Min(t.estimateUtilization(now, h, c), 1)
			r.Uncertainty = math.Min((now-h.trustedMs)/math.Max(t.limits.UncertainAfterMs, 1), 1)
		}
	}
	return r, true
}

// Confidence is how far a host's load reports are trusted, 1 where nothing is known.
func (t *Trust) Confidence(name string) float64 {
	if h := t.hosts[name]; h != nil {
		return h.confidence
	}
	return 1
}

// Count tells how many hosts are known, doubted and silent.
func (t *Trust) Count(now float64) (known, doubted, silent int) {
	for _, h := range t.hosts {
		if h.distrusted {
			doubted++
		}
		if h.lastLoadMs > 0 && t.isSilent(now, h) {
			silent++
		}
	}
	return len(t.hosts), doubted, silent
}

package intake

import "math"

// noReportAgeMs is HostReport.AgeMs of a host that never reported its load.
const noReportAgeMs = -1

// HostReport is the state of one host's reports in the status API.
type HostReport struct {
	Count             float64       `json:"count"`     // successful attempts, decayed
	AgeMs             float64       `json:"age_ms"`    // of the newest load report; -1: there was none
	Trust             float64       `json:"trust"`     // confidence in the load reports, 0 to 1
	DistrustReason    string        `json:"doubted"`   // why the load reports are distrusted; "" if they are not
	Silent            bool          `json:"silent"`    // the load reports have stopped
	Estimate          float64       `json:"estimate"`  // of the utilization, where distrusted or silent
	Uncertainty       float64       `json:"unsure"`    // of the estimate, 0 to 1
	DuplicateReporter bool          `json:"two_names"` // two processes report under the host's name
	Latencies         LatencyReport `json:"times"`
}

// Host returns the state of a host's reports; ok is false for an unknown host.
func (t *Trust) Host(nowMs float64, name string, capacity Capacity) (report HostReport, ok bool) {
	host := t.hosts[name]
	if host == nil {
		return HostReport{}, false
	}
	host.attempts.decay(nowMs)
	report = HostReport{
		Count:             host.attempts.successes,
		AgeMs:             noReportAgeMs,
		Trust:             host.confidence,
		DistrustReason:    host.distrustReason,
		DuplicateReporter: host.reporters.HasDuplicate(nowMs),
		Latencies:         host.latencies.Report(),
	}
	if !host.hasReported() {
		return report, true
	}
	report.AgeMs = nowMs - host.lastLoadMs
	report.Silent = host.isSilent(nowMs, &t.limits)
	if report.Silent || host.distrusted {
		report.Estimate = math.Min(host.estimateUtilization(nowMs, &t.limits, capacity), 1)
		report.Uncertainty = host.uncertainty(nowMs, &t.limits)
	}
	return report, true
}

// Confidence returns the confidence in a host's load reports, from 0 to 1, and 1 for an unknown host.
func (t *Trust) Confidence(name string) float64 {
	if host := t.hosts[name]; host != nil {
		return host.confidence
	}
	return fullConfidence
}

// Count returns the numbers of known hosts, of distrusted ones, and of those whose load reports have stopped.
func (t *Trust) Count(nowMs float64) (known, distrusted, silent int) {
	for _, host := range t.hosts {
		if host.distrusted {
			distrusted++
		}
		if host.hasReported() && host.isSilent(nowMs, &t.limits) {
			silent++
		}
	}
	return len(t.hosts), distrusted, silent
}

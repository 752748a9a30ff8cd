package intake

import (
	"math"
	"testing"
)

// Latency histograms of several proxies are merged, and old windows no longer count.
func TestLatencyDistribution(t *testing.T) {
	var distribution LatencyDistribution
	histogram := NewLatencyHistogram()
	for i := range 100 {
		histogram.Observe(float64(10 + i))
	}
	buckets := histogram.Buckets()
	if len(histogram.Buckets()) != 0 {
		t.Error("Buckets returns buckets after a call of Buckets, want none: it resets the histogram")
	}
	for proxy := range 5 {
		distribution.Add(float64(proxy), buckets, 0, 0)
	}
	distribution.Add(6, nil, 500, 25) // from a proxy that sends no histogram
	report := distribution.Report()
	if report.Count != 525 || !isWithin(report.P50, 62, 6) || !isWithin(report.P95, 109, 8) ||
		!isWithin(report.P99, 500, 40) {
		t.Errorf("got %+v, want 525 attempts, P50 62±6, P95 109±8, P99 500±40 ms", report)
	}
	for nowMs := 5000.0; nowMs < 40000; nowMs += 1000 {
		distribution.Add(nowMs, nil, 20, 1)
	}
	if report := distribution.Report(); report.Count > 21 || report.P95 > 22 {
		t.Errorf("got %+v, want at most 21 attempts and a P95 of at most 22 ms without the old windows", report)
	}
}

func isWithin(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance }

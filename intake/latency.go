package intake

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindowMs   = 10000.0 // LatencyDistribution covers one to two windows
	unitsPerMs        = 10.0    // histograms count tenths of a millisecond
	maxLatencyMs      = 60000.0 // longer latencies are recorded as this
	significantDigits = 1       // of a latency; a histogram then takes about 3 KB
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatencyMs*unitsPerMs), significantDigits)
}

// histogramValue returns a latency in the histogram's unit, limited to its range.
func histogramValue(latencyMs float64) int64 {
	return int64(math.Min(math.Max(latencyMs, 0), maxLatencyMs)*unitsPerMs + 0.5)
}

// LatencyBucket is one bucket of a latency histogram as it is sent in reports.
type LatencyBucket struct {
	Ms    float64 // middle of the bucket
	Count int64   // attempts in it
}

// LatencyHistogram counts latencies at the reporter. Use [NewLatencyHistogram] to create one.
type LatencyHistogram struct{ histogram *hdrhistogram.Histogram }

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram { return &LatencyHistogram{histogram: newHistogram()} }

// Observe records one latency in milliseconds.
func (h *LatencyHistogram) Observe(latencyMs float64) {
	// RecordValue fails only for a value out of the histogram's range, to which histogramValue limits it.
	_ = h.histogram.RecordValue(histogramValue(latencyMs))
}

// Buckets returns the buckets that are not empty, and resets the histogram.
func (h *LatencyHistogram) Buckets() []LatencyBucket {
	var buckets []LatencyBucket
	for _, bar := range h.histogram.Distribution() {
		if bar.Count > 0 {
			buckets = append(buckets, LatencyBucket{Ms: float64(bar.From+bar.To) / 2 / unitsPerMs, Count: bar.Count})
		}
	}
	h.histogram.Reset()
	return buckets
}

// LatencyDistribution merges the latency histograms of one host from all proxies, over the current window and the one
// before. The zero value is empty.
type LatencyDistribution struct {
	current       *hdrhistogram.Histogram // nil before the first report
	previous      *hdrhistogram.Histogram // nil in the first window
	windowStartMs float64
}

// Add merges the histogram of a report. A report without buckets counts as count attempts of the mean latency.
func (d *LatencyDistribution) Add(nowMs float64, buckets []LatencyBucket, meanLatencyMs float64, count int64) {
	d.advance(nowMs)
	if len(buckets) == 0 && count > 0 {
		buckets = []LatencyBucket{{Ms: meanLatencyMs, Count: count}}
	}
	for _, bucket := range buckets {
		// RecordValues fails only for a value out of the histogram's range, to which histogramValue limits it.
		_ = d.current.RecordValues(histogramValue(bucket.Ms), bucket.Count)
	}
}

// advance begins a new window where the current one is over.
func (d *LatencyDistribution) advance(nowMs float64) {
	if d.current == nil {
		d.current = newHistogram()
		d.windowStartMs = nowMs
	}
	if nowMs < d.windowStartMs+latencyWindowMs {
		return
	}
	if d.previous == nil || nowMs >= d.windowStartMs+2*latencyWindowMs {
		d.previous = newHistogram()
	}
	d.current, d.previous = d.previous, d.current
	d.windowStartMs = nowMs
	d.current.Reset()
}

// LatencyReport is the summary of a latency distribution in the status API, in milliseconds.
type LatencyReport struct {
	Count int64   `json:"count"` // attempts
	P50   float64 `json:"p50"`   // median
	P95   float64 `json:"p95"`   // 95th percentile
	P99   float64 `json:"p99"`   // 99th percentile
	Dev   float64 `json:"dev"`   // standard deviation
}

// Report returns the summary of the attempts in the current and the previous window.
func (d *LatencyDistribution) Report() LatencyReport {
	if d.current == nil {
		return LatencyReport{}
	}
	merged := newHistogram()
	merged.Merge(d.current)
	if d.previous != nil {
		merged.Merge(d.previous)
	}
	if merged.TotalCount() == 0 {
		return LatencyReport{}
	}
	quantileMs := func(percent float64) float64 { return float64(merged.ValueAtQuantile(percent)) / unitsPerMs }
	return LatencyReport{
		Count: merged.TotalCount(),
		P50:   quantileMs(50),
		P95:   quantileMs(95),
		P99:   quantileMs(99),
		Dev:   merged.StdDev() / unitsPerMs,
	}
}

package intake

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyBucket of a spread: so many tries took about so many ms.
type LatencyBucket struct {
	Ms    float64
	Count int64
}

// LatencyDistribution is how the times at a host lately spread, merged from what all proxies told: the present span and the one
// before, in histograms of one digit, which take about 3 KB each.
type LatencyDistribution struct {
	current, previous *hdrhistogram.Histogram
	windowStartMs     float64
}

const (
	latencyWindowMs = 10000.0 // ms
	unitsPerMs      = 10.0    // parts of a ms
	maxLatencyMs    = 60000.0
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatencyMs*unitsPerMs), 1)
}

// NewLatencyHistogram makes an empty spread for a sender's own counting.
func NewLatencyHistogram() *LatencyHistogram { return &LatencyHistogram{newHistogram()} }

// LatencyHistogram are counted by a sender, to be told as bars.
type LatencyHistogram struct{ histogram *hdrhistogram.Histogram }

// Observe counts a time.
func (t *LatencyHistogram) Observe(ms float64) { t.histogram.RecordValue(histogramValue(ms)) }

// Buckets give what was counted, and begin anew.
func (t *LatencyHistogram) Buckets() (bars []LatencyBucket) {
	for _, b := range t.histogram.Distribution() {
		if b.Count > 0 {
			bars = append(bars, LatencyBucket{float64(b.From+b.To) / 2 / unitsPerMs, b.Count})
		}
	}
	t.histogram.Reset()
	return bars
}

func histogramValue(ms float64) int64 {
	return int64(math.Min(math.Max(ms, 0), maxLatencyMs)*unitsPerMs + 0.5)
}

// Add merges what a line tells; one without bars counts as all at its mean.
func (s *LatencyDistribution) Add(now float64, bars []LatencyBucket, mean float64, count int64) {
	if s.current == nil {
		s.current, s.windowStartMs = newHistogram(), now
	}
	if now >= s.windowStartMs+latencyWindowMs {
		if now >= s.windowStartMs+2*latencyWindowMs || s.previous == nil {
			s.previous = newHistogram()
		}
		s.current, s.previous, s.windowStartMs = s.previous, s.current, now
		s.current.Reset()
	}
	if len(bars) == 0 && count > 0 {
		bars = []LatencyBucket{{mean, count}}
	}
	for _, b := range bars {
		s.current.RecordValues(histogramValue(b.Ms), b.Count)
	}
}

// LatencyReport is what is told of a spread.
type LatencyReport struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"` // ms
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Dev   float64 `json:"dev"` // standard deviation, ms
}

// Report reads a spread.
func (s *LatencyDistribution) Report() (r LatencyReport) {
	if s.current == nil {
		return r
	}
	all := newHistogram()
	all.Merge(s.current)
	if s.previous != nil {
		all.Merge(s.previous)
	}
	if r.Count = all.TotalCount(); r.Count == 0 {
		return r
	}
	at := func(q float64) float64 { return float64(all.ValueAtQuantile(q)) / unitsPerMs }
	return LatencyReport{r.Count, at(50), at(95), at(99), all.StdDev() / unitsPerMs}
}

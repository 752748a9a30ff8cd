package intake

import (
	"math"
	"testing"
)

// Spreads of many proxies merge, and old ones are left behind.
func TestSpread(t *testing.T) {
	var s LatencyDistribution
	times := NewLatencyHistogram()
	for i := range 100 {
		times.Observe(float64(10 + i))
	}
	bars := times.Buckets()
	if len(times.Buckets()) != 0 {
		t.Error("counted again")
	}
	for p := range 5 {
		s.Add(float64(p), bars, 0, 0)
	}
	s.Add(6, nil, 500, 25) // a proxy that tells no spread
	if r := s.Report(); r.Count != 525 || math.Abs(r.P50-62) > 6 || math.Abs(r.P95-109) > 8 || math.Abs(r.P99-500) > 40 {
		t.Errorf("%+v", r)
	}
	for at := 5000.0; at < 40000; at += 1000 {
		s.Add(at, nil, 20, 1)
	}
	if r := s.Report(); r.Count > 21 || r.P95 > 22 {
		t.Errorf("old ones still count: %+v", r)
	}
}

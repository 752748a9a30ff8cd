package controller

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkSnapshot measures the size of a snapshot of the largest deployment, and the time that it takes.
func BenchmarkSnapshot(b *testing.B) {
	h, _ := newLargestHarness(b, func(*Controller) {})
	size := 0
	for range b.N {
		size = proto.Size(h.Snapshot(h.nowMs))
	}
	b.ReportMetric(float64(size), "B")
}

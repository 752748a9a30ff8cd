package controller

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// What is remembered at full size, and how long it takes.
func BenchmarkSnapshot(b *testing.B) {
	d, _ := newLargestHarness(func(*Controller) {})
	size := 0
	for range b.N {
		size = proto.Size(d.Snapshot(d.nowMs))
	}
	b.ReportMetric(float64(size), "B")
}

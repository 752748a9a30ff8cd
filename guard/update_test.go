package guard

import (
	"math"
	"slices"
	"testing"
)

func TestMinimalUpdate(t *testing.T) {
	draining := Host{Name: "draining", SlowStartFactor: 1}
	warmingUp := Host{Name: "warming up", Ready: true, SlowStartFactor: 0.5}
	warm := warmHost("warm", "a", 2)
	tests := []struct {
		name               string
		hosts              []Host
		published, decided []float64
		want               []float64
		warmHostLeft       bool
	}{
		{"keeps the published weight of a warm host", []Host{warm}, []float64{2}, []float64{3}, []float64{2}, true},
		{"adds no host", []Host{warm, warm}, []float64{1, 0}, []float64{1, 1}, []float64{1, 0}, true},
		{"removes what the decided row leaves out", []Host{warm, warm}, []float64{1, 1}, []float64{1, 0},
			[]float64{1, 0}, true},
		{"removes a host that is not ready", []Host{warm, draining}, []float64{1, 1}, []float64{1, 1},
			[]float64{1, 0}, true},
		{"removes an invalid weight", []Host{warm, warm}, []float64{1, 1}, []float64{1, math.Inf(1)},
			[]float64{1, 0}, true},
		{"lowers a host that is warming up", []Host{warm, warmingUp}, []float64{1, 2}, []float64{1, 1},
			[]float64{1, 1}, true},
		{"raises no host that is warming up", []Host{warm, warmingUp}, []float64{1, 1}, []float64{1, 2},
			[]float64{1, 1}, true},
		{"leaves no warm host", []Host{draining, warmingUp}, []float64{1, 1}, []float64{1, 1}, []float64{0, 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			row, warmHostLeft := MinimalUpdate(test.hosts, test.published, test.decided)
			if !slices.Equal(row, test.want) || warmHostLeft != test.warmHostLeft {
				t.Errorf("got row %v, warmHostLeft %v, want %v, %v", row, warmHostLeft, test.want, test.warmHostLeft)
			}
		})
	}
}

func TestCountChanges(t *testing.T) {
	tests := []struct {
		name               string
		published, decided []float64
		entries            int
		removal            bool
	}{
		{"equal", []float64{1, 0}, []float64{1, 0}, 0, false},
		{"a changed and an added weight", []float64{1, 0}, []float64{2, 1}, 2, false},
		{"a removal", []float64{1, 1}, []float64{1, 0}, 1, true},
		{"nothing published", nil, []float64{1, 0, 1}, 2, false},
		{"a host beyond the end of the decided row", []float64{1, 1}, []float64{1}, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entries, removal := CountChanges(test.published, test.decided)
			if entries != test.entries || removal != test.removal {
				t.Errorf("got %d entries, removal %v, want %d, %v", entries, removal, test.entries, test.removal)
			}
		})
	}
}

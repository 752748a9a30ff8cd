package routing

import (
	"math"
	"testing"
)

// Cores are busy and attempts fail: the quota of the class with the least value for its work is lowered first, and
// nothing is retried.
func TestAdmissionUnderOverload(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	for range 12 {
		for host := range 3 {
			h.ObserveHostStats(host, 30, 15, 900, reportIntervalMs, HostLoad{Utilization: 1, RequestRate: -1})
		}
		h.ObserveDemand(0, 0, 50, reportIntervalMs)
		h.ObserveDemand(0, 1, 40, reportIntervalMs)
		h.run(reportIntervalMs, nil)
	}
	h.checkTrace(t)
}

// Calculated by hand: with 100 requests each, and 1 added, the classes have 101000 and 50500 units of work, and values
// of 101 and 505. Half of the work, 75750, must be shed: first at most 90% of class 0, which has the least value for
// its work.
func TestAllocateQuotas(t *testing.T) {
	for _, test := range []struct {
		name             string
		worstClassWeight float64
		want             [2]float64
	}{
		{"least value for its work first", 0.1, [2]float64{0.25, 1}},
		{"same quota for all where the worst class counts most", 5, [2]float64{0.5, 0.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := defaultSettings()
			set.objective.WorstClassWeight = test.worstClassWeight
			h := newHarness(set, 2)
			h.admission.ratio = 0.5
			h.admission.classDemand = []float64{100, 100}
			h.allocateQuotas()
			for class, want := range test.want {
				if got := h.admission.quotas[class]; math.Abs(got-want) > 1e-9 {
					t.Errorf("class %d has quota %v, want %v", class, got, want)
				}
			}
		})
	}
}

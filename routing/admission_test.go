package routing

import (
	"math"
	"testing"
)

// Cores are busy and attempts fail: the quota of the class with the least value for its work falls first, and retries
// stop.
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
	h.check(t)
}

// By hand: 100 requests of each class ask for 101000 and 50500 units of work, and bring 101 and 505 of value. Half of
// the work, 75750, must go: first 90% at most of class 0, which brings the least for its work.
func TestAllocateQuotas(t *testing.T) {
	for _, test := range []struct {
		name             string
		worstClassWeight float64
		want             [2]float64
	}{
		{"least value for its work first", 0.1, [2]float64{0.25, 1}},
		{"all alike where the worst class counts most", 5, [2]float64{0.5, 0.5}},
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
					t.Errorf("class %d has quota %v, not %v", class, got, want)
				}
			}
		})
	}
}

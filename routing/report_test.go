package routing

import (
	"math"
	"testing"
)

// Reports that stop, name unknown hosts or cover no time, and snapshots that lack hosts, lead to no weight that is NaN,
// infinite or below 0.
func TestOddReports(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	reports := uniformReports(3, healthyReport)
	h.run(4000, reports)
	h.ObserveHostStats(9, 0, 0, 0, 0, UnknownLoad)
	h.ObserveHostStats(0, 0, 5, 0, 0, UnknownLoad)
	h.ObserveDemand(0, 0, 0, 0)
	h.Ack(0, 60000)
	h.ObserveHealthCheck(8, Unreachable, UnknownLoad)
	h.run(3000, nil)
	h.ObserveSnapshot(false)
	h.run(1000, reports)
	h.ObserveSnapshot(false)
	h.ObserveEndpoint(0, 0, Ready, 0, 0)
	h.run(3000, reports)
	for host := range h.hosts {
		weight := h.hosts[host].balance.weight
		if math.IsNaN(weight) || weight < 0 || math.IsInf(weight, 0) {
			t.Errorf("host %d has weight %v, want a finite weight of 0 or more", host, weight)
		}
	}
	h.checkTrace(t)
}

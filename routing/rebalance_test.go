package routing

import (
	"math"
	"testing"
)

// Calculated by hand, with 10/s at each host and K = 3.745/s as in TestDeadlineCapacity:
//   - Host 0 (zone 0, 500 ms) has mu 12, capacity 8.255 and overload 1.745.
//   - Host 1 (zone 0, 250 ms) has mu 14, capacity 10.255 and headroom 0.255. It comes first, in the zone of host 0.
//   - Host 2 (zone 1, 200 ms) has mu 15, capacity 11.255 and headroom 1.255.
//
// So 0.255 and 1.255 of 30/s move, a tenth of that in weight: the weights are 0.849, 1.0255 and 1.1255.
func TestWeightTransferByHand(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	h.fleet.medianLatencyMs = 250
	for i, latencyMs := range []float64{500, 250, 200} {
		host := &h.hosts[i]
		host.endpoint.zone = i / 2
		host.stats.arrivalRate = 10
		host.stats.meanLatencyMs = latencyMs
		host.stats.window.successes = 50
	}
	h.rebalance()
	for i := range h.hosts {
		h.tracef("host %d weight %.4f", i, h.hosts[i].balance.weight)
	}
	h.checkTrace(t)
}

// The slow host 0 transfers weight to hosts of its own zone first, and its weight relaxes after it is fast again.
func TestRebalanceAndRelax(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	reports := uniformReports(4, healthyReport)
	h.run(5000, reports)
	reports[0] = hostReport{attempts: 10, latencyMs: 900}
	h.run(9000, reports)
	h.tracef("host 0 is healthy again")
	reports[0] = healthyReport
	h.run(30000, reports)
	h.checkTrace(t)
}

// A host whose attempts mostly fail, although its health checks are answered, loses weight at once and gets it back as
// attempts succeed again.
func TestSuccessPenalty(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	reports := uniformReports(4, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	reports[2] = hostReport{attempts: 10, failures: 9, latencyMs: 300}
	h.runWithHealthChecks(2000, reports, allHosts(Healthy))
	h.tracef("host 2 is healthy again")
	reports[2] = healthyReport
	h.runWithHealthChecks(4000, reports, allHosts(Healthy))
	h.checkTrace(t)
}

// Calculated by hand, with K = 3.745/s as in TestDeadlineCapacity: at 10/s and 200 ms, mu is 15 and the capacity
// 11.255. A utilization of 80% leaves headroom up to 85%: 10 x (1 - 0.85/0.8) = -0.625.
func TestHeadroomByLoad(t *testing.T) {
	for _, test := range []struct {
		name        string
		utilization float64
		want        float64 // overload
	}{
		{"no load report", -1, -1.255},
		{"idle cores give no headroom", 0.1, -1.255},
		{"busy cores take headroom", 0.8, -0.625},
		{"full cores leave none", 0.95, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := newHostRecord()
			host.endpoint.baseWeight = 1
			host.balance.weight = 2
			host.load.Utilization = test.utilization
			host.stats.arrivalRate = 10
			host.stats.meanLatencyMs = 200
			candidate := newTransferCandidate(&host, 250)
			if math.Abs(candidate.overload-test.want) > 0.001 {
				t.Errorf("overload %.4f, want %.4f", candidate.overload, test.want)
			}
			if candidate.sheddableRate != 9.5 { // of 10/s at a weight of 2, a weight of 0.1 must stay
				t.Errorf("sheddable rate %v, want 9.5", candidate.sheddableRate)
			}
		})
	}
}

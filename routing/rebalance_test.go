package routing

import (
	"math"
	"testing"
)

// By hand, K = 3.745/s as in TestDeadlineCapacity, 10/s at each host. Host 0 (zone 0, 500 ms) has mu 12, capacity
// 8.255, overload 1.745. Host 1 (zone 0, 250 ms) has mu 14, capacity 10.255, headroom 0.255 and comes first; host 2
// (zone 1, 200 ms) has mu 15, capacity 11.255, headroom 1.255. So 0.255 and 1.255 of 30/s move, a tenth of that in
// weight: 0.849, 1.0255, 1.1255.
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
	h.check(t)
}

// The slow host 0 sheds load to its own zone first, and its weight relaxes when it is well again.
func TestRebalanceAndRelax(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	reports := uniformReports(4, healthyReport)
	h.run(5000, reports)
	reports[0] = hostReport{attempts: 10, latencyMs: 900}
	h.run(9000, reports)
	h.tracef("host 0 is healthy again")
	reports[0] = healthyReport
	h.run(30000, reports)
	h.check(t)
}

// A host whose attempts mostly fail, though its health checks are answered, loses weight at once and gets it back as
// they succeed.
func TestSuccessPenalty(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	reports := uniformReports(4, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	reports[2] = hostReport{attempts: 10, failures: 9, latencyMs: 300}
	h.runWithHealthChecks(2000, reports, allHosts(Healthy))
	h.tracef("host 2 is healthy again")
	reports[2] = healthyReport
	h.runWithHealthChecks(4000, reports, allHosts(Healthy))
	h.check(t)
}

// By hand, K = 3.745/s as in TestDeadlineCapacity: at 10/s and 200 ms, mu = 15 and the capacity 11.255. A utilization
// of 80% leaves headroom up to 85%: 10 x (1 - 0.85/0.8) = -0.625.
func TestTransferPartyByLoad(t *testing.T) {
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
				t.Errorf("overload %.4f, not %.4f", candidate.overload, test.want)
			}
			if candidate.sheddableRate != 9.5 { // all but the part 0.1 of the base weight, out of a weight of 2
				t.Errorf("sheddable rate %v, not 9.5", candidate.sheddableRate)
			}
		})
	}
}

package routing

import "testing"

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

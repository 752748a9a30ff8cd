package routing

import "testing"

// All hosts fail attempts although they answer health checks and report idle cores, which shows connection pressure:
// proxies get subsets, and return to the shared table when subset mode ends.
func TestConnectionPressure(t *testing.T) {
	h := newHarness(defaultSettings(), 10)
	h.runWithHealthChecks(4000, uniformReports(10, healthyReport), allHosts(Healthy))
	for host := range h.hosts {
		h.hosts[host].load.Utilization = 0.4
	}
	failing := uniformReports(10, hostReport{attempts: 20, failures: 12, latencyMs: 300})
	h.runWithHealthChecks(4000, failing, allHosts(Healthy))
	h.runWithHealthChecks(32000, uniformReports(10, healthyReport), allHosts(Healthy))
	h.checkTrace(t)
}

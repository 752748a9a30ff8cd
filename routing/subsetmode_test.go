package routing

import "testing"

// Idle hosts that answer health checks fail attempts everywhere: connections are short, so proxies get subsets. The
// shared table comes back by trial.
func TestConnectionPressure(t *testing.T) {
	h := newHarness(defaultSettings(), 10)
	h.runWithHealthChecks(4000, uniformReports(10, healthyReport), allHosts(Healthy))
	for host := range h.hosts {
		h.hosts[host].load.Utilization = 0.4
	}
	failing := uniformReports(10, hostReport{attempts: 20, failures: 12, latencyMs: 300})
	h.runWithHealthChecks(4000, failing, allHosts(Healthy))
	h.runWithHealthChecks(32000, uniformReports(10, healthyReport), allHosts(Healthy))
	h.check(t)
}

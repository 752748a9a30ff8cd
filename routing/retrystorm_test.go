package routing

import "testing"

// Every host fails nearly every attempt and no admission quota is heeded: all proxies go to one host, and come back to
// the shared table together. The one that stays in is never ejected meanwhile, so no proxy is left without hosts.
func TestRetryStorm(t *testing.T) {
	set := defaultSettings()
	set.deployment.AdmissionControl = false
	h := newHarness(set, 4)
	h.run(3000, uniformReports(4, healthyReport))
	h.tracef("the retry storm begins")
	failing := uniformReports(4, hostReport{attempts: 30, failures: 28, latencyMs: 900})
	h.runWithHealthChecks(7000, failing, allHosts(TimedOut))
	h.tracef("the retry storm is over")
	h.runWithHealthChecks(6000, uniformReports(4, healthyReport), allHosts(Healthy))
	h.check(t)
}

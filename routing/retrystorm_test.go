package routing

import "testing"

// Every host fails nearly every attempt, and proxies ignore admission quotas: all proxies are sent to one host, and
// return to the shared table together. That host is not ejected meanwhile, so no proxy is left without hosts.
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
	h.checkTrace(t)
}

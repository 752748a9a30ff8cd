package routing

import "testing"

// One host stops answering: health checks and reports without a success prove it; it comes back on the recovery ramp.
func TestUnresponsiveHost(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(6000, reports, allHosts(Healthy))
	delete(reports, 3)
	h.tracef("host 3 becomes unresponsive")
	h.runWithHealthChecks(6000, reports, onlyHost(3, TimedOut))
	h.tracef("host 3 answers again")
	h.runWithHealthChecks(8000, reports, allHosts(Healthy))
	h.check(t)
}

// A busy host leaves health checks unanswered, but its attempts succeed: it is not ejected.
func TestBusyHostNotEjected(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(8000, reports, onlyHost(3, TimedOut))
	h.check(t)
}

// All become unresponsive at once: an overload or a partition of the controller's own, and the tables stay.
func TestAllHostsUnresponsive(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	h.runWithHealthChecks(8000, map[int]hostReport{}, allHosts(TimedOut))
	h.check(t)
}

// One whole zone becomes unresponsive while the other answers: a network partition or a lost zone, ejected as one.
func TestZonePartition(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	h.tracef("zone 1 is partitioned")
	h.runWithHealthChecks(4000, reports, func(host int) HealthCheckResult {
		if host%2 == 1 {
			return TimedOut
		}
		return Healthy
	})
	h.check(t)
}

// Hosts found unreachable one after the other are ejected, but never the last warm one.
func TestLastWarmHostNotEjected(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	reports := uniformReports(3, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	h.tracef("hosts 0 and 2 become unreachable, then host 1")
	results := []HealthCheckResult{Unreachable, Healthy, Unreachable}
	h.runWithHealthChecks(3000, nil, func(host int) HealthCheckResult { return results[host] })
	h.runWithHealthChecks(3000, nil, allHosts(Unreachable))
	h.check(t)
}

// The ordinary messages of the window are used up when the last host that the tables hold drains: the host that is to
// take its place goes out in the same message, so that no proxy is without hosts until the window moves on.
func TestRecoveryPublishedWithRemoval(t *testing.T) {
	set := defaultSettings()
	set.channel.MaxMessages = 20
	h := newHarness(set, 2)
	reports := uniformReports(2, healthyReport)
	h.runWithHealthChecks(2000, reports, allHosts(Healthy))
	h.hosts[1].outlier.ejected = true
	h.hosts[1].health.consecutiveFailures = 5
	h.run(200, nil)
	for range 10 {
		h.proxies[0].messageTimesMs = append(h.proxies[0].messageTimesMs, h.clockMs)
	}
	h.ObserveDelta()
	h.ObserveEndpoint(0, 0, Draining, 1, 0)
	h.hosts[1].health.consecutiveSuccesses = 2
	h.run(400, nil)
	h.check(t)
}

// A zone of busy hosts leaves its health checks unanswered while the one host of the other zone has just started: that
// is no partition, the busy hosts stay in, and the one that is warming up does not get what they cannot take.
func TestWarmingHostProvesNoPartition(t *testing.T) {
	set := defaultSettings()
	set.deployment.ProxyEjectAfter = 3
	set.deployment.AdmissionControl = false
	h := newHarness(set, 5)
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Removed, 1, 0)
	h.ObserveEndpoint(3, 1, Removed, 1, 0)
	h.round()
	failing := uniformReports(5, hostReport{attempts: 30, failures: 30})
	h.runWithHealthChecks(5000, failing, allHosts(TimedOut))
	h.restartHost(1, 1)
	h.runWithHealthChecks(1000, failing, allHosts(TimedOut))
	h.check(t)
}

package routing

import "testing"

// A host stops answering: it is ejected after unanswered health checks and reports without a success, and returns on
// the recovery ramp.
func TestUnresponsiveHost(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(6000, reports, allHosts(Healthy))
	delete(reports, 3)
	h.tracef("host 3 becomes unresponsive")
	h.runWithHealthChecks(6000, reports, onlyHost(3, TimedOut))
	h.tracef("host 3 answers again")
	h.runWithHealthChecks(8000, reports, allHosts(Healthy))
	h.checkTrace(t)
}

// A busy host leaves health checks unanswered, but its attempts succeed: it is not ejected.
func TestBusyHostNotEjected(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(8000, reports, onlyHost(3, TimedOut))
	h.checkTrace(t)
}

// All hosts become unresponsive at once, by overload or because the controller itself is cut off: the tables stay.
func TestAllHostsUnresponsive(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	h.runWithHealthChecks(8000, map[int]hostReport{}, allHosts(TimedOut))
	h.checkTrace(t)
}

// A zone becomes unreachable from the controller, but attempts at its hosts still succeed: no host is ejected, and the
// weight that the first suspect host lost is restored once several hosts are suspect.
func TestUnreachableZoneNotEjected(t *testing.T) {
	h := newHarness(defaultSettings(), 6)
	reports := uniformReports(6, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	h.tracef("zone 1 becomes unreachable from the controller")
	h.runWithHealthChecks(4000, reports, func(host int) HealthCheckResult {
		if host%2 == 1 {
			return TimedOut
		}
		return Healthy
	})
	h.checkTrace(t)
}

// A zone is unreachable: all of its hosts leave health checks unanswered and serve no attempt, while the hosts of the
// other zone answer. It counts as partitioned, so that all of its hosts are ejected: without that, too many hosts
// would be unresponsive to eject more than the first one.
func TestPartitionedZoneEjected(t *testing.T) {
	const hosts, zones = 6, 2
	inZone1 := func(host int) bool { return host%zones == 1 }
	h := newHarness(defaultSettings(), hosts)
	reports := uniformReports(hosts, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	for host := range hosts {
		if inZone1(host) {
			delete(reports, host)
		}
	}
	h.runWithHealthChecks(4000, reports, func(host int) HealthCheckResult {
		if inZone1(host) {
			return TimedOut
		}
		return Healthy
	})
	for host := range hosts {
		if got := h.hosts[host].outlier.ejected; got != inZone1(host) {
			t.Errorf("host %d is ejected: %v, want %v", host, got, inZone1(host))
		}
	}
}

// Unreachable hosts are ejected only while minServingShare of the base weight stays in service: here one of three
// hosts.
func TestMinServingShare(t *testing.T) {
	h := newHarness(defaultSettings(), 3)
	reports := uniformReports(3, healthyReport)
	h.runWithHealthChecks(3000, reports, allHosts(Healthy))
	h.tracef("hosts 0 and 2 become unreachable, then host 1")
	results := []HealthCheckResult{Unreachable, Healthy, Unreachable}
	h.runWithHealthChecks(3000, nil, func(host int) HealthCheckResult { return results[host] })
	h.runWithHealthChecks(3000, nil, allHosts(Unreachable))
	h.checkTrace(t)
}

// The message window has no room for ordinary updates when the only host in the tables drains: the recovering host that
// replaces it is published in the same message, so that no proxy is left without hosts.
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
	h.checkTrace(t)
}

// The busy hosts of a zone leave health checks unanswered while the only host of the other zone has just started. That
// shows no partition: the busy hosts are not ejected, and the host that is warming up does not get their load.
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
	h.checkTrace(t)
}

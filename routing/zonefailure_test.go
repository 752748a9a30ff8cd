package routing

import (
	"fmt"
	"testing"
)

// Figures of a zone that fails, in a deployment of four zones with five hosts each.
const (
	failingZone        = 1
	zoneFailureHosts   = 20
	hostCapacity       = 12.0 // requests a second
	usualRequestRate   = 5.9  // requests a second of a proxy
	failingRequestRate = 7.5  // of a proxy in the zone that fails, whose hosts are busier than the others
	collapseWindowMs   = 3000 // time at CollapseMultiple after which a host that is warming up collapses
	arrivalTolerance   = 1.1  // requests arrive at random
)

// Guards against a host that collapses after its start because the other hosts of its zone hang: the proxies eject them
// by themselves and send everything to the one that remains. The other zones keep the fleet's success ratio high.
func TestZoneHangsAroundWarmingHost(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			set := fourZoneSettings()
			fleet := newProxyFleet(set, seed, zoneFailureHosts, requestRateOfZone)
			fleet.run(14000)
			startedAtMs := fleet.clockMs
			replacement := zoneFailureHosts
			fleet.listHost(failingZone, failingZone, Draining, 0)
			fleet.listHost(replacement, failingZone, Ready, startedAtMs)
			fleet.run(700)
			for host := failingZone + set.deployment.Zones; host < zoneFailureHosts; host += set.deployment.Zones {
				fleet.hosts[host].hanging = true
			}
			fleet.run(10000)
			most := fleet.maxAttemptRatio(replacement, collapseWindowMs, func(endMs float64) float64 {
				initial := set.limits.SlowStartInitialFactor
				factor := initial + (1-initial)*(endMs-startedAtMs)/set.limits.SlowStartMs
				return set.limits.CollapseMultiple * hostCapacity * factor * collapseWindowMs / msPerSecond
			})
			if most > arrivalTolerance {
				t.Errorf("the host that is warming up got %.2f times the attempts at which it collapses", most)
			}
		})
	}
}

func requestRateOfZone(zone int) float64 {
	if zone == failingZone {
		return failingRequestRate
	}
	return usualRequestRate
}

// fourZoneSettings returns the settings of a deployment of four zones with a class that must stay in its zone, whose
// proxies eject hosts by themselves.
func fourZoneSettings() settings {
	set := defaultSettings()
	set.deployment.Zones = 4
	set.deployment.Proxies = 24
	set.deployment.ProxyEjectAfter = 3
	set.deployment.AdmissionControl = false
	set.classes = []RequestClass{
		{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3},
		{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9, ZoneLocal: true},
	}
	set.channel.EntriesPerSecond = 7100
	set.channel.MessageOverhead = 6
	set.channel.MaxBacklog = 7100
	set.channel.PropagationDelayMs = 270
	set.channel.MaxMessages = 20
	set.limits.SlowStartInitialFactor = 0.15
	set.limits.SlowStartMs = 18000
	return set
}

// Guards against a warming host that is held back too late: the warm hosts of its table hang, and reports count an
// attempt as failed only once the proxy has given it up.
func TestUnansweredHealthChecksHoldBackWarmingHost(t *testing.T) {
	set := defaultSettings()
	set.deployment.ProxyEjectAfter = 3
	h := newHarness(set, 5)
	reports := uniformReports(5, healthyReport)
	h.runWithHealthChecks(5000, reports, allHosts(Healthy))
	h.restartHost(4, 0)
	hanging := func(host int) HealthCheckResult {
		if host < 3 {
			return TimedOut
		}
		return Healthy
	}
	h.runWithHealthChecks(2000, reports, allHosts(Healthy))
	if weight := h.hosts[4].publication.weight; weight == 0 {
		t.Fatal("the warming host has no weight while all hosts answer, want some")
	}
	h.runWithHealthChecks(4000, reports, hanging)
	if weight := h.hosts[4].publication.weight; weight != 0 {
		t.Errorf("the warming host has weight %.3f while three of four warm hosts hang, want 0", weight)
	}
}

// Guards against a warming host that gains traffic from its zone because all other hosts of the zone fail alike: none
// of them is worse than its table, so their weights must not be halved beside that of the warming host.
func TestZoneFailuresKeepWeightsOfItsTable(t *testing.T) {
	set := fourZoneSettings()
	set.deployment.ProxyEjectAfter = 0
	balancer := set.newBalancer(0)
	const hostsPerZone = 3
	for host := range set.deployment.Zones * hostsPerZone {
		balancer.ObserveEndpoint(host, host%set.deployment.Zones, Ready, 1, 0)
	}
	h := &harness{Balancer: balancer, quiet: true}
	reports := uniformReports(set.deployment.Zones*hostsPerZone, healthyReport)
	h.run(5000, reports)
	for host := failingZone; host < set.deployment.Zones*hostsPerZone; host += set.deployment.Zones {
		reports[host] = hostReport{attempts: 10, failures: 8, latencyMs: healthyReport.latencyMs}
	}
	h.run(5000, reports)
	for host := failingZone; host < set.deployment.Zones*hostsPerZone; host += set.deployment.Zones {
		if penalty := h.successPenalty(&h.hosts[host]); penalty != 1 {
			t.Errorf("host %d has a penalty of %.2f, want 1: all hosts of its table fail alike", host, penalty)
		}
	}
}

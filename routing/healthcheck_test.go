package routing

import "testing"

// Two hosts leave health checks unanswered. The one that reports busy cores is slow, and loses weight with each health
// check before its request stats show it. The one that reports idle cores is unreachable from this controller, and
// keeps its weight. Answered health checks restore the weight of the slow host step by step.
func TestSuspicionOfSlowHost(t *testing.T) {
	const slowHost, unreachableHost = 2, 3
	h := newHarness(defaultSettings(), 8)
	run := func(durationMs float64, result HealthCheckResult) {
		for endMs := h.clockMs + durationMs; h.clockMs < endMs; {
			h.run(stepMs, nil)
			for host := range 8 {
				load := HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}
				if host == slowHost {
					load.Utilization = 0.97
				}
				h.reportLoad(host, load)
				if host == slowHost || host == unreachableHost {
					h.answerHealthCheck(host, result, UnknownLoad)
				} else {
					h.answerHealthCheck(host, Healthy, load)
				}
			}
		}
	}
	run(2000, Healthy)
	h.tracef("two hosts leave health checks unanswered")
	run(6000, TimedOut)
	h.tracef("the two hosts answer health checks again")
	run(16000, Healthy)
	h.checkTrace(t)
}

// The hosts of a busy fleet leave health checks unanswered, a few hosts at a time. Suspicion must not move the load of
// many hosts to the few others: the more hosts are suspect, the less it counts. Nor may it reduce the weight of a host
// that is warming up.
func TestSuspicionInBusyFleet(t *testing.T) {
	const busyHosts, warmingHost = 8, 8
	h := newHarness(defaultSettings(), busyHosts)
	h.run(3000, nil)
	h.ObserveEndpoint(warmingHost, 0, Ready, 1, h.clockMs)
	load := HostLoad{Utilization: 0.97, RequestRate: -1, QueueLength: -1}
	for second := range 12 {
		for range reportIntervalMs / stepMs {
			h.run(stepMs, nil)
			for host := range busyHosts + 1 {
				result := Healthy
				if host%4 == second%4 && host != warmingHost {
					result = TimedOut
				}
				h.reportLoad(host, load)
				h.answerHealthCheck(host, result, load)
			}
		}
	}
	for host := range busyHosts + 1 {
		record := &h.hosts[host]
		h.tracef("host %d suspicion %.1f published %.3f", host, record.health.suspicion, record.publication.weight)
	}
	h.checkTrace(t)
}

package routing

import "math"

const (
	maxSuspectShare       = 0.25 // of the hosts may be doubted fully
	unresponsiveFailures  = 3    // unanswered probes in a row that may prove a server silent
	unreachableFailures   = 2    // unanswered probes in a row that prove a server absent, or count for a cut
	partitionShare        = 0.75 // of a zone's servers unanswered, and of another's answered, make a cut
	recoveryInitialFactor = 0.4  // of its weight a server returns with, doubling each trialStep
	recoveryStepMs        = 1000.0
	minServingShare       = 0.34 // of the listed weight stays in the tables whatever the probes say
)

// outlierRecord tells whether a host is ejected or coming back.
type outlierRecord struct {
	ejected           bool
	recovering        bool    // it was ejected and gets a growing part of its weight
	recoveringSinceMs float64 // valid while recovering
}

// detectOutliers withdraws servers on proof, by symptom, and lets them return by trial. Proof is absence, or silence
// while no try is fulfilled there, alone or with its zone. It must not take a busy server for a silent one:
// many silent, or a fleet that fails, prove nothing. What is left must carry the joined proxies' traffic.
func (s *Balancer) detectOutliers(w UpdateWriter) {
	listed, in, silent, n, doubted := 0.0, 0.0, 0, 0, 1e-9
	all, fine, mute := make([]int, s.deployment.Zones), make([]int, s.deployment.Zones), make([]int, s.deployment.Zones)
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.endpoint.state != Ready {
			continue
		}
		listed, n, all[v.endpoint.zone], fine[v.endpoint.zone] = listed+v.endpoint.baseWeight, n+1, all[v.endpoint.zone]+1, fine[v.endpoint.zone]+min(v.health.consecutiveSuccesses, 1)
		if doubted += math.Min(v.health.suspicion, 1); v.health.consecutiveFailures > 0 && !v.health.unreachable {
			silent++
		}
		if v.health.consecutiveFailures >= unreachableFailures {
			mute[v.endpoint.zone]++
		}
		if !v.outlier.ejected {
			in += v.endpoint.baseWeight
		}
	}
	s.checks.suspicionApplies, s.checks.suspicionScale = silent*4 <= n+3 && s.fleet.successRatio > 0.5, math.Min(1, maxSuspectShare*float64(n)/doubted)
	least := minServingShare * listed * s.connectedShare()
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.endpoint.state != Ready || !v.outlier.ejected && v.health.consecutiveFailures < unreachableFailures {
			continue
		}
		if v.outlier.ejected {
			// A proxy that joins from a cut-off zone proves the way there.
			if v.health.consecutiveSuccesses < 2 && (v.health.unreachable || !s.zoneReconnected[v.endpoint.zone]) {
				continue
			}
			v.outlier.ejected, v.health.consecutiveFailures, v.health.suspicion, v.balance.cooldownUntilMs, v.stats.meanLatencyMs, v.outlier.recoveringSinceMs = false, 0, 0, s.nowMs+s.reports.settlingMs, s.fleet.medianLatencyMs, s.nowMs
			v.outlier.recovering = !v.health.unreachable
			if v.health.unreachable { // it may have restarted, and counts as cold
				v.endpoint.startedAtMs = s.nowMs
			}
			in += v.endpoint.baseWeight
			w.Log(Event{HostRecovering, h, nil})
			continue
		}
		// A cut, which also fits a lost zone that says nothing: nearly all of the zone's servers leave probes
		// unanswered at the same time, while nearly all of some other zone answer.
		cut := false
		for z := range all {
			cut = cut || z != v.endpoint.zone && all[z] > 0 && float64(fine[z]) >= partitionShare*float64(all[z])
		}
		cut = cut && all[v.endpoint.zone] > 1 && float64(mute[v.endpoint.zone]) >= partitionShare*float64(all[v.endpoint.zone])
		alone := v.health.consecutiveFailures >= unresponsiveFailures && s.checks.suspicionApplies
		dry := s.reports.lastAtMs-v.stats.lastSuccessAtMs >= s.reports.cycleMs*0.7 && (alone || cut)
		if (v.health.unreachable || dry) && in-v.endpoint.baseWeight >= least && in > v.endpoint.baseWeight {
			v.outlier.ejected, v.health.consecutiveSuccesses = true, 0
			in -= v.endpoint.baseWeight
			w.Log(Event{HostEjected, h, []Field{{"consecutive_failures", float64(v.health.consecutiveFailures), 0},
				{"unreachable", indicator(v.health.unreachable), 0}, {"remaining_weight_ratio", in / listed, 2}}})
		}
	}
	clear(s.zoneReconnected)
}

// recoveryFactor is what a server gets of its weight on trial, doubling each step.
func (s *Balancer) recoveryFactor(v *hostRecord) float64 {
	if !v.outlier.recovering {
		return 1
	}
	return math.Min(1, recoveryInitialFactor*math.Exp2(math.Floor((s.nowMs-v.outlier.recoveringSinceMs)/recoveryStepMs)))
}

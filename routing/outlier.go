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

// detectOutliers withdraws servers on proof, by symptom, and lets them return by trial. Proof is absence, or silence
// while no try is fulfilled there, alone or with its zone. It must not take a busy server for a silent one:
// many silent, or a fleet that fails, prove nothing. What is left must carry the joined proxies' traffic.
func (s *Balancer) detectOutliers(w UpdateWriter) {
	listed, in, silent, n, doubted := 0.0, 0.0, 0, 0, 1e-9
	all, fine, mute := make([]int, s.deployment.Zones), make([]int, s.deployment.Zones), make([]int, s.deployment.Zones)
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.state != Ready {
			continue
		}
		listed, n, all[v.zone], fine[v.zone] = listed+v.baseWeight, n+1, all[v.zone]+1, fine[v.zone]+min(v.consecutiveSuccesses, 1)
		if doubted += math.Min(v.suspicion, 1); v.consecutiveFailures > 0 && !v.unreachable {
			silent++
		}
		if v.consecutiveFailures >= unreachableFailures {
			mute[v.zone]++
		}
		if !v.ejected {
			in += v.baseWeight
		}
	}
	s.suspicionApplies, s.suspicionScale = silent*4 <= n+3 && s.successRatio > 0.5, math.Min(1, maxSuspectShare*float64(n)/doubted)
	least := minServingShare * listed * s.connectedShare()
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.state != Ready || !v.ejected && v.consecutiveFailures < unreachableFailures {
			continue
		}
		if v.ejected {
			// A proxy that joins from a cut-off zone proves the way there.
			if v.consecutiveSuccesses < 2 && (v.unreachable || !s.zoneReconnected[v.zone]) {
				continue
			}
			v.ejected, v.consecutiveFailures, v.suspicion, v.cooldownUntilMs, v.meanLatencyMs, v.recoveringSinceMs = false, 0, 0, s.nowMs+s.settlingMs, s.medianLatencyMs, s.nowMs
			if v.unreachable { // it may have restarted, and counts as cold
				v.startedAtMs, v.recoveringSinceMs = s.nowMs, neverMs
			}
			in += v.baseWeight
			w.Log(Event{HostRecovering, h, nil})
			continue
		}
		// A cut, which also fits a lost zone that says nothing: nearly all of the zone's servers leave probes
		// unanswered at the same time, while nearly all of some other zone answer.
		cut := false
		for z := range all {
			cut = cut || z != v.zone && all[z] > 0 && float64(fine[z]) >= partitionShare*float64(all[z])
		}
		cut = cut && all[v.zone] > 1 && float64(mute[v.zone]) >= partitionShare*float64(all[v.zone])
		alone := v.consecutiveFailures >= unresponsiveFailures && s.suspicionApplies
		dry := s.reportAtMs-v.lastSuccessAtMs >= s.reportCycleMs*0.7 && (alone || cut)
		if (v.unreachable || dry) && in-v.baseWeight >= least && in > v.baseWeight {
			v.ejected, v.consecutiveSuccesses = true, 0
			in -= v.baseWeight
			w.Log(Event{HostEjected, h, []Field{{"consecutive_failures", float64(v.consecutiveFailures), 0},
				{"unreachable", indicator(v.unreachable), 0}, {"remaining_weight_ratio", in / listed, 2}}})
		}
	}
	clear(s.zoneReconnected)
}

// recoveryFactor is what a server gets of its weight on trial, doubling each step.
func (s *Balancer) recoveryFactor(v *hostRecord) float64 {
	return math.Min(1, recoveryInitialFactor*math.Exp2(math.Floor((s.nowMs-v.recoveringSinceMs)/recoveryStepMs)))
}

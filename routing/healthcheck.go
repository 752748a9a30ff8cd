package routing

import "math"

const (
	checkCostShare    = 0.003 // of the result may go into the price of probes
	checkRetryMs      = 300.0 // ms until a host that left a probe unanswered is asked again
	maxSuspicion      = 3.0   // of them count
	suspicionRecovery = 1.0   // with each answered one
)

// checkHealth examines a host, and again after a while that keeps the price of probes under a small part of the
// result, or soon where one was left unanswered. Each outcome raises or lowers the doubt about the host.
func (s *Balancer) checkHealth(w UpdateWriter, h, life int) {
	v := &s.hosts[h]
	if v.incarnation != life { // forgotten meanwhile: its index may be another host's
		return
	}
	urgent := v.consecutiveFailures > 0 && v.consecutiveFailures <= unresponsiveFailures && !v.ejected
	if v.state == Ready && !v.checkInFlight && (urgent || s.nowMs >= v.nextCheckAtMs) {
		if v.consecutiveFailures > 0 && s.suspicionApplies {
			v.suspicion = math.Min(v.suspicion+1, maxSuspicion)
		} else if v.consecutiveFailures == 0 {
			v.suspicion = math.Max(v.suspicion-suspicionRecovery, 0)
		}
		total, n := 1e-9, 0.0
		for _, h := range s.hostOrder {
			if total += s.hosts[h].arrivalRate; s.hosts[h].state == Ready {
				n++
			}
		}
		every := n * float64(s.deployment.Controllers) * s.objective.HealthCheckCost / (checkCostShare * total) * 1000
		v.checkInFlight, v.nextCheckAtMs = true, s.nowMs+math.Min(math.Max(every, 500), 4000)
		w.CheckHealth(h)
	}
	s.schedule(checkRetryMs, func(w UpdateWriter) { s.checkHealth(w, h, life) })
}

package routing

import "math"

const (
	firstCheckWithinMs = 1000.0
	checkCostShare     = 0.003 // of the result may go into the price of probes
	checkRetryMs       = 300.0 // ms until a host that left a probe unanswered is asked again
	maxSuspicion       = 3.0   // of them count
	suspicionRecovery  = 1.0   // with each answered one
)

// healthRecord is what health checks show of a host.
type healthRecord struct {
	consecutiveFailures  int     // health checks in a row without an answer
	consecutiveSuccesses int     // health checks in a row with a healthy answer
	unreachable          bool    // the last one without an answer found nothing listening
	checkInFlight        bool    // one has no result yet
	nextCheckAtMs        float64 // when the next one is due
	suspicion            float64 // health checks lately without an answer, up to maxSuspicion
}

// healthCheckState is what the fleet's health checks show together.
type healthCheckState struct {
	scheduledHosts   int     // the first so many of hostOrder have a task
	suspicionApplies bool    // failures say something of a host, since few hosts have any
	suspicionScale   float64 // the part of each host's suspicion that counts
}

// scheduleHealthChecks gives each host that is new in the order of discovery its task, at a time with jitter.
func (b *Balancer) scheduleHealthChecks() {
	for _, index := range b.hostOrder[b.checks.scheduledHosts:] {
		incarnation := b.hosts[index].incarnation
		b.schedule(b.random.next()*firstCheckWithinMs, func(writer UpdateWriter) {
			b.checkHealth(writer, index, incarnation)
		})
	}
	b.checks.scheduledHosts = len(b.hostOrder)
}

// checkHealth examines a host, and again after a while that keeps the price of probes under a small part of the
// result, or soon where one was left unanswered. Each outcome raises or lowers the doubt about the host.
func (s *Balancer) checkHealth(w UpdateWriter, h, life int) {
	v := &s.hosts[h]
	if v.incarnation != life { // forgotten meanwhile: its index may be another host's
		return
	}
	urgent := v.health.consecutiveFailures > 0 && v.health.consecutiveFailures <= unresponsiveFailures && !v.outlier.ejected
	if v.endpoint.state == Ready && !v.health.checkInFlight && (urgent || s.nowMs >= v.health.nextCheckAtMs) {
		if v.health.consecutiveFailures > 0 && s.checks.suspicionApplies {
			v.health.suspicion = math.Min(v.health.suspicion+1, maxSuspicion)
		} else if v.health.consecutiveFailures == 0 {
			v.health.suspicion = math.Max(v.health.suspicion-suspicionRecovery, 0)
		}
		total, n := 1e-9, 0.0
		for _, h := range s.hostOrder {
			if total += s.hosts[h].stats.arrivalRate; s.hosts[h].endpoint.state == Ready {
				n++
			}
		}
		every := n * float64(s.deployment.Controllers) * s.objective.HealthCheckCost / (checkCostShare * total) * 1000
		v.health.checkInFlight, v.health.nextCheckAtMs = true, s.nowMs+math.Min(math.Max(every, 500), 4000)
		w.CheckHealth(h)
	}
	s.schedule(checkRetryMs, func(w UpdateWriter) { s.checkHealth(w, h, life) })
}

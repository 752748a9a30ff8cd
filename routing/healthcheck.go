package routing

import "math"

const (
	// checkCostShare is the fraction of the deployment's result that the cost of health checks may take.
	checkCostShare = 0.003

	// Bounds of the interval between two health checks of a host that answers.
	checkIntervalMinMs = 500.0
	checkIntervalMaxMs = 4000.0

	// checkRetryMs is the time after which a host that left a health check unanswered is checked again.
	checkRetryMs = 300.0

	// maxFirstCheckDelayMs bounds the jitter of a host's first health check.
	maxFirstCheckDelayMs = 1000.0

	// maxSuspicion bounds a host's suspicion, the number of unanswered health checks that count against it. An
	// answered health check lowers the suspicion by suspicionRecovery.
	maxSuspicion      = 3.0
	suspicionRecovery = 1.0
)

// healthRecord holds the results of a host's health checks.
type healthRecord struct {
	consecutiveFailures  int     // health checks in a row without an answer
	consecutiveSuccesses int     // health checks in a row with a healthy answer
	unreachable          bool    // the last one without an answer found nothing listening
	checkInFlight        bool    // a health check has no result yet
	nextCheckAtMs        float64 // when the next one is due
	suspicion            float64 // unanswered health checks less the answered ones, from 0 to maxSuspicion
}

// healthCheckState holds what is derived from the health checks of all hosts.
type healthCheckState struct {
	scheduledHosts   int     // number of hosts at the front of hostOrder that have a task
	suspicionApplies bool    // unanswered health checks count against a host, since few hosts have any
	suspicionScale   float64 // factor from 0 to 1 on each host's suspicion

	zones []zoneHealth // reused in each round to avoid an allocation
}

// scheduleHealthChecks schedules the health check task of each newly discovered host, after a random delay up to
// maxFirstCheckDelayMs.
func (b *Balancer) scheduleHealthChecks() {
	for _, index := range b.hostOrder[b.checks.scheduledHosts:] {
		incarnation := b.hosts[index].incarnation
		b.schedule(b.random.next()*maxFirstCheckDelayMs, func(writer UpdateWriter) {
			b.runHealthCheck(writer, index, incarnation)
		})
	}
	b.checks.scheduledHosts = len(b.hostOrder)
}

// runHealthCheck is a host's repeated task: it starts a health check where one is due, or at once where the last was
// left unanswered, and schedules itself again. It ends once ForgetHost was called for the host, since the index may
// then belong to another.
func (b *Balancer) runHealthCheck(writer UpdateWriter, index, incarnation int) {
	host := &b.hosts[index]
	if host.incarnation != incarnation {
		return
	}
	health := &host.health
	failures := health.consecutiveFailures
	urgent := failures > 0 && failures <= unresponsiveFailures && !host.outlier.ejected
	due := urgent || b.nowMs >= health.nextCheckAtMs
	if host.endpoint.state == Ready && !health.checkInFlight && due {
		b.updateSuspicion(health)
		health.checkInFlight = true
		health.nextCheckAtMs = b.nowMs + b.healthCheckIntervalMs()
		writer.CheckHealth(index)
	}
	b.schedule(checkRetryMs, func(writer UpdateWriter) { b.runHealthCheck(writer, index, incarnation) })
}

// updateSuspicion raises or lowers a host's suspicion according to its last health check.
func (b *Balancer) updateSuspicion(health *healthRecord) {
	if health.consecutiveFailures == 0 {
		health.suspicion = math.Max(health.suspicion-suspicionRecovery, 0)
	} else if b.checks.suspicionApplies {
		health.suspicion = math.Min(health.suspicion+1, maxSuspicion)
	}
}

// healthCheckIntervalMs returns the interval between a host's health checks, such that the health checks of all
// controllers together cost checkCostShare of the value of the fleet's requests.
func (b *Balancer) healthCheckIntervalMs() float64 {
	arrivalRate := minDivisor
	readyHosts := 0.0
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		arrivalRate += host.stats.arrivalRate
		if host.endpoint.state == Ready {
			readyHosts++
		}
	}
	costOfAll := readyHosts * float64(b.deployment.Controllers) * b.objective.HealthCheckCost
	intervalMs := costOfAll / (checkCostShare * arrivalRate) * msPerSecond
	return math.Min(math.Max(intervalMs, checkIntervalMinMs), checkIntervalMaxMs)
}

package routing

import "math"

const (
	// stormFailureRatio is the least fraction of the hosts that fail, and of the attempts that fail at each of them,
	// in a retry storm.
	stormFailureRatio = 0.6

	// stormRounds is the number of report rounds in a row after which a retry storm is confirmed.
	stormRounds = 2

	// quiesceSpacing is the number of settling times between the end of one quiescing and the start of the next.
	quiesceSpacing = 2

	// maxQuiesceShare is the fraction of SafetyLimits.EmptyTableMs that quiescing may take, without the propagation
	// delay.
	maxQuiesceShare = 0.5

	// retrySuccessRatio is the fleet's success ratio from which retries are allowed where proxies ignore admission
	// quotas.
	retrySuccessRatio = 0.8
)

// retryStormState is the state of the detection and mitigation of retry storms.
type retryStormState struct {
	rounds          int     // report rounds in a row that showed a storm
	quiescing       bool    // all proxies are assigned a table with one host
	host            int     // the host of that table
	nextQuiesceAtMs float64 // no quiescing before this instant
}

// noQuiesceHost is stormSymptoms.quiesceHost where no host takes part in rebalancing.
const noQuiesceHost = -1

// stormSymptoms are the signs of a retry storm in the last reports.
type stormSymptoms struct {
	hosts        int // with recent attempts
	failingHosts int
	quiesceHost  int // host of the largest base weight that takes part in rebalancing, or noQuiesceHost
}

// mitigateRetryStorm ends a retry storm where proxies ignore admission quotas: requests that have timed out at their
// clients fill the hosts' queues and make most attempts fail even after the cause has ended. All proxies are sent to
// one host until the deadline of every class has passed, and then return to hosts with shorter queues. It must not act
// on a network partition or an unresponsive host, where some hosts succeed. Where capacity is permanently insufficient,
// it replaces constant failure by intervals of success.
func (b *Balancer) mitigateRetryStorm(writer UpdateWriter) {
	symptoms := b.measureRetryStorm()
	b.admission.retryPolicy = retryUnprocessed
	if b.fleet.successRatio < retrySuccessRatio {
		b.admission.retryPolicy = retryNone
	}
	fewFailing := float64(symptoms.failingHosts) < stormFailureRatio*float64(symptoms.hosts)
	if b.fleet.successRatio > 1-stormFailureRatio || fewFailing {
		b.retryStorm.rounds = 0
	} else {
		b.retryStorm.rounds++
	}
	confirmed := b.retryStorm.rounds >= stormRounds && b.nowMs >= b.retryStorm.nextQuiesceAtMs
	if confirmed && symptoms.quiesceHost != noQuiesceHost && !b.zoneLocal {
		b.quiesceRetryStorm(writer, symptoms)
	}
}

// measureRetryStorm counts the hosts that fail most of their attempts.
func (b *Balancer) measureRetryStorm() stormSymptoms {
	symptoms := stormSymptoms{quiesceHost: noQuiesceHost}
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if attempts := host.stats.recentAttempts(); attempts >= 1 {
			symptoms.hosts++
			if host.stats.recentFailures > stormFailureRatio*attempts {
				symptoms.failingHosts++
			}
		}
		if !b.isRebalanced(host) {
			continue
		}
		largest := symptoms.quiesceHost
		if largest == noQuiesceHost || host.endpoint.baseWeight > b.hosts[largest].endpoint.baseWeight {
			symptoms.quiesceHost = index
		}
	}
	return symptoms
}

// quiesceRetryStorm sends all proxies to one host until the requests in the others' queues are past their deadlines.
func (b *Balancer) quiesceRetryStorm(writer UpdateWriter, symptoms stormSymptoms) {
	quiesceMs := b.quiesceMs()
	b.retryStorm.nextQuiesceAtMs = b.nowMs + quiesceMs + quiesceSpacing*b.reports.settlingMs
	b.retryStorm.host = symptoms.quiesceHost
	b.setQuiescing(true)
	b.schedule(quiesceMs, func(UpdateWriter) { b.setQuiescing(false) })
	writer.Log(Event{RetryStormQuiesced, symptoms.quiesceHost, []Field{
		{"failing_hosts", float64(symptoms.failingHosts), 0},
		{"hosts", float64(symptoms.hosts), 0},
		{"success_ratio", b.fleet.successRatio, 2},
		{"quiesce_ms", quiesceMs, 0},
	}})
}

// quiesceMs returns the time for which the proxies are quiesced: the longest deadline of any class, but at most
// maxQuiesceShare of SafetyLimits.EmptyTableMs, plus the propagation delay.
func (b *Balancer) quiesceMs() float64 {
	delayMs := b.channel.PropagationDelayMs
	longestMs := delayMs
	for _, class := range b.classes {
		longestMs = math.Max(longestMs, math.Min(class.DeadlineMs, b.limits.EmptyTableMs*maxQuiesceShare)+delayMs)
	}
	return longestMs
}

// setQuiescing begins or ends quiescing. All proxies lose their tables, and assignTables assigns them others.
func (b *Balancer) setQuiescing(quiescing bool) {
	b.retryStorm.quiescing = quiescing
	for i := range b.proxies {
		b.proxies[i].assigned = false
		b.proxies[i].ownsTable = false
	}
}

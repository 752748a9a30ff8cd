package routing

import "math"

const (
	// stormFailureRatio is the part of the hosts that fail, and of their attempts, in a retry storm.
	stormFailureRatio = 0.6

	// stormRounds is the number of report rounds in a row that prove a retry storm.
	stormRounds = 2

	// retrySuccessRatio is the fleet's success ratio from which on retries help where no admission ratio is heeded.
	retrySuccessRatio = 0.8
)

// retryStormState tells whether the proxies are kept from sending to end a retry storm.
type retryStormState struct {
	rounds          int     // report rounds in a row that showed a storm
	quiescing       bool    // all proxies are sent to one host
	host            int     // that host
	nextQuiesceAtMs float64 // not again before
}

// noQuiesceHost stands where no host can be kept in service while the others' queues empty.
const noQuiesceHost = -1

// stormSymptoms is what the last reports show of a retry storm.
type stormSymptoms struct {
	hosts        int // with recent attempts
	failingHosts int
	keptHost     int // the heaviest host that takes part in rebalancing, or noQuiesceHost
}

// relieveRetryStorm ends a retry storm where proxies heed no admission ratio: work that clients have given up on keeps
// most attempts failing after the cause is gone. All proxies are sent to one host until the deadline of every class is
// over, and then return to shorter queues. It must not act on a network partition or a host that hangs, where some
// hosts succeed; where capacity is lacking for good it trades a steady failure for good spells.
func (b *Balancer) relieveRetryStorm(writer UpdateWriter) {
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
	proven := b.retryStorm.rounds >= stormRounds && b.nowMs >= b.retryStorm.nextQuiesceAtMs
	if proven && symptoms.keptHost != noQuiesceHost && !b.zoneLocal {
		b.quiesceRetryStorm(writer, symptoms)
	}
}

// measureRetryStorm counts the hosts that fail most of their attempts.
func (b *Balancer) measureRetryStorm() stormSymptoms {
	symptoms := stormSymptoms{keptHost: noQuiesceHost}
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if attempts := host.stats.recentAttempts(); attempts >= 1 {
			symptoms.hosts++
			if host.stats.recentFailures > stormFailureRatio*attempts {
				symptoms.failingHosts++
			}
		}
		if !b.participates(host) {
			continue
		}
		kept := symptoms.keptHost
		if kept == noQuiesceHost || host.endpoint.baseWeight > b.hosts[kept].endpoint.baseWeight {
			symptoms.keptHost = index
		}
	}
	return symptoms
}

// quiesceRetryStorm sends all proxies to one host until the requests in the others' queues are past their deadlines.
func (b *Balancer) quiesceRetryStorm(writer UpdateWriter, symptoms stormSymptoms) {
	quiesceMs := b.quiesceMs()
	b.retryStorm.nextQuiesceAtMs = b.nowMs + quiesceMs + 2*b.reports.settlingMs
	b.retryStorm.host = symptoms.keptHost
	b.setQuiescing(true)
	b.schedule(quiesceMs, func(UpdateWriter) { b.setQuiescing(false) })
	writer.Log(Event{RetryStormQuiesced, symptoms.keptHost, []Field{
		{"failing_hosts", float64(symptoms.failingHosts), 0},
		{"hosts", float64(symptoms.hosts), 0},
		{"success_ratio", b.fleet.successRatio, 2},
		{"quiesce_ms", quiesceMs, 0},
	}})
}

// quiesceMs is the time until every class's requests are past their deadlines, though at most half the time for which a
// proxy may be without hosts.
func (b *Balancer) quiesceMs() float64 {
	delayMs := b.channel.PropagationDelayMs
	longestMs := delayMs
	for _, class := range b.classes {
		longestMs = math.Max(longestMs, math.Min(class.DeadlineMs, b.limits.EmptyTableMs/2)+delayMs)
	}
	return longestMs
}

// setQuiescing takes all proxies off their tables; assignTables gives them others.
func (b *Balancer) setQuiescing(quiescing bool) {
	b.retryStorm.quiescing = quiescing
	for i := range b.proxies {
		b.proxies[i].assigned = false
		b.proxies[i].ownsTable = false
	}
}

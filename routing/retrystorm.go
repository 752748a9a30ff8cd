package routing

import "math"

const (
	stormFailureRatio = 0.6 // of the servers, and of their tries, fail in a storm of repeats
	retrySuccessRatio = 0.8 // of all tries are fulfilled where further tries help and no level is heeded
)

// retryStormState tells whether the proxies are kept from sending to end a storm of retries.
type retryStormState struct {
	rounds          int     // report rounds in a row that showed a storm
	quiescing       bool    // all proxies are sent to one host
	host            int     // that host
	nextQuiesceAtMs float64 // not again before
}

// relieveRetryStorm ends a storm of repeats where proxies heed no level: work that clients gave up on keeps most
// tries failing after the cause is gone. All proxies go to one server until the patience of every class is
// over, then return to emptier queues. It must not act on a cut or a hang, where some servers fulfil; where
// capacity is lacking it trades a steady failure for good spells.
func (s *Balancer) relieveRetryStorm(w UpdateWriter, classes []RequestClass, most float64) {
	n, failing, keep := 0.0, 0.0, -1
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.stats.recentSuccesses+v.stats.recentFailures >= 1 {
			n++
			if v.stats.recentFailures > stormFailureRatio*(v.stats.recentSuccesses+v.stats.recentFailures) {
				failing++
			}
		}
		if s.rebalances(v) && (keep < 0 || v.endpoint.baseWeight > s.hosts[keep].endpoint.baseWeight) {
			keep = h
		}
	}
	s.admission.retryPolicy, s.retryStorm.rounds = 1, s.retryStorm.rounds+1
	if s.fleet.successRatio < retrySuccessRatio {
		s.admission.retryPolicy = 0
	}
	if s.fleet.successRatio > 1-stormFailureRatio || failing < stormFailureRatio*n {
		s.retryStorm.rounds = 0
	}
	if s.retryStorm.rounds < 2 || s.nowMs < s.retryStorm.nextQuiesceAtMs || keep < 0 || s.zoneLocal {
		return
	}
	rest := s.channel.PropagationDelayMs
	for _, c := range classes {
		rest = math.Max(rest, math.Min(c.DeadlineMs, most)+s.channel.PropagationDelayMs)
	}
	s.retryStorm.nextQuiesceAtMs = s.nowMs + rest + 2*s.reports.settlingMs
	s.retryStorm.host = keep
	s.setQuiescing(true)
	s.schedule(rest, func(UpdateWriter) { s.setQuiescing(false) })
	w.Log(Event{RetryStormQuiesced, s.retryStorm.host, []Field{{"failing_hosts", failing, 0}, {"hosts", n, 0},
		{"success_ratio", s.fleet.successRatio, 2}, {"quiesce_ms", rest, 0}}})
}

// setQuiescing takes all proxies off their tables; join gives them others.
func (s *Balancer) setQuiescing(on bool) {
	s.retryStorm.quiescing = on
	for i := range s.proxies {
		s.proxies[i].assigned, s.proxies[i].ownsTable = false, false
	}
}

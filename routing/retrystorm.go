package routing

import "math"

const (
	stormFailureRatio = 0.6 // of the servers, and of their tries, fail in a storm of repeats
	retrySuccessRatio = 0.8 // of all tries are fulfilled where further tries help and no level is heeded
)

// relieveRetryStorm ends a storm of repeats where proxies heed no level: work that clients gave up on keeps most
// tries failing after the cause is gone. All proxies go to one server until the patience of every class is
// over, then return to emptier queues. It must not act on a cut or a hang, where some servers fulfil; where
// capacity is lacking it trades a steady failure for good spells.
func (s *Balancer) relieveRetryStorm(w UpdateWriter, classes []RequestClass, most float64) {
	n, failing, keep := 0.0, 0.0, -1
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if v.recentSuccesses+v.recentFailures >= 1 {
			n++
			if v.recentFailures > stormFailureRatio*(v.recentSuccesses+v.recentFailures) {
				failing++
			}
		}
		if s.rebalances(v) && (keep < 0 || v.baseWeight > s.hosts[keep].baseWeight) {
			keep = h
		}
	}
	s.retryPolicy, s.stormRounds = 1, s.stormRounds+1
	if s.successRatio < retrySuccessRatio {
		s.retryPolicy = 0
	}
	if s.successRatio > 1-stormFailureRatio || failing < stormFailureRatio*n {
		s.stormRounds = 0
	}
	if s.stormRounds < 2 || s.nowMs < s.nextQuiesceAtMs || keep < 0 || s.zoneLocal {
		return
	}
	rest := s.channel.PropagationDelayMs
	for _, c := range classes {
		rest = math.Max(rest, math.Min(c.DeadlineMs, most)+s.channel.PropagationDelayMs)
	}
	s.nextQuiesceAtMs = s.nowMs + rest + 2*s.settlingMs
	s.quiesceHost = keep
	s.setQuiescing(true)
	s.schedule(rest, func(UpdateWriter) { s.setQuiescing(false) })
	w.Log(Event{RetryStormQuiesced, s.quiesceHost, []Field{{"failing_hosts", failing, 0}, {"hosts", n, 0},
		{"success_ratio", s.successRatio, 2}, {"quiesce_ms", rest, 0}}})
}

// setQuiescing takes all proxies off their tables; join gives them others.
func (s *Balancer) setQuiescing(on bool) {
	s.quiescing = on
	for i := range s.proxies {
		s.proxies[i].assigned, s.proxies[i].ownsTable = false, false
	}
}

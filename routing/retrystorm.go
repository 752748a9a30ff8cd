package routing

import "math"

const (
	stormPart  = 0.6 // of the servers, and of their tries, fail in a storm of repeats
	triesAbove = 0.8 // of all tries are fulfilled where further tries help and no level is heeded
)

// relieve ends a storm of repeats where proxies heed no level: work that clients gave up on keeps most
// tries failing after the cause is gone. All proxies go to one server until the patience of every class is
// over, then return to emptier queues. It must not act on a cut or a hang, where some servers fulfil; where
// capacity is lacking it trades a steady failure for good spells.
func (s *Balancer) relieve(w UpdateWriter, classes []RequestClass, most float64) {
	n, failing, keep := 0.0, 0.0, -1
	for _, h := range s.order {
		v := &s.servers[h]
		if v.won+v.lost >= 1 {
			n++
			if v.lost > stormPart*(v.won+v.lost) {
				failing++
			}
		}
		if s.serving(v) && (keep < 0 || v.listed > s.servers[keep].listed) {
			keep = h
		}
	}
	s.tries, s.storm = 1, s.storm+1
	if s.fulfilled < triesAbove {
		s.tries = 0
	}
	if s.fulfilled > 1-stormPart || failing < stormPart*n {
		s.storm = 0
	}
	if s.storm < 2 || s.now < s.stormNext || keep < 0 || s.local {
		return
	}
	rest := s.channel.PropagationDelayMs
	for _, c := range classes {
		rest = math.Max(rest, math.Min(c.DeadlineMs, most)+s.channel.PropagationDelayMs)
	}
	s.stormNext = s.now + rest + 2*s.settle
	s.keep = keep
	s.rest(true)
	s.add(rest, func(UpdateWriter) { s.rest(false) })
	w.Log(Event{RetryStormQuiesced, s.keep, []Field{{"failing_hosts", failing, 0}, {"hosts", n, 0},
		{"success_ratio", s.fulfilled, 2}, {"quiesce_ms", rest, 0}}})
}

// rest takes all proxies off their tables; join gives them others.
func (s *Balancer) rest(on bool) {
	s.resting = on
	for i := range s.proxies {
		s.proxies[i].bound, s.proxies[i].own = false, false
	}
}

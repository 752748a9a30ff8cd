package routing

import "math"

const (
	probePart  = 0.003 // of the result may go into the price of probes
	probeSoon  = 300.0 // ms until a host that left a probe unanswered is asked again
	doubtMost  = 3.0   // of them count
	doubtFades = 1.0   // with each answered one
)

// probe examines a host, and again after a while that keeps the price of probes under a small part of the
// result, or soon where one was left unanswered. Each outcome raises or lowers the doubt about the host.
func (s *Balancer) probe(w UpdateWriter, h, life int) {
	v := &s.servers[h]
	if v.life != life { // forgotten meanwhile: its index may be another host's
		return
	}
	urgent := v.strikes > 0 && v.strikes <= silences && !v.out
	if v.phase == Ready && !v.probing && (urgent || s.now >= v.probeAt) {
		if v.strikes > 0 && s.few {
			v.doubt = math.Min(v.doubt+1, doubtMost)
		} else if v.strikes == 0 {
			v.doubt = math.Max(v.doubt-doubtFades, 0)
		}
		total, n := 1e-9, 0.0
		for _, h := range s.order {
			if total += s.servers[h].rate; s.servers[h].phase == Ready {
				n++
			}
		}
		every := n * float64(s.fleet.Controllers) * s.goal.HealthCheckCost / (probePart * total) * 1000
		v.probing, v.probeAt = true, s.now+math.Min(math.Max(every, 500), 4000)
		w.CheckHealth(h)
	}
	s.add(probeSoon, func(w UpdateWriter) { s.probe(w, h, life) })
}

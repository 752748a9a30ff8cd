package routing

import "math"

const (
	doubtTo   = 0.25 // of the hosts may be doubted fully
	silences  = 3    // unanswered probes in a row that may prove a server silent
	absences  = 2    // unanswered probes in a row that prove a server absent, or count for a cut
	cutPart   = 0.75 // of a zone's servers unanswered, and of another's answered, make a cut
	trialPart = 0.4  // of its weight a server returns with, doubling each trialStep
	trialStep = 1000.0
	keepPart  = 0.34 // of the listed weight stays in the tables whatever the probes say
)

// judge withdraws servers on proof, by symptom, and lets them return by trial. Proof is absence, or silence
// while no try is fulfilled there, alone or with its zone. It must not take a busy server for a silent one:
// many silent, or a fleet that fails, prove nothing. What is left must carry the joined proxies' traffic.
func (s *Balancer) judge(w UpdateWriter) {
	listed, in, silent, n, doubted := 0.0, 0.0, 0, 0, 1e-9
	all, fine, mute := make([]int, s.fleet.Zones), make([]int, s.fleet.Zones), make([]int, s.fleet.Zones)
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready {
			continue
		}
		listed, n, all[v.zone], fine[v.zone] = listed+v.listed, n+1, all[v.zone]+1, fine[v.zone]+min(v.fine, 1)
		if doubted += math.Min(v.doubt, 1); v.strikes > 0 && !v.absent {
			silent++
		}
		if v.strikes >= absences {
			mute[v.zone]++
		}
		if !v.out {
			in += v.listed
		}
	}
	s.few, s.doubts = silent*4 <= n+3 && s.fulfilled > 0.5, math.Min(1, doubtTo*float64(n)/doubted)
	least := keepPart * listed * s.share()
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready || !v.out && v.strikes < absences {
			continue
		}
		if v.out {
			// A proxy that joins from a cut-off zone proves the way there.
			if v.fine < 2 && (v.absent || !s.zoneBack[v.zone]) {
				continue
			}
			v.out, v.strikes, v.doubt, v.hold, v.r, v.back = false, 0, 0, s.now+s.settle, s.median, s.now
			if v.absent { // it may have restarted, and counts as cold
				v.started, v.back = s.now, longAgo
			}
			in += v.listed
			w.Log(Event{HostRecovering, h, nil})
			continue
		}
		// A cut, which also fits a lost zone that says nothing: nearly all of the zone's servers leave probes
		// unanswered at the same time, while nearly all of some other zone answer.
		cut := false
		for z := range all {
			cut = cut || z != v.zone && all[z] > 0 && float64(fine[z]) >= cutPart*float64(all[z])
		}
		cut = cut && all[v.zone] > 1 && float64(mute[v.zone]) >= cutPart*float64(all[v.zone])
		alone := v.strikes >= silences && s.few
		dry := s.heardAt-v.fed >= s.cycle*0.7 && (alone || cut)
		if (v.absent || dry) && in-v.listed >= least && in > v.listed {
			v.out, v.fine = true, 0
			in -= v.listed
			w.Log(Event{HostEjected, h, []Field{{"consecutive_failures", float64(v.strikes), 0},
				{"unreachable", indicator(v.absent), 0}, {"remaining_weight_ratio", in / listed, 2}}})
		}
	}
	clear(s.zoneBack)
}

// part is what a server gets of its weight on trial, doubling each step.
func (s *Balancer) part(v *server) float64 {
	return math.Min(1, trialPart*math.Exp2(math.Floor((s.now-v.back)/trialStep)))
}

package routing

import (
	"math"
	"sort"
)

const (
	memory  = 0.8 // what earlier sums count for after a report round
	shortly = 0.5 // the same for the share of tries fulfilled
	average = 4.0 // answers of median time that each server is taken to have given besides
	traffic = 0.3 // of a proxy's rate follows its last sums
)

// report takes in a round of sums. Without sums nothing of this happens and the tables stay.
func (s *Balancer) report(w UpdateWriter, period float64) {
	passed := period
	if s.heardAt >= 0 {
		passed = s.now - s.heardAt
		s.gap = math.Max(passed-period, s.gap*memory)
	}
	s.heardAt, s.heard = s.now, false
	for i := range s.proxies {
		if p := &s.proxies[i]; p.span > 0 {
			p.rate += traffic * (p.came/p.span*1000 - p.rate)
			p.came, p.span = 0, 0
		}
	}
	s.estimate(s.share(), period, passed)
	s.shift()
	s.strain(w)
	if s.fleet.AdmissionControl {
		s.admit(w, s.classes, s.goal)
	} else {
		s.relieve(w, s.classes, s.guard.EmptyTableMs/2)
	}
}

// estimate brings λ, the whole rate (as reported, else our own sums over our share of the proxies), and R up
// to date. A failed try counts as one that took d, so that errors and few answers never read as room; it
// stays out of the median. Average answers keep a noisy R from faking overload.
func (s *Balancer) estimate(share, period, passed float64) {
	var heard []float64
	good, all := 1.0, 1.0
	s.cycle = math.Max(period, shortly*s.cycle+(1-shortly)*s.spans/s.lines)
	s.settle, s.spans, s.lines = s.late+2*s.cycle, 0, 0
	keep, soon := math.Pow(memory, passed/s.cycle), math.Pow(shortly, passed/s.cycle)
	for _, h := range s.order {
		v := &s.servers[h]
		f, p := v.fresh, &v.past
		v.fresh = sums{}
		good, all = good+f.good, all+f.good+f.bad
		v.won, v.lost = v.won*soon+f.good, v.lost*soon+f.bad
		if f.good > 0 {
			v.fed = s.now
		}
		if s.now < v.hold-s.cycle { // from before the last move showed
			*p = sums{}
			continue
		}
		p.good, p.bad, p.time = p.good*keep+f.good, p.bad*keep+f.bad, p.time*keep+f.time
		p.span = p.span*keep + passed
		v.r = (p.time + (p.bad*dMedians+average)*s.median) / (p.good + p.bad + average)
		v.rate = (p.good + p.bad) / p.span * 1000 / share
		if v.load.RequestRate >= 0 {
			v.rate = math.Max(v.load.RequestRate, v.rate/2)
		}
		if s.serving(v) && p.good >= average {
			heard = append(heard, p.time/p.good)
		}
	}
	s.fulfilled = math.Min(good/all, 0.5*s.fulfilled+0.5*good/all)
	if len(heard) > 0 {
		sort.Float64s(heard)
		s.median = heard[len(heard)/2]
	}
}

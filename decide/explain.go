package decide

import (
	"math"
	"slices"
)

// Explanation tells why a host's weight is what it is. It is read out and decides nothing; rates are transactions a
// second, times ms.
type Explanation struct {
	Phase   Phase
	Out     bool // withdrawn
	Serving bool // takes part in moves
	Listed  float64
	Weight  float64 // where the moves have put it
	Want    float64 // what the tables should hold of it
	Told    float64 // what they hold
	Rate, R float64 // λ, and the mean time of a try
	Median  float64 // of R over all hosts
	Mu, K   float64
	Cap     float64 // mu - K, or the least part of mu; room is Cap - Rate
	Warmth  float64 // part of its capacity that it has, after its start
	Trial   float64 // part of its weight that it has, after its return
	Hold    float64 // no move before this time
	Started float64 // -1: long ago
	Strikes int     // probes in a row unanswered
	Absent  bool    // the last unanswered one found nothing there
	Fine    int     // and answered
	Won     float64 // tries fulfilled and failed lately, faded
	Lost    float64
	Load    Load
}

// Fleet tells the level, each class's share, and the median of mean times, 0 where none is known.
func (s *Steward) Fleet() (level float64, shares []float64, median float64) {
	return s.level, slices.Clone(s.shares), s.median
}

// Explain tells how a host stands; false where the module does not know it.
func (s *Steward) Explain(host int) (Explanation, bool) {
	if host >= len(s.servers) || !s.servers[host].seen {
		return Explanation{}, false
	}
	v := &s.servers[host]
	e := Explanation{Phase: v.phase, Out: v.out, Serving: s.serving(v), Listed: v.listed, Weight: v.weight, Want: s.want(v, false),
		Told: v.told, Rate: v.rate, R: v.r, Median: s.median, Warmth: s.warmth(v, s.guard), Trial: s.part(v), Hold: v.hold,
		Started: v.started, Strikes: v.strikes, Absent: v.absent, Fine: v.fine, Won: v.won, Lost: v.lost, Load: v.load}
	if v.r > 0 && s.median > 0 {
		e.Mu, e.Cap = v.rate+1000/v.r, capOf(v.rate, v.r, s.median)
		e.K = math.Min(e.Mu-e.Cap, e.Mu)
	}
	return e, true
}

// Stands tells whether a host is listed as ready and not withdrawn, and the part of its capacity that it has after its
// start: what a table guard looks at each round.
func (s *Steward) Stands(host int) (ready bool, warmth float64) {
	if host >= len(s.servers) || !s.servers[host].seen {
		return false, 0
	}
	v := &s.servers[host]
	return v.phase == Ready && !v.out, s.warmth(v, s.guard)
}

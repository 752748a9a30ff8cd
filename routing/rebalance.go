package routing

import (
	"math"
	"sort"
)

const (
	floorPart = 0.1  // a server keeps this part of its listed share
	driftPart = 0.05 // of the way back to the listed weight, each report round
)

// shift is the design's mechanism: from the most overloaded server, min{excess, room, sender's rate} goes
// to the roomiest, servers of the same zone first; with none over its cap the weights drift back. Both
// sides of a move wait until it shows; one too small to tell is left, since it would only hold up the next.
func (s *Balancer) shift() {
	var over, all []loaded
	total, weights := 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if !s.serving(v) {
			continue
		}
		total, weights = total+v.rate, weights+v.weight
		if s.now < v.hold || v.past.good+v.past.bad < 1 || v.r <= 0 || s.median <= 0 {
			continue
		}
		l := loaded{v, v.rate - capOf(v.rate, v.r, s.median), v.rate * (1 - floorPart*v.listed/v.weight)}
		if b := v.load.busy(); b > 0 { // several cores: R stays short until nearly all are busy
			l.excess = math.Max(l.excess, math.Min(0, v.rate*(1-shedTo/b)))
		}
		all = append(all, l)
		if math.Min(l.excess, l.can) > worthTell*v.rate {
			over = append(over, l)
		}
	}
	sort.SliceStable(over, func(i, j int) bool { return over[i].excess > over[j].excess })
	for _, o := range over {
		sort.SliceStable(all, func(i, j int) bool {
			near, other := all[i].v.zone == o.v.zone, all[j].v.zone == o.v.zone
			return near && !other || near == other && all[i].excess < all[j].excess
		})
		for i := range all {
			to := &all[i]
			move := math.Min(math.Min(o.excess, -to.excess), o.can)
			if move <= 0 || total <= 0 {
				continue
			}
			o.v.weight, to.v.weight = o.v.weight-move/total*weights, to.v.weight+move/total*weights
			o.excess, o.can, to.excess = o.excess-move, o.can-move, to.excess+move
			o.v.hold = s.now + s.settle + s.gap
			to.v.hold = o.v.hold
		}
	}
	for _, h := range s.order {
		if v := &s.servers[h]; len(over) == 0 && s.now >= v.hold {
			v.weight += driftPart * (v.listed - v.weight)
		}
	}
}

// loaded is a server's excess over its cap, below 0 room, and how much it can give.
type loaded struct {
	v           *server
	excess, can float64
}

// serving servers take part in moves: ready, in the tables with their full weight, and warm.
func (s *Balancer) serving(v *server) bool {
	return v.phase == Ready && !v.out && s.part(v) >= 1 && s.warmth(v, s.guard) >= 1
}

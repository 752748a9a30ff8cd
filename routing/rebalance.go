package routing

import (
	"math"
	"sort"
)

const (
	minWeightRatio = 0.1  // a server keeps this part of its listed share
	relaxRatio     = 0.05 // of the way back to the listed weight, each report round
)

// balanceRecord is what rebalancing keeps of a host.
type balanceRecord struct {
	weight          float64 // where transfers have put it, on the scale of the base weight
	cooldownUntilMs float64 // no transfer before
}

// rebalance is the design's mechanism: from the most overloaded server, min{excess, room, sender's rate} goes
// to the roomiest, servers of the same zone first; with none over its cap the weights drift back. Both
// sides of a move wait until it shows; one too small to tell is left, since it would only hold up the next.
func (s *Balancer) rebalance() {
	var over, all []transferParty
	total, weights := 0.0, 0.0
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if !s.rebalances(v) {
			continue
		}
		total, weights = total+v.stats.arrivalRate, weights+v.balance.weight
		if s.nowMs < v.balance.cooldownUntilMs || v.stats.window.successes+v.stats.window.failures < 1 || v.stats.meanLatencyMs <= 0 || s.fleet.medianLatencyMs <= 0 {
			continue
		}
		l := transferParty{v, v.stats.arrivalRate - deadlineCapacity(v.stats.arrivalRate, v.stats.meanLatencyMs, s.fleet.medianLatencyMs), v.stats.arrivalRate * (1 - minWeightRatio*v.endpoint.baseWeight/v.balance.weight)}
		if b := v.load.effectiveUtilization(); b > 0 { // several cores: R stays short until nearly all are busy
			l.overload = math.Max(l.overload, math.Min(0, v.stats.arrivalRate*(1-targetUtilization/b)))
		}
		all = append(all, l)
		if math.Min(l.overload, l.sheddableRate) > minWeightChange*v.stats.arrivalRate {
			over = append(over, l)
		}
	}
	sort.SliceStable(over, func(i, j int) bool { return over[i].overload > over[j].overload })
	for _, o := range over {
		sort.SliceStable(all, func(i, j int) bool {
			near, other := all[i].host.endpoint.zone == o.host.endpoint.zone, all[j].host.endpoint.zone == o.host.endpoint.zone
			return near && !other || near == other && all[i].overload < all[j].overload
		})
		for i := range all {
			to := &all[i]
			move := math.Min(math.Min(o.overload, -to.overload), o.sheddableRate)
			if move <= 0 || total <= 0 {
				continue
			}
			o.host.balance.weight, to.host.balance.weight = o.host.balance.weight-move/total*weights, to.host.balance.weight+move/total*weights
			o.overload, o.sheddableRate, to.overload = o.overload-move, o.sheddableRate-move, to.overload+move
			o.host.balance.cooldownUntilMs = s.nowMs + s.reports.settlingMs + s.reports.delayMs
			to.host.balance.cooldownUntilMs = o.host.balance.cooldownUntilMs
		}
	}
	for _, h := range s.hostOrder {
		if v := &s.hosts[h]; len(over) == 0 && s.nowMs >= v.balance.cooldownUntilMs {
			v.balance.weight += relaxRatio * (v.endpoint.baseWeight - v.balance.weight)
		}
	}
}

// transferParty is a server's excess over its cap, below 0 room, and how much it can give.
type transferParty struct {
	host                    *hostRecord
	overload, sheddableRate float64
}

// rebalances servers take part in moves: ready, in the tables with their full weight, and warm.
func (s *Balancer) rebalances(v *hostRecord) bool {
	return v.endpoint.state == Ready && !v.outlier.ejected && s.recoveryFactor(v) >= 1 && s.slowStartFactor(v, s.limits) >= 1
}

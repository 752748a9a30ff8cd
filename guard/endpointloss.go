package guard

// EndpointLossLimits bound the loss of hosts by one update of the endpoint list.
type EndpointLossLimits struct {
	MaxLossRatio float64 // fraction of the ready hosts that may be lost at once; 0: no limit
	HoldMs       float64 // ms for which a greater loss is held back; never longer than the drain grace
}

// EndpointLossGuard decides whether an endpoint list is applied. A list that loses too many ready hosts at once is
// held back until they are on it again, or until health checks or an operator confirm their loss, at most for HoldMs:
// then it is applied unchanged. It is not safe for concurrent use.
type EndpointLossGuard struct {
	limits      EndpointLossLimits
	holding     bool
	heldSinceMs float64 // start of the hold; of no meaning while not holding
}

// NewEndpointLossGuard returns a guard that holds no list back.
func NewEndpointLossGuard(limits EndpointLossLimits) *EndpointLossGuard {
	return &EndpointLossGuard{limits: limits}
}

// Observe reports whether a new list is held back at an instant. ready is the number of hosts that are ready on the
// applied list; lost, the number of these that are missing or draining on the new one; confirmed, the number of the
// lost hosts that fail health checks or that an operator removed.
func (g *EndpointLossGuard) Observe(nowMs float64, ready, lost, confirmed int) (held bool) {
	if !g.exceedsLimit(ready, lost-confirmed) {
		g.holding = false
		return false
	}
	if !g.holding {
		g.holding = true
		g.heldSinceMs = nowMs
	}
	if nowMs >= g.heldSinceMs+g.limits.HoldMs {
		g.holding = false
	}
	return g.holding
}

// exceedsLimit reports whether too many of the ready hosts are lost without a confirmation.
func (g *EndpointLossGuard) exceedsLimit(ready, unconfirmed int) bool {
	if g.limits.MaxLossRatio <= 0 || ready == 0 {
		return false
	}
	return float64(unconfirmed) > g.limits.MaxLossRatio*float64(ready)
}

// HeldUntil returns the instant in ms at which the hold ends, and whether a list is held back.
func (g *EndpointLossGuard) HeldUntil() (untilMs float64, holding bool) {
	return g.heldSinceMs + g.limits.HoldMs, g.holding
}

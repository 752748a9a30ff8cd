package guard

// EndpointLossLimits are the limits of an endpoint list update that loses many hosts at once.
type EndpointLossLimits struct {
	MaxLossRatio float64 // fraction of the ready hosts that may be lost at once; 0: any
	HoldMs       float64 // ms for which a greater loss is held back; never longer than a drain's grace
}

// EndpointLossGuard decides whether an endpoint list is applied. A list that has lost too many hosts at once is held
// back until they are on it again, their loss is confirmed, or the hold time is over: then it is applied as it is. The
// guard is not safe for concurrent use.
type EndpointLossGuard struct {
	limits      EndpointLossLimits
	holding     bool
	heldSinceMs float64 // start of the hold; of no meaning while not holding
}

// NewEndpointLossGuard returns a guard that holds nothing back yet.
func NewEndpointLossGuard(limits EndpointLossLimits) *EndpointLossGuard {
	return &EndpointLossGuard{limits: limits}
}

// Observe reports whether a list is held back. Of the hosts that are ready on the applied list, lost are missing from
// the new one or drain there; of these, confirmed fail health checks or were taken off by an operator.
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

// HeldUntil returns the instant in ms at which the hold is over, and whether there is one.
func (g *EndpointLossGuard) HeldUntil() (untilMs float64, holding bool) {
	return g.heldSinceMs + g.limits.HoldMs, g.holding
}

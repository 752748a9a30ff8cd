package guard

// EndpointLossLimits are those of a list that loses many hosts at once.
type EndpointLossLimits struct {
	MaxLossRatio float64 // part of the ready hosts that may be lost at once; 0: any
	HoldMs       float64 // ms that a greater loss is held back; never past a drain's grace
}

// EndpointLossGuard decides whether a list is believed. It is held back while it has lost too much at once, until it is whole
// again, its hold is over, or those lost are confirmed: then it is taken as it is.
type EndpointLossGuard struct {
	limits EndpointLossLimits
	heldSinceMs  float64
	holding  bool
}

// NewEndpointLossGuard makes one.
func NewEndpointLossGuard(l EndpointLossLimits) *EndpointLossGuard {
	return &EndpointLossGuard{limits: l}
}

// Observe tells whether a list is held back: of the hosts that are ready by the list believed, lost are not on the new one
// or drain there, and of those confirmed ones did not answer probes, or are taken off by an operator.
func (l *EndpointLossGuard) Observe(now float64, ready, lost, confirmed int) (held bool) {
	if l.limits.MaxLossRatio <= 0 || ready == 0 || float64(lost-confirmed) <= l.limits.MaxLossRatio*float64(ready) {
		l.holding = false
		return false
	}
	if !l.holding {
		l.holding, l.heldSinceMs = true, now
	}
	if now >= l.heldSinceMs+l.limits.HoldMs {
		l.holding = false
		return false
	}
	return true
}

// HeldUntil is when a hold is over, and whether there is one.
func (l *EndpointLossGuard) HeldUntil() (at float64, holds bool) {
	return l.heldSinceMs + l.limits.HoldMs, l.holding
}

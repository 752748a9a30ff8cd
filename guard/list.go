package guard

// ListLimits are those of a list that loses many hosts at once.
type ListLimits struct {
	Lose float64 // part of the ready hosts that may be lost at once; 0: any
	Hold float64 // ms that a greater loss is held back; never past a drain's grace
}

// Listing decides whether a list is believed. It is held back while it has lost too much at once, until it is whole
// again, its hold is over, or those lost are confirmed: then it is taken as it is.
type Listing struct {
	limits ListLimits
	since  float64
	holds  bool
}

// NewListing makes one.
func NewListing(l ListLimits) *Listing { return &Listing{limits: l} }

// Take tells whether a list is held back: of the hosts that are ready by the list believed, lost are not on the new one
// or drain there, and of those confirmed ones did not answer probes, or are taken off by an operator.
func (l *Listing) Take(now float64, ready, lost, confirmed int) (held bool) {
	if l.limits.Lose <= 0 || ready == 0 || float64(lost-confirmed) <= l.limits.Lose*float64(ready) {
		l.holds = false
		return false
	}
	if !l.holds {
		l.holds, l.since = true, now
	}
	if now >= l.since+l.limits.Hold {
		l.holds = false
		return false
	}
	return true
}

// Until is when a hold is over, and whether there is one.
func (l *Listing) Until() (at float64, holds bool) { return l.since + l.limits.Hold, l.holds }

package controller

import (
	"fmt"
	"math"

	"barleysail/operator"
	"barleysail/routing"
)

// updateEndpointHold decides whether a new endpoint list is held back because it loses too many hosts at once, and
// returns true if it is. It stores the list that is held back, and records an event when a hold begins and when it
// ends.
func (c *Controller) updateEndpointHold(entries []Endpoint) bool {
	validation := &c.validation
	if !validation.enabled || !c.endpoints.known {
		return false
	}
	loss := c.endpointLoss(entries)
	wasHeld := validation.heldEndpoints != nil
	if !validation.endpointLoss.Observe(c.nowMs, loss.ready, loss.lost, loss.confirmed) {
		if wasHeld {
			c.recordLoss("the list is believed: %d of %d ready hosts are lost, %d of them confirmed", loss)
		}
		validation.heldEndpoints = nil
		return false
	}
	if !wasHeld {
		validation.report.EndpointHolds++
		c.recordLoss("the list is held back: %d of %d ready hosts are lost at once, %d of them confirmed", loss)
	}
	validation.heldEndpoints = append([]Endpoint{}, entries...)
	return true
}

// recordLoss records an event. The format gets the numbers of lost, ready and confirmed hosts, in this order.
func (c *Controller) recordLoss(format string, loss endpointLoss) {
	c.recordEvent(eventValidation, fmt.Sprintf(format, loss.lost, loss.ready, loss.confirmed))
}

// endpointLoss counts the ready hosts of the endpoint list in effect and those that a new list loses.
type endpointLoss struct {
	ready     int // ready hosts on the list in effect
	lost      int // of these, hosts that are not ready on the new list
	confirmed int // of the lost hosts, those with an override of an operator or with failed health checks
}

// endpointLoss counts what a new list loses against the endpoint list in effect.
func (c *Controller) endpointLoss(entries []Endpoint) endpointLoss {
	staysReady := map[string]bool{}
	for _, endpoint := range entries {
		staysReady[endpoint.Host] = endpoint.State == routing.Ready
	}
	var loss endpointLoss
	for _, endpoint := range c.endpoints.received {
		if endpoint.State != routing.Ready {
			continue
		}
		loss.ready++
		if staysReady[endpoint.Host] {
			continue
		}
		loss.lost++
		if c.confirmsLoss(endpoint.Host) {
			loss.confirmed++
		}
	}
	return loss
}

// confirmsLoss reports whether the controller itself knows a reason for the loss of a host: an override or failed
// health checks.
func (c *Controller) confirmsLoss(host string) bool {
	if override, ok := c.overrides.store.Override(host); ok && override.State != operator.Listed {
		return true
	}
	explanation, ok := c.balancer.Explain(c.hostIndex.IndexOf[host])
	return ok && explanation.ConsecutiveFailures > 0
}

// recheckHeldEndpoints puts the list that is held back into effect once the hold is over or the loss is confirmed.
func (c *Controller) recheckHeldEndpoints() {
	held := c.validation.heldEndpoints
	if held != nil && !c.updateEndpointHold(held) {
		c.acceptEndpoints(held)
	}
}

// nextMs returns the time at which the hold of an endpoint list is over, +Inf if none is held back.
func (v *tableValidation) nextMs() float64 {
	if v.heldEndpoints == nil {
		return math.Inf(1)
	}
	untilMs, _ := v.endpointLoss.HeldUntil()
	return untilMs
}

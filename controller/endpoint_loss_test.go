package controller

import (
	"testing"

	"barleysail/guard"
	"barleysail/operator"
)

// An endpoint list that loses most of its hosts at once is held back for at most half of the drain grace, unless an
// override of an operator confirms the loss. If the next list is complete again, nothing is published.
func TestEndpointLossIsHeldBack(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	endpointLoss := guard.EndpointLossLimits{MaxLossRatio: 0.5, HoldMs: 60000}
	h.EnableValidation(guard.Limits{MaxTrafficShift: 0.5}, RepairSettings{}, endpointLoss)
	h.mustSetEndpoints(h.readyEndpoints(4))
	request := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	h.poll(request)
	h.advance(2000)
	h.pollAgain(request)
	h.printf("a list with one host, complete again after a second")
	h.mustSetEndpoints(h.readyEndpoints(1))
	h.advance(1000)
	h.mustSetEndpoints(h.readyEndpoints(4))
	h.advance(1000)
	h.printf("a list with one host that stays in force")
	h.mustSetEndpoints(h.readyEndpoints(1))
	h.advance(1490)
	h.printf("list held back: %v", h.ValidationReport().EndpointsHeld)
	h.advance(100)
	h.printf("list held back: %v", h.ValidationReport().EndpointsHeld)
	h.pollAgain(request)
	h.mustSetEndpoints(h.readyEndpoints(4))
	h.advance(12000)
	h.pollAgain(request)
	h.printf("confirmed by an operator")
	for _, host := range []string{hostName(1), hostName(2)} {
		h.applyOverrides(operator.Command{Host: host, State: operator.Maintenance, Weight: -1})
	}
	h.mustSetEndpoints(h.readyEndpoints(1))
	h.printf("list held back: %v", h.ValidationReport().EndpointsHeld)
	h.checkTrace()
}

package controller

import (
	"testing"

	"barleysail/guard"
	"barleysail/operator"
)

// A list that loses most of its hosts at once is held back, for half the grace at most, unless an operator took them
// off; whole again it changes nothing.
func TestEndpointLossIsHeldBack(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.EnableValidation(guard.Limits{MaxTrafficShift: 0.5}, RepairSettings{}, guard.EndpointLossLimits{MaxLossRatio: 0.5, HoldMs: 60000})
	d.mustSetEndpoints(d.readyEndpoints(4))
	q := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	d.poll(q)
	d.advance(2000)
	d.pollAgain(q)
	d.printf("a list with one host, whole again after a second")
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.advance(1000)
	d.mustSetEndpoints(d.readyEndpoints(4))
	d.advance(1000)
	d.printf("a list with one host that stays so")
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.advance(1490)
	d.printf("held %v", d.ValidationReport().ListHeld)
	d.advance(100)
	d.printf("held %v", d.ValidationReport().ListHeld)
	d.pollAgain(q)
	d.mustSetEndpoints(d.readyEndpoints(4))
	d.advance(12000)
	d.pollAgain(q)
	d.printf("confirmed by an operator")
	for _, h := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		d.applyOverrides(operator.Command{Host: h, State: operator.Maintenance, Weight: -1})
	}
	d.mustSetEndpoints(d.readyEndpoints(1))
	d.printf("held %v", d.ValidationReport().ListHeld)
	d.checkTrace()
}

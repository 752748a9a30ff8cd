package controller

import (
	"strings"
	"testing"

	"barleysail/routing"
)

// Solver weights take effect once the demand makes them worth the updates, once, and follow the capacity of the hosts.
// While the solver is off, or a host gives no cores, the weights of the endpoint list stand.
func TestSolverWeights(t *testing.T) {
	h, list := newUnevenHarness(t, true)
	h.hideNotModified = true
	h.printf("little demand: nothing is worth an order")
	h.reportDemand(6, 1)
	h.printf("much")
	h.reportDemand(30, 22)
	h.printf("weights %v", h.baseWeights())
	gap := h.solverGap()
	if gap == nil || gap.BestValue < 0.98 || gap.ObjectiveValue < 0.92 || gap.Overloaded[hostName(0)] > 1.1 {
		t.Errorf("gap %+v", gap)
	}
	h.printf("a host that tells no cores")
	list = append(list, Endpoint{Host: hostName(9), Zone: "a", State: routing.Ready, Weight: 1})
	h.mustSetEndpoints(list)
	h.reportDemand(12, 22)
	h.checkTrace()

	off, _ := newUnevenHarness(t, false)
	off.reportDemand(30, 22)
	if gap := off.solverGap(); gap == nil || gap.ObjectiveValue > 0.8 || gap.Overloaded[hostName(0)] < 2 {
		t.Errorf("without solver weights: gap %+v", gap)
	}
	if strings.Contains(off.trace.String(), "solved") || off.baseWeights()[hostName(1)] != 1 {
		t.Errorf("switched off:\n%s", off.trace.String())
	}
}

// Where the control channel is expensive, weights that gain less than their updates cost do not take effect.
func TestSolverWeightsAtCost(t *testing.T) {
	for _, test := range []struct {
		name        string
		expensive   bool
		wantRenewed bool
	}{{"cheap", false, true}, {"expensive", true, false}} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newUnevenHarness(t, true)
			h.hideNotModified = true
			if test.expensive {
				h.channel.cost = 2000 // two messages of ten entries in five seconds cost more than the whole result
			}
			h.reportDemand(30, 22)
			if renewed := strings.Contains(h.trace.String(), "solver weights applied"); renewed != test.wantRenewed {
				t.Errorf("renewed %v, want %v:\n%s", renewed, test.wantRenewed, h.trace.String())
			}
		})
	}
}

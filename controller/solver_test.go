package controller

import (
	"strings"
	"testing"

	"barleysail/routing"
)

// solverLogPrefix begins the log line of new solver weights.
const solverLogPrefix = "solver weights applied"

// Solver weights follow the capacity of the hosts. They are applied once, when the demand makes them gain more than
// their updates cost. While the solver is off, or a host has no cores given, the weights of the endpoint list apply.
func TestSolverWeights(t *testing.T) {
	h, list := newUnevenHarness(t, true)
	h.hideNotModified = true
	h.printf("little demand: no weights are worth their updates")
	h.reportDemand(6, 1)
	h.printf("much demand")
	h.reportDemand(30, 22)
	h.printf("base weights %v", h.baseWeights())
	gap := h.solverGap()
	if gap == nil || gap.BestValue < 0.98 || gap.ObjectiveValue < 0.92 || gap.Overloaded[hostName(0)] > 1.1 {
		t.Errorf("the gap is %+v, want the best at 0.98, the result at 0.92 and the small host at 1.1 or better", gap)
	}
	h.printf("a host without cores given")
	list = append(list, Endpoint{Host: hostName(9), Zone: "a", State: routing.Ready, Weight: 1})
	h.mustSetEndpoints(list)
	h.reportDemand(12, 22)
	h.checkTrace()

	off, _ := newUnevenHarness(t, false)
	off.reportDemand(30, 22)
	if gap := off.solverGap(); gap == nil || gap.ObjectiveValue > 0.8 || gap.Overloaded[hostName(0)] < 2 {
		t.Errorf("without solver weights the gap is %+v, want a result of at most 0.8 and the small host at 2 or more", gap)
	}
	if strings.Contains(off.trace.String(), solverLogPrefix) || off.baseWeights()[hostName(1)] != 1 {
		t.Errorf("without solver weights the base weights are %v, want the listed ones and no log line:\n%s",
			off.baseWeights(), off.trace.String())
	}
}

// If the control channel is expensive, solver weights that gain less than their updates cost are not applied.
func TestSolverWeightsAtCost(t *testing.T) {
	for _, test := range []struct {
		name        string
		expensive   bool
		wantApplied bool
	}{{"cheap", false, true}, {"expensive", true, false}} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newUnevenHarness(t, true)
			h.hideNotModified = true
			if test.expensive {
				h.channel.cost = 2000 // two messages of ten entries in five seconds cost more than the whole objective
			}
			h.reportDemand(30, 22)
			if applied := strings.Contains(h.trace.String(), solverLogPrefix); applied != test.wantApplied {
				t.Errorf("solver weights applied: %v, want %v:\n%s", applied, test.wantApplied, h.trace.String())
			}
		})
	}
}

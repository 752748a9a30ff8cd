package controller

import (
	"strings"
	"testing"

	"barleysail/routing"
)

// Solved weights are told when the demand makes them worth it, once, and go by the hosts' caps; switched off, or
// without cores told, the list's own stand.
func TestSolverWeights(t *testing.T) {
	d, list := newUnevenHarness(t, true)
	n := int64(0)
	d.hideNotModified = true
	d.printf("little demand: nothing is worth an order")
	d.reportDemand(6, 1, &n)
	d.printf("much")
	d.reportDemand(30, 22, &n)
	d.printf("weights %v", d.baseWeights())
	if g := d.solverGap(); g == nil || g.Best < 0.98 || g.Result < 0.92 || g.Over["10.0.0.0:80"] > 1.1 {
		t.Errorf("gap %+v", g)
	}
	d.printf("a host that tells no cores")
	list = append(list, Endpoint{Host: "10.0.0.9:80", Zone: "a", State: routing.Ready, Weight: 1})
	d.mustSetEndpoints(list)
	d.reportDemand(12, 22, &n)
	d.checkTrace()
	off, _ := newUnevenHarness(t, false)
	n = 0
	off.reportDemand(30, 22, &n)
	if g := off.solverGap(); g == nil || g.Result > 0.8 || g.Over["10.0.0.0:80"] < 2 {
		t.Errorf("without solved weights: gap %+v", g)
	}
	if strings.Contains(off.trace.String(), "solved") || off.baseWeights()["10.0.0.1:80"] != 1 {
		t.Errorf("switched off:\n%s", off.trace.String())
	}
}

// Where the channel is dear a renewal that gains less than its lines cost is not told.
func TestSolverWeightsAtCost(t *testing.T) {
	for _, dear := range []bool{false, true} {
		d, _ := newUnevenHarness(t, true)
		n := int64(0)
		d.hideNotModified = true
		if dear {
			d.channel.cost = 2000 // two messages of ten lines in five seconds at this price cost more than all
		}
		d.reportDemand(30, 22, &n)
		if told := strings.Contains(d.trace.String(), "solved weights renewed"); told == dear {
			t.Errorf("dear %v, told %v:\n%s", dear, told, d.trace.String())
		}
	}
}

package controller

import (
	"strings"
	"testing"

	"barleysail/routing"
	"barleysail/solver"
)

// uneven is a steward whose hosts differ, though the list weighs them alike, under a demand that fills the small ones.
func uneven(t *testing.T, on bool) (*desk, []Endpoint) {
	d := open(t, settings())
	if on {
		d.EnableSolver(5000, 0.01)
	}
	list := d.hosts(4)
	for i := range list {
		list[i].Cores, list[i].Speed = float64(2+4*(i%2)), 1
	}
	d.list(list)
	d.poll(PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true})
	d.poll(PollRequest{Proxy: "q", Zone: "b", WaitMs: 60000, AcceptDelta: true})
	return d, list
}

// gap of the tables that the proxies have.
func (d *desk) gap() *solver.Gap {
	p, t := d.CurrentProblem()
	if p == nil {
		return nil
	}
	g, err := p.Measure(t)
	if err != nil {
		d.t.Fatal(err)
	}
	return g
}

// tagOf is the tag of a proxy's newest version, as it would poll with.
func (d *desk) tagOf(name string) string {
	if m := d.members.byName[name]; m != nil && len(m.versions) > 0 {
		return d.tag(m.versions[len(m.versions)-1].number)
	}
	return ""
}

// work lets seconds pass in which each proxy tells of so many transactions of either class.
func (d *desk) work(seconds, came int, numbers *int64) {
	for range seconds {
		*numbers++
		for i, p := range []string{"p", "q"} {
			d.poll(PollRequest{Proxy: p, Zone: d.fleet.Zones[i], WaitMs: 900, Tags: []string{d.tagOf(p)}, AcceptDelta: true})
			d.ObserveProxyStats(d.at, p, ProxyStats{Sequence: *numbers, Demand: map[string]ClassDemand{"sheet": {Arrivals: came, WindowMs: 1000}, "finish": {Arrivals: came, WindowMs: 1000}}})
		}
		d.run(1000)
	}
}

// Solved weights are told when the demand makes them worth it, once, and go by the hosts' caps; switched off, or
// without cores told, the list's own stand.
func TestSolvedWeights(t *testing.T) {
	d, list := uneven(t, true)
	n := int64(0)
	d.quiet = true
	d.say("little demand: nothing is worth an order")
	d.work(6, 1, &n)
	d.say("much")
	d.work(30, 22, &n)
	d.say("weights %v", d.weights())
	if g := d.gap(); g == nil || g.Best < 0.98 || g.Result < 0.92 || g.Over["10.0.0.0:80"] > 1.1 {
		t.Errorf("gap %+v", g)
	}
	d.say("a host that tells no cores")
	list = append(list, Endpoint{Host: "10.0.0.9:80", Zone: "a", State: routing.Ready, Weight: 1})
	d.list(list)
	d.work(12, 22, &n)
	d.check()
	off, _ := uneven(t, false)
	n = 0
	off.work(30, 22, &n)
	if g := off.gap(); g == nil || g.Result > 0.8 || g.Over["10.0.0.0:80"] < 2 {
		t.Errorf("without solved weights: gap %+v", g)
	}
	if strings.Contains(off.trace.String(), "solved") || off.weights()["10.0.0.1:80"] != 1 {
		t.Errorf("switched off:\n%s", off.trace.String())
	}
}

// Where the channel is dear a renewal that gains less than its lines cost is not told.
func TestSolvedWeightsAtAPrice(t *testing.T) {
	for _, dear := range []bool{false, true} {
		d, _ := uneven(t, true)
		n := int64(0)
		d.quiet = true
		if dear {
			d.channel.price = 2000 // two messages of ten lines in five seconds at this price cost more than all
		}
		d.work(30, 22, &n)
		if told := strings.Contains(d.trace.String(), "solved weights renewed"); told == dear {
			t.Errorf("dear %v, told %v:\n%s", dear, told, d.trace.String())
		}
	}
}

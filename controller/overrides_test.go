package controller

import (
	"testing"

	"barleysail/operator"
	"barleysail/routing"
)

// What operators set is laid over the list, survives a changed list, is told to proxies as the list's own would be, and
// ends at its time; a zone's drain goes host by host.
func TestOverrides(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.applyOverrides(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1})
	d.mustSetEndpoints(d.readyEndpoints(4))
	q := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	d.poll(q)
	d.advance(3000)
	d.pollAgain(q)
	d.applyOverrides(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "x"})
	d.advance(3000)
	d.printf("the list changes: the drain stays")
	list := d.readyEndpoints(4)
	list[1].Weight = 2
	d.pollAgain(q)
	d.mustSetEndpoints(list)
	d.advance(3000)
	d.printf("maint is a removal, a host that is added joins")
	d.pollAgain(q)
	d.applyOverrides(operator.Command{Host: "10.0.0.2:80", State: operator.Maintenance, Weight: -1})
	d.applyOverrides(operator.Command{Host: "10.0.0.9:80", Weight: -1, Add: &operator.AddedHost{Zone: "a", Weight: 1, StartedMs: 1}})
	d.applyOverrides(operator.Command{Host: "10.0.0.9:81", Weight: -1, Add: &operator.AddedHost{Zone: "c", Weight: 1}})
	d.advance(6000)
	d.pollAgain(q)
	d.advance(12000)
	d.pollAgain(q)
	d.printf("hosts")
	for _, h := range d.HostInfos() {
		word := ""
		if h.Operator != nil {
			word = h.Operator.State
		}
		d.printf("%s %s listed %g told %g %s", h.Host, h.Phase, h.Listed, h.Weight, word)
	}
	d.printf("a zone")
	d.applyOverrides(operator.Command{Host: "10.0.0.1:80", State: operator.Draining, Weight: -1, Queue: true}, operator.Command{Host: "10.0.0.3:80", State: operator.Draining, Weight: -1, Queue: true})
	for range 5 {
		d.pollAgain(q)
		d.advance(2000)
	}
	for _, e := range d.Events(2) {
		d.printf("event %d %s: %s", e.Number, e.Kind, e.Text)
	}
	d.checkTrace()
}

// A withdrawal in the same round as an operator's weight is carried out: the weight is an input, not a way round.
func TestWeightOverrideOfEjectedHost(t *testing.T) {
	set := defaultTestSettings()
	set.HealthChecks = true
	d := newHarness(t, set)
	d.hideNotModified = true
	d.mustSetEndpoints(d.readyEndpoints(4))
	q := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	d.poll(q)
	d.advance(3000)
	for range 6 {
		d.pollAgain(q)
		for _, host := range d.healthChecks {
			how := routing.Healthy
			if host == "10.0.0.0:80" {
				how = routing.Unreachable
			}
			d.ObserveHealthCheck(d.nowMs, host, how, routing.UnknownLoad)
		}
		d.healthChecks = nil
		d.ApplyOverrides(d.nowMs, []operator.Command{{Host: "10.0.0.0:80", Weight: 1.5, KeepState: true}}, d)
		d.advance(1500)
	}
	for _, h := range d.HostInfos() {
		if h.Host == "10.0.0.0:80" && (!h.Withdrawn || h.Weight != 0 || h.Listed != 1.5) {
			t.Errorf("%+v", h)
		}
	}
	if len(d.HostInfos()[1].Moves) == 0 || d.HostInfos()[0].Why.ConsecutiveFailures == 0 {
		t.Errorf("%+v", d.HostInfos()[:2])
	}
}

// An order that ends or waits is looked at in time though nothing else happens.
func TestOverrideExpiresInTime(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.hideNotModified = true
	d.mustSetEndpoints(d.readyEndpoints(4))
	d.advance(3000)
	d.applyOverrides(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1, DurationMs: 7500})
	if d.Next() > d.nowMs+7500 {
		t.Errorf("next at %.0f of %.0f", d.Next(), d.nowMs)
	}
	d.advance(7400)
	if h, _ := d.HostInfo("10.0.0.0:80"); h.Phase != "draining" {
		t.Errorf("%+v", h)
	}
	d.advance(101)
	if h, _ := d.HostInfo("10.0.0.0:80"); h.Phase != "ready" {
		t.Errorf("%+v", h)
	}
}

package controller

import (
	"testing"

	"barleysail/operator"
	"barleysail/routing"
)

func (d *desk) operate(orders ...operator.Command) {
	waits, err := d.ApplyOverrides(d.at, orders, d)
	d.say("%s: waits %v, %v", describeOrder(orders[0]), waits, err)
}

// hold polls until the proxy has what is newest.
func (d *desk) hold(q PollRequest) {
	q.Tags = []string{d.tagOf(q.Proxy)}
	d.poll(q)
}

// What operators set is laid over the list, survives a changed list, is told to proxies as the list's own would be, and
// ends at its time; a zone's drain goes host by host.
func TestOperate(t *testing.T) {
	d := open(t, settings())
	d.operate(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1})
	d.list(d.hosts(4))
	q := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	d.poll(q)
	d.run(3000)
	d.hold(q)
	d.operate(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "x"})
	d.run(3000)
	d.say("the list changes: the drain stays")
	list := d.hosts(4)
	list[1].Weight = 2
	d.hold(q)
	d.list(list)
	d.run(3000)
	d.say("maint is a removal, a host that is added joins")
	d.hold(q)
	d.operate(operator.Command{Host: "10.0.0.2:80", State: operator.Maintenance, Weight: -1})
	d.operate(operator.Command{Host: "10.0.0.9:80", Weight: -1, Add: &operator.AddedHost{Zone: "a", Weight: 1, StartedMs: 1}})
	d.operate(operator.Command{Host: "10.0.0.9:81", Weight: -1, Add: &operator.AddedHost{Zone: "c", Weight: 1}})
	d.run(6000)
	d.hold(q)
	d.run(12000)
	d.hold(q)
	d.say("hosts")
	for _, h := range d.HostInfos() {
		word := ""
		if h.Operator != nil {
			word = h.Operator.State
		}
		d.say("%s %s listed %g told %g %s", h.Host, h.Phase, h.Listed, h.Weight, word)
	}
	d.say("a zone")
	d.operate(operator.Command{Host: "10.0.0.1:80", State: operator.Draining, Weight: -1, Queue: true}, operator.Command{Host: "10.0.0.3:80", State: operator.Draining, Weight: -1, Queue: true})
	for range 5 {
		d.hold(q)
		d.run(2000)
	}
	for _, e := range d.Events(2) {
		d.say("event %d %s: %s", e.Number, e.Kind, e.Text)
	}
	d.check()
}

// A withdrawal in the same round as an operator's weight is carried out: the weight is an input, not a way round.
func TestWeightAndWithdrawal(t *testing.T) {
	set := settings()
	set.HealthChecks = true
	d := open(t, set)
	d.quiet = true
	d.list(d.hosts(4))
	q := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	d.poll(q)
	d.run(3000)
	for range 6 {
		d.hold(q)
		for _, host := range d.probes {
			how := routing.Healthy
			if host == "10.0.0.0:80" {
				how = routing.Unreachable
			}
			d.ObserveHealthCheck(d.at, host, how, routing.UnknownLoad)
		}
		d.probes = nil
		d.ApplyOverrides(d.at, []operator.Command{{Host: "10.0.0.0:80", Weight: 1.5, KeepState: true}}, d)
		d.run(1500)
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
func TestOrdersInTheirTime(t *testing.T) {
	d := open(t, settings())
	d.quiet = true
	d.list(d.hosts(4))
	d.run(3000)
	d.operate(operator.Command{Host: "10.0.0.0:80", State: operator.Draining, Weight: -1, DurationMs: 7500})
	if d.Next() > d.at+7500 {
		t.Errorf("next at %.0f of %.0f", d.Next(), d.at)
	}
	d.run(7400)
	if h, _ := d.HostInfo("10.0.0.0:80"); h.Phase != "draining" {
		t.Errorf("%+v", h)
	}
	d.run(101)
	if h, _ := d.HostInfo("10.0.0.0:80"); h.Phase != "ready" {
		t.Errorf("%+v", h)
	}
}

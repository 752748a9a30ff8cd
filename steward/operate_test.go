package steward

import (
	"testing"

	"barleysail/decide"
	"barleysail/operator"
)

func (d *desk) operate(orders ...operator.Order) {
	waits, err := d.Operate(d.at, orders, d)
	d.say("%s: waits %v, %v", describeOrder(orders[0]), waits, err)
}

// hold polls until the proxy has what is newest.
func (d *desk) hold(q Query) {
	q.Tags = []string{d.tagOf(q.Proxy)}
	d.poll(q)
}

// What operators set is laid over the list, survives a changed list, is told to proxies as the list's own would be, and
// ends at its time; a zone's drain goes host by host.
func TestOperate(t *testing.T) {
	d := open(t, settings())
	d.operate(operator.Order{Host: "10.0.0.0:80", State: operator.Drain, Weight: -1})
	d.list(d.hosts(4))
	q := Query{Proxy: "p", Wait: 60000, Delta: true}
	d.poll(q)
	d.run(3000)
	d.hold(q)
	d.operate(operator.Order{Host: "10.0.0.0:80", State: operator.Drain, Weight: -1, For: 20000, By: "x"})
	d.run(3000)
	d.say("the list changes: the drain stays")
	list := d.hosts(4)
	list[1].Weight = 2
	d.hold(q)
	d.list(list)
	d.run(3000)
	d.say("maint is a removal, a host that is added joins")
	d.hold(q)
	d.operate(operator.Order{Host: "10.0.0.2:80", State: operator.Maint, Weight: -1})
	d.operate(operator.Order{Host: "10.0.0.9:80", Weight: -1, Add: &operator.Added{Zone: "a", Weight: 1, Started: 1}})
	d.operate(operator.Order{Host: "10.0.0.9:81", Weight: -1, Add: &operator.Added{Zone: "c", Weight: 1}})
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
	d.operate(operator.Order{Host: "10.0.0.1:80", State: operator.Drain, Weight: -1, Wait: true}, operator.Order{Host: "10.0.0.3:80", State: operator.Drain, Weight: -1, Wait: true})
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
	set.MayProbe = true
	d := open(t, set)
	d.quiet = true
	d.list(d.hosts(4))
	q := Query{Proxy: "p", Wait: 60000, Delta: true}
	d.poll(q)
	d.run(3000)
	for range 6 {
		d.hold(q)
		for _, host := range d.probes {
			how := decide.Fine
			if host == "10.0.0.0:80" {
				how = decide.Unreachable
			}
			d.Probed(d.at, host, how, decide.NoLoad)
		}
		d.probes = nil
		d.Operate(d.at, []operator.Order{{Host: "10.0.0.0:80", Weight: 1.5, Keep: true}}, d)
		d.run(1500)
	}
	for _, h := range d.HostInfos() {
		if h.Host == "10.0.0.0:80" && (!h.Withdrawn || h.Weight != 0 || h.Listed != 1.5) {
			t.Errorf("%+v", h)
		}
	}
	if len(d.HostInfos()[1].Moves) == 0 || d.HostInfos()[0].Why.Strikes == 0 {
		t.Errorf("%+v", d.HostInfos()[:2])
	}
}

// An order that ends or waits is looked at in time though nothing else happens.
func TestOrdersInTheirTime(t *testing.T) {
	d := open(t, settings())
	d.quiet = true
	d.list(d.hosts(4))
	d.run(3000)
	d.operate(operator.Order{Host: "10.0.0.0:80", State: operator.Drain, Weight: -1, For: 7500})
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

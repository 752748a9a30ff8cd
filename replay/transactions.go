package replay

import (
	"fmt"
	"slices"

	"barleysail/controller"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
	"barleysail/routing"
)

// carried is a transaction on its way.
type carried struct {
	class    string
	k        int
	came     float64
	work     float64
	patience float64
	due      float64
	id       string
	tried    []string
	old      *controller.Table // what the proxy went by in the record, nil: not known
	recorded []*recordpb.Try   // the tries of the record
	tries    int
	ran      int // tries that ran, or may have
}

// transaction plays one at the time at which it came.
func (e *engine) transaction(name, zone string, t *recordpb.Transaction, works []tryWork) {
	k, ok := e.class[t.Class]
	if !ok {
		return
	}
	p, c := e.proxy(name, zone), e.set.Classes[k]
	e.came(t.Class, zone)
	w := e.window(t.Came)
	w.Offered[k] += c.PriorityWeight
	earned := 0.0
	if last := len(t.Tries) - 1; t.Fulfilled && t.Tries[last].At+t.Tries[last].Took-t.Came <= c.LatencyObjectiveMs {
		earned = c.PriorityWeight
	}
	w.Recorded[k] += earned
	u := p.sums.Demand[t.Class]
	u.Arrivals++
	p.sums.Demand[t.Class] = u
	e.counter++
	x := &carried{class: t.Class, k: k, came: e.now, patience: c.DeadlineMs, due: c.LatencyObjectiveMs, work: e.work(t, works),
		id: fmt.Sprintf("%s-%d", name, e.counter)}
	table := p.tables[t.Class]
	if !table.Assigned { // it went by hosts of its own, which no steward ordered
		e.out.UnroutedRequests++
		w.Replayed[k] += earned
		return
	}
	x.old, x.recorded = p.going.by(t.Class), t.Tries
	if !e.letIn(table.AdmissionRatio, x.old, t.LetIn) {
		return
	}
	x.tries = table.RetryPolicy
	e.try(p, x)
}

// was gives the host of the next try in the record, as long as the tries before it were the same; "": there is none.
func (x *carried) was() string {
	n := len(x.tried)
	if n >= len(x.recorded) {
		return ""
	}
	for i, host := range x.tried {
		if x.recorded[i].Host != host {
			return ""
		}
	}
	return x.recorded[n].Host
}

// work is what a transaction took against its class's usual time, as far as its record tells.
func (e *engine) work(t *recordpb.Transaction, works []tryWork) float64 {
	for k, x := range t.Tries {
		if response.Result(x.Result) == response.Fulfilled {
			return e.scan.model.RelativeWork(t.Class, x.Host, works[k].begin, works[k].service)
		}
	}
	return 1
}

// window gives the window of a time.
func (e *engine) window(at float64) *Window {
	i := max(int((at-e.out.FromMs)/windowLength), 0)
	n := len(e.out.Classes)
	for len(e.out.Windows) <= i {
		e.out.Windows = append(e.out.Windows, Window{make([]float64, n), make([]float64, n), make([]float64, n)})
	}
	return &e.out.Windows[i]
}

// try makes a try by the proxy's present table, at a host that was not tried.
func (e *engine) try(p *proxy, x *carried) {
	table, tried := p.tables[x.class], func(host string) bool { return slices.Contains(x.tried, host) }
	host, ok := e.draw(&table, x.old, x.was(), func(host string) bool { return tried(host) || e.now < p.shunned[host].until })
	if !ok {
		host, ok = e.pick(&table, tried)
	}
	if !ok {
		e.lost(p, x)
		return
	}
	began := e.now
	done, how := e.hosts.Respond(x.class, host, e.now, x.work, x.came+x.patience-e.now)
	fit := e.scan.model.Parameters(host)
	e.journal.LogAttempt(e.now, host, p.name, x.class, x.id, e.scan.model.ServiceTime(x.class, host, e.now)/fit.ServiceTimeFactor*x.work, how != response.NeverRan)
	x.tried = append(x.tried, host)
	if how != response.NeverRan {
		x.ran++
	}
	if e.set.Limits.NonIdempotentClasses[x.class] && len(x.tried) == 1 {
		e.once++
	}
	if e.set.Limits.NonIdempotentClasses[x.class] && x.ran == 2 {
		e.doubled++
	}
	e.dues.Schedule(done, func() { e.ended(p, x, host, began, how) })
}

func (e *engine) ended(p *proxy, x *carried, host string, began float64, how response.Result) {
	v, met := p.sums.Hosts[host]
	if !met {
		v.Load = routing.UnknownLoad
	}
	if v.Attempts++; how == response.Fulfilled {
		v.MeanLatencyMs += e.now - began // a sum until it is reported
		if e.scan.loads {
			util, queue := e.hosts.Load(host, e.now)
			v.Load = routing.HostLoad{Utilization: util, RequestRate: -1, QueueLength: queue} // the newest is reported
		}
	} else {
		v.Failed++
	}
	p.sums.Hosts[host] = v
	p.met(host, how, e.now)
	switch {
	case how == response.Fulfilled:
		if e.now-x.came <= x.due {
			e.window(x.came).Replayed[x.k] += e.set.Classes[x.k].PriorityWeight
		}
	case e.now < x.came+x.patience && again(x.tries, len(x.tried), how, p.repeats[x.class]):
		e.try(p, x)
	default:
		e.lost(p, x)
	}
}

// met has a proxy shun a host that failed it so many times in a row, as package client does.
func (p *proxy) met(host string, how response.Result, now float64) {
	if p.ejects == 0 {
		return
	}
	if how == response.Fulfilled {
		delete(p.shunned, host)
		return
	}
	s := p.shunned[host]
	if s.failures++; s.failures >= p.ejects {
		s = shun{until: now + p.shuns}
	}
	p.shunned[host] = s
}

// shun is what a proxy remembers of a host that failed it.
type shun struct {
	failures int // in a row
	until    float64
}

// again tells whether a proxy tries again after so many tries: as its table says.
func again(tries, made int, last response.Result, repeats bool) bool {
	most := tries
	if tries > 1 {
		most = tries - 1
	}
	return made <= most && (last == response.NeverRan || tries > 1 && repeats)
}

func (e *engine) lost(p *proxy, x *carried) {
	if u := p.sums.Demand[x.class]; u.NoResponse < u.Arrivals {
		u.NoResponse++
		p.sums.Demand[x.class] = u
	}
}

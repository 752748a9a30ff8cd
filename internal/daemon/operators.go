package daemon

import (
	"sync"
	"time"

	"barleysail/controller"
	"barleysail/internal/runtimeapi"
	"barleysail/operator"
)

// Operators is the operators' view of a controller, for the HTTP API and the runtime sockets alike.
type Operators struct {
	loop *controllerLoop
}

var _ runtimeapi.Controller = (*Operators)(nil)

// Hosts gives the state of all hosts.
func (o *Operators) Hosts() []controller.HostInfo {
	return query(o.loop, (*controller.Controller).HostInfos)
}

// Host gives the state of one host; ok is false where it is not known.
func (o *Operators) Host(name string) (info controller.HostInfo, ok bool) {
	o.loop.call(func(float64) { info, ok = o.loop.controller.HostInfo(name) })
	return info, ok
}

// Proxies gives the sessions of all proxies.
func (o *Operators) Proxies() []controller.ProxyInfo {
	return query(o.loop, (*controller.Controller).ProxyInfos)
}

// PublishedTables gives the tables that were last sent to a proxy; ok is false where there are none.
func (o *Operators) PublishedTables(proxy string) (response controller.Response, ok bool) {
	o.loop.call(func(float64) { response, ok = o.loop.controller.PublishedTables(proxy) })
	return response, ok
}

// Status gives the controller's status.
func (o *Operators) Status() controller.Status { return o.loop.status() }

// ApplyCommands applies commands; waits tells that some of them are queued for their turn. A command that would break a
// rule is a *operator.RejectedError.
func (o *Operators) ApplyCommands(commands ...operator.Command) (waits bool, err error) {
	return o.loop.applyOverrides(commands)
}

// Events calls deliver with the events after a number: at once where there are some or wait is not positive, and
// otherwise from another goroutine when one comes or the wait is over. deliver is called once at most; cancel ends the
// wait.
func (o *Operators) Events(after int64, wait time.Duration, deliver func([]controller.Event)) (cancel func()) {
	read := func() []controller.Event {
		return query(o.loop, func(instance *controller.Controller) []controller.Event { return instance.Events(after) })
	}
	events := read()
	if len(events) > 0 || wait <= 0 {
		deliver(events)
		return func() {}
	}
	var once sync.Once
	deliverOnce := func() { once.Do(func() { deliver(read()) }) }
	// The subscription may be notified with the loop's mutex held, and read takes it: so another goroutine, which ends
	// when the events are delivered.
	unsubscribe := o.loop.subscribeEvents(after, func() { go deliverOnce() })
	timer := time.AfterFunc(wait, deliverOnce)
	return func() {
		unsubscribe()
		timer.Stop()
		once.Do(func() {})
	}
}

package daemon

import (
	"sync"
	"time"

	"barleysail/controller"
	"barleysail/internal/runtimeapi"
	"barleysail/operator"
)

// Operators is the operators' view of a controller, which the HTTP API and the runtime sockets share. Its methods may
// be called by any goroutine.
type Operators struct {
	loop      *controllerLoop
	persister *persister // nil: no state is persisted
}

// NotStoredError is the error of a command that could not be stored in the state folder.
type NotStoredError struct {
	InEffect bool // the command applies until a restart; otherwise it was refused
	Cause    error
}

func (e *NotStoredError) Error() string {
	if e.InEffect {
		return "the command is in effect but could not be stored, a restart forgets it: " + e.Cause.Error()
	}
	return "the command is refused, it could not be stored: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

var _ runtimeapi.Controller = (*Operators)(nil)

// Hosts returns the state of all hosts, by name.
func (o *Operators) Hosts() []controller.HostInfo {
	return query(o.loop, (*controller.Controller).HostInfos)
}

// Host returns the state of one host; ok is false if it is not known.
func (o *Operators) Host(name string) (info controller.HostInfo, ok bool) {
	o.loop.call(func(float64) { info, ok = o.loop.controller.HostInfo(name) })
	return info, ok
}

// Proxies returns the sessions of all proxies.
func (o *Operators) Proxies() []controller.ProxyInfo {
	return query(o.loop, (*controller.Controller).ProxyInfos)
}

// PublishedTables returns the tables that were last sent to a proxy; ok is false if there are none.
func (o *Operators) PublishedTables(proxy string) (response controller.Response, ok bool) {
	o.loop.call(func(float64) { response, ok = o.loop.controller.PublishedTables(proxy) })
	return response, ok
}

// Status returns the controller's status.
func (o *Operators) Status() controller.Status { return o.loop.status() }

// ApplyCommands applies commands of an operator, and reports whether any of them is queued until it can be applied. If
// a state folder is configured, the commands are on disk when it returns. The error is an *operator.RejectedError for a
// command that would break a rule, a *controller.FieldError for an invalid host to be added, or a *NotStoredError; no
// command is applied then, unless NotStoredError.InEffect is set.
func (o *Operators) ApplyCommands(commands ...operator.Command) (queued bool, err error) {
	if err := o.persister.checkWritable(); err != nil {
		return false, &NotStoredError{Cause: err}
	}
	queued, err = o.loop.applyOverrides(commands)
	if err != nil || o.persister == nil {
		return queued, err
	}
	if err := o.persister.save(); err != nil {
		return queued, &NotStoredError{InEffect: true, Cause: err}
	}
	return queued, nil
}

// Events calls deliver with the events that have a number greater than after: at once if there are any or if wait is
// not positive, and otherwise from another goroutine, when there is one or the wait is over. deliver is called at most
// once, and not after cancel, which ends the wait.
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
	// A subscriber may be notified with the loop's mutex held, which read locks. So another goroutine reads the events;
	// it ends when they are delivered.
	unsubscribe := o.loop.subscribeEvents(after, func() { go deliverOnce() })
	timer := time.AfterFunc(wait, deliverOnce)
	return func() {
		unsubscribe()
		timer.Stop()
		once.Do(func() {})
	}
}

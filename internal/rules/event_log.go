// Package rules checks the invariants of a controller by the traffic on its sockets: the endpoint lists that
// controllers could read, the tables that proxies received, and the requests that hosts received. It uses a
// controller's own figure only where the traffic is inconclusive (EventLog.LogMaxBacklog). It owns the log of these
// events and the checks, and does no I/O. All times are ms on one clock.
package rules

import (
	"fmt"
	"sort"
	"sync"
)

// Limits are the limits that the invariants are checked against.
type Limits struct {
	EmptyTableMs           float64         // ms for which a connected proxy may have no host for a class
	DrainGraceMs           float64         // drain grace: ms after which a draining or removed host must get no request
	SlowStartInitialFactor float64         // fraction of its capacity that a host has at its start
	SlowStartMs            float64         // length of the slow start in ms, in which that fraction grows to 1
	CollapseMultiple       float64         // load, as a multiple of its capacity, at which a host in slow start collapses
	CollapseMs             float64         // ms of that load after which it collapses
	EntriesPerSecond       float64         // throughput of a controller's control channel, in table entries a second
	MessageOverhead        float64         // fixed cost of a message, in entries
	MaxBacklog             float64         // entries that may be queued for the control channel
	MaxMessages            int             // messages to one proxy within MessageWindowMs; 0: no limit
	MessageWindowMs        float64         // ms
	NonIdempotentClasses   map[string]bool // request classes that must not be executed twice
}

// Listed is the state of a host on the endpoint list.
type Listed struct {
	Ready   bool    // not draining
	Started float64 // start of its process; 0: long ago
}

// endpointList is the endpoint list that controllers could read from a time on.
type endpointList struct {
	atMs  float64
	hosts map[string]Listed
}

// statusDisconnected is the status of a proxyUpdate for a lost connection to the controller.
const statusDisconnected = 0

// proxyUpdate is an update that a proxy received from a controller, or the loss of the connection.
type proxyUpdate struct {
	atMs         float64
	proxy        string
	controller   string
	status       int      // HTTP status, or statusDisconnected
	emptyClasses []string // classes without a host after the update, of those with a table
	entries      int      // table entries in the update; 0: none
	continued    bool     // it continues an earlier message
}

// request is an attempt that a host received.
type request struct {
	atMs     float64
	workMs   float64 // work that it takes at the host
	host     string
	proxy    string
	id       string // id of the request, the same for all of its attempts
	class    string
	executed bool
}

// EventLog is the log of the observed events. It is safe for concurrent use.
type EventLog struct {
	mu         sync.Mutex
	maxWaiting map[string]float64 // by controller: the longest queue, in entries, that it reported itself
	lists      []endpointList
	updates    []proxyUpdate
	requests   []request
	tables     map[string]proxyTables // by proxy
	capacity   map[string]float64     // by host: work in ms per ms, after slow start
	deltaFault string                 // the first delta on a wrong base; empty: none
	lean       bool

	compacted compactedLog
}

// NewEventLog returns an empty log.
func NewEventLog() *EventLog {
	return &EventLog{tables: map[string]proxyTables{}, capacity: map[string]float64{}}
}

// Lean makes the log drop requests that cannot violate an invariant: those at hosts that are ready and past their
// slow start on the newest list. This limits the memory of a long scenario. Events must be logged in the order of
// their times.
func (l *EventLog) Lean() { l.lean = true }

// LogEndpoints logs the endpoint list that controllers can read from a time on.
func (l *EventLog) LogEndpoints(atMs float64, hosts map[string]Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = append(l.lists, endpointList{atMs, hosts})
}

// LogCapacity logs the capacity of a host past its slow start, as work in ms per ms.
func (l *EventLog) LogCapacity(host string, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity[host] = work
}

// LogAttempt logs an attempt of a request at a host, with the work in ms that it takes.
func (l *EventLog) LogAttempt(atMs float64, host, proxy, class, id string, workMs float64, executed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lean && l.isReadyAndWarm(host) {
		return
	}
	l.requests = append(l.requests, request{atMs, workMs, host, proxy, id, class, executed})
}

// isReadyAndWarm reports whether a host is ready and was started long ago, by the newest list.
func (l *EventLog) isReadyAndWarm(host string) bool {
	if len(l.lists) == 0 {
		return false
	}
	state, listed := l.lists[len(l.lists)-1].hosts[host]
	return listed && state.Ready && state.Started == 0
}

// LogProxyState logs the state of a proxy after a command of a controller to its runtime socket: the hosts with traffic
// by class, and the cost of the command in entries. continued says that the command is part of an earlier message,
// connected false that the connection was lost.
func (l *EventLog) LogProxyState(
	atMs float64, proxy, controller string, entries int, continued bool, hosts map[string]map[string]bool, connected bool,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := proxyUpdate{
		atMs: atMs, proxy: proxy, controller: controller, status: statusFull, entries: entries, continued: continued,
	}
	if !connected {
		update.status = statusDisconnected
		update.entries = 0
	}
	l.addUpdate(update, hosts)
}

// addUpdate logs an update with the tables of the proxy after it.
func (l *EventLog) addUpdate(update proxyUpdate, tables proxyTables) {
	for class, hosts := range tables {
		if len(hosts) == 0 {
			update.emptyClasses = append(update.emptyClasses, class)
		}
	}
	sort.Strings(update.emptyClasses)
	l.updates = append(l.updates, update)
}

// LogPollResponse logs a controller's response to a poll, as bytes on the socket; status 0 means that the connection
// was lost. It merges the tables, so that a delta on another base than that of the proxy is detected.
func (l *EventLog) LogPollResponse(
	atMs float64, proxy, controller string, status int, tag, base, held string, body []byte,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tables := l.tables[proxy]
	if tables == nil {
		tables = proxyTables{}
		l.tables[proxy] = tables
	}
	update := proxyUpdate{atMs: atMs, proxy: proxy, controller: controller, status: status}
	if status == statusDelta && base != held {
		l.addDeltaFault("%s got a delta onto %s, it held %s", proxy, base, held)
	}
	if status == statusFull || status == statusDelta {
		entries, err := tables.merge(body, status == statusFull)
		if err != nil {
			l.addDeltaFault("%s got a document that is no JSON: %v", proxy, err)
		}
		update.entries = entries
	}
	l.addUpdate(update, tables)
}

func (l *EventLog) addDeltaFault(format string, args ...any) {
	if l.deltaFault == "" {
		l.deltaFault = fmt.Sprintf(format, args...)
	}
}

// LogMaxBacklog logs the longest queue of a controller's control channel, in entries, that the controller reports
// itself. Check uses it only where the observed traffic is inconclusive, since the channel never paused.
func (l *EventLog) LogMaxBacklog(controller string, entries float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxWaiting == nil {
		l.maxWaiting = map[string]float64{}
	}
	l.maxWaiting[controller] = max(l.maxWaiting[controller], entries)
}

// hostsAt returns the hosts of the list in force at a time, nil before the first list.
func (l *EventLog) hostsAt(atMs float64) map[string]Listed {
	next := sort.Search(len(l.lists), func(i int) bool { return l.lists[i].atMs > atMs })
	if next == 0 {
		return nil
	}
	return l.lists[next-1].hosts
}

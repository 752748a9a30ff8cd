// Package rules checks the invariants of a controller from what passed on the sockets: the endpoint lists that
// controllers could see, the tables that proxies got, and the requests that hosts got. It trusts no controller's own
// figures but where what passed cannot tell (Journal.Waited). It owns the log of these events and the checks, and does
// no I/O. All times are ms on one clock.
package rules

import (
	"fmt"
	"sort"
	"sync"
)

// Figures are the limits that the invariants are checked against.
type Figures struct {
	Bare         float64         // ms that a connected proxy may be without a host for a class
	Grace        float64         // ms after which a host that drains or was removed gets no request
	ColdFrom     float64         // part of its capacity that a host has at its start
	Cold         float64         // ms of slow start, in which that part grows to 1
	Multiple     float64         // of its capacity, from which a host in slow start collapses
	Fall         float64         // ms of that load after which it does
	LinesPerS    float64         // table entries that a controller's channel carries in a second
	Head         float64         // entries that a message costs besides its own
	MostWaiting  float64         // entries that may wait for the channel
	MessagesMost int             // messages to one proxy within MessagesOver; 0: no limit
	MessagesOver float64         // ms
	Once         map[string]bool // request classes that must not be executed twice
}

// Listed is the state of a host on the endpoint list.
type Listed struct {
	Ready   bool    // not draining
	Started float64 // of its process; 0: long ago
}

// endpointList is the list that controllers could see from a time on.
type endpointList struct {
	atMs  float64
	hosts map[string]Listed
}

// statusDisconnected marks a proxyUpdate by which the connection to the controller broke.
const statusDisconnected = 0

// proxyUpdate is what a proxy got from a controller.
type proxyUpdate struct {
	atMs         float64
	proxy        string
	controller   string
	status       int      // of HTTP, or statusDisconnected
	emptyClasses []string // for which the proxy then has no host, although it had tables for them
	entries      int      // of tables; 0: none were sent
	continued    bool     // it continues a message that began before
}

// request is an attempt that came to a host.
type request struct {
	atMs     float64
	workMs   float64 // that it takes there
	host     string
	proxy    string
	id       string // the same for all attempts of a request
	class    string
	executed bool
}

// Journal is the log of what passed. Its methods may be called from any goroutine.
type Journal struct {
	mu         sync.Mutex
	maxWaiting map[string]float64 // by controller: most entries that waited, by its own word
	lists      []endpointList
	updates    []proxyUpdate
	requests   []request
	tables     map[string]proxyTables // by proxy
	capacity   map[string]float64     // by host: ms of work in a ms, after slow start
	deltaFault string                 // the first one; empty: none
	lean       bool

	compacted compactedLog
}

// NewJournal returns an empty log.
func NewJournal() *Journal {
	return &Journal{tables: map[string]proxyTables{}, capacity: map[string]float64{}}
}

// Lean lets the log drop requests that can break no invariant at once: those at hosts that are ready and past their
// slow start by the list of that time. This keeps a long scenario in memory. Times must come in order.
func (j *Journal) Lean() { j.lean = true }

// Gave logs the endpoint list that controllers can see from a time on.
func (j *Journal) Gave(atMs float64, hosts map[string]Listed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lists = append(j.lists, endpointList{atMs, hosts})
}

// Capacity logs the capacity of a host past its slow start, in ms of work in a ms.
func (j *Journal) Capacity(host string, work float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.capacity[host] = work
}

// Arrived logs an attempt of a request at a host, with the work that it takes in ms.
func (j *Journal) Arrived(atMs float64, host, proxy, class, id string, workMs float64, executed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lean && j.isReadyAndWarm(host) {
		return
	}
	j.requests = append(j.requests, request{atMs, workMs, host, proxy, id, class, executed})
}

// isReadyAndWarm tells whether a host is ready and has been since long ago, by the newest list.
func (j *Journal) isReadyAndWarm(host string) bool {
	if len(j.lists) == 0 {
		return false
	}
	state, listed := j.lists[len(j.lists)-1].hosts[host]
	return listed && state.Ready && state.Started == 0
}

// Holds logs what a proxy has after a command of a controller to its runtime socket: the hosts with traffic by class,
// and the entries that the command cost. A command that is continued is part of a message that began before; connected
// false says that the connection broke.
func (j *Journal) Holds(
	atMs float64, proxy, controller string, entries int, continued bool, hosts map[string]map[string]bool, connected bool,
) {
	j.mu.Lock()
	defer j.mu.Unlock()
	update := proxyUpdate{
		atMs: atMs, proxy: proxy, controller: controller, status: statusFull, entries: entries, continued: continued,
	}
	if !connected {
		update.status = statusDisconnected
		update.entries = 0
	}
	j.addUpdate(update, hosts)
}

// addUpdate logs an update with the tables that the proxy then has.
func (j *Journal) addUpdate(update proxyUpdate, tables proxyTables) {
	for class, hosts := range tables {
		if len(hosts) == 0 {
			update.emptyClasses = append(update.emptyClasses, class)
		}
	}
	sort.Strings(update.emptyClasses)
	j.updates = append(j.updates, update)
}

// Answered logs a controller's response to a poll, as bytes on the socket; status 0 says that the connection broke. The
// tables are merged here, so that a delta on another base than the one that the proxy held is found.
func (j *Journal) Answered(atMs float64, proxy, controller string, status int, tag, base, held string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	tables := j.tables[proxy]
	if tables == nil {
		tables = proxyTables{}
		j.tables[proxy] = tables
	}
	update := proxyUpdate{atMs: atMs, proxy: proxy, controller: controller, status: status}
	if status == statusDelta && base != held {
		j.addDeltaFault("%s got a delta onto %s, it held %s", proxy, base, held)
	}
	if status == statusFull || status == statusDelta {
		entries, err := tables.merge(body, status == statusFull)
		if err != nil {
			j.addDeltaFault("%s got a document that is no JSON: %v", proxy, err)
		}
		update.entries = entries
	}
	j.addUpdate(update, tables)
}

func (j *Journal) addDeltaFault(format string, args ...any) {
	if j.deltaFault == "" {
		j.deltaFault = fmt.Sprintf(format, args...)
	}
}

// Waited logs how many entries waited for a controller's channel at most, by its own word. Check uses it only where
// what passed cannot tell, since the channel never paused.
func (j *Journal) Waited(controller string, entries float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.maxWaiting == nil {
		j.maxWaiting = map[string]float64{}
	}
	j.maxWaiting[controller] = max(j.maxWaiting[controller], entries)
}

// hostsAt returns the hosts of the list in force at a time, nil before the first.
func (j *Journal) hostsAt(atMs float64) map[string]Listed {
	next := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].atMs > atMs })
	if next == 0 {
		return nil
	}
	return j.lists[next-1].hosts
}

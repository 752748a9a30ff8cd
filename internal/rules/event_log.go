// Package rules checks the invariants of a controller by the traffic on its sockets: the endpoint lists that
// controllers could read, the tables that proxies received, and the requests that hosts received. It uses a
// controller's own figure only where the traffic is inconclusive (Journal.Waited). It owns the log of these events
// and the checks, and does no I/O. All times are ms on one clock.
package rules

import (
	"fmt"
	"sort"
	"sync"
)

// Figures are the limits that the invariants are checked against.
type Figures struct {
	Bare         float64         // ms for which a connected proxy may have no host for a class
	Grace        float64         // drain grace: ms after which a draining or removed host must get no request
	ColdFrom     float64         // fraction of its capacity that a host has at its start
	Cold         float64         // length of the slow start in ms, in which that fraction grows to 1
	Multiple     float64         // load, as a multiple of its capacity, at which a host in slow start collapses
	Fall         float64         // ms of that load after which it collapses
	LinesPerS    float64         // throughput of a controller's control channel, in table entries a second
	Head         float64         // fixed cost of a message, in entries
	MostWaiting  float64         // entries that may be queued for the control channel
	MessagesMost int             // messages to one proxy within MessagesOver; 0: no limit
	MessagesOver float64         // ms
	Once         map[string]bool // request classes that must not be executed twice
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

// Journal is the log of the observed events. It is safe for concurrent use.
type Journal struct {
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

// NewJournal returns an empty log.
func NewJournal() *Journal {
	return &Journal{tables: map[string]proxyTables{}, capacity: map[string]float64{}}
}

// Lean makes the log drop requests that cannot violate an invariant: those at hosts that are ready and past their
// slow start on the newest list. This limits the memory of a long scenario. Events must be logged in the order of
// their times.
func (j *Journal) Lean() { j.lean = true }

// Gave logs the endpoint list that controllers can read from a time on.
func (j *Journal) Gave(atMs float64, hosts map[string]Listed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lists = append(j.lists, endpointList{atMs, hosts})
}

// Capacity logs the capacity of a host past its slow start, as work in ms per ms.
func (j *Journal) Capacity(host string, work float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.capacity[host] = work
}

// Arrived logs an attempt of a request at a host, with the work in ms that it takes.
func (j *Journal) Arrived(atMs float64, host, proxy, class, id string, workMs float64, executed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lean && j.isReadyAndWarm(host) {
		return
	}
	j.requests = append(j.requests, request{atMs, workMs, host, proxy, id, class, executed})
}

// isReadyAndWarm reports whether a host is ready and was started long ago, by the newest list.
func (j *Journal) isReadyAndWarm(host string) bool {
	if len(j.lists) == 0 {
		return false
	}
	state, listed := j.lists[len(j.lists)-1].hosts[host]
	return listed && state.Ready && state.Started == 0
}

// Holds logs the state of a proxy after a command of a controller to its runtime socket: the hosts with traffic by
// class, and the cost of the command in entries. continued says that the command is part of an earlier message,
// connected false that the connection was lost.
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

// addUpdate logs an update with the tables of the proxy after it.
func (j *Journal) addUpdate(update proxyUpdate, tables proxyTables) {
	for class, hosts := range tables {
		if len(hosts) == 0 {
			update.emptyClasses = append(update.emptyClasses, class)
		}
	}
	sort.Strings(update.emptyClasses)
	j.updates = append(j.updates, update)
}

// Answered logs a controller's response to a poll, as bytes on the socket; status 0 means that the connection was
// lost. It merges the tables, so that a delta on another base than that of the proxy is detected.
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

// Waited logs the longest queue of a controller's control channel, in entries, that the controller reports itself.
// Check uses it only where the observed traffic is inconclusive, since the channel never paused.
func (j *Journal) Waited(controller string, entries float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.maxWaiting == nil {
		j.maxWaiting = map[string]float64{}
	}
	j.maxWaiting[controller] = max(j.maxWaiting[controller], entries)
}

// hostsAt returns the hosts of the list in force at a time, nil before the first list.
func (j *Journal) hostsAt(atMs float64) map[string]Listed {
	next := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].atMs > atMs })
	if next == 0 {
		return nil
	}
	return j.lists[next-1].hosts
}

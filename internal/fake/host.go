// Package fake has test doubles that serve on loopback: hosts with cores and queues that can be slow, hang, crash and
// restart in slow start, and proxies built on package client, with or without a HAProxy runtime socket. Fault scenarios
// and tests inject faults into them. They are written from the public specifications of the protocols.
package fake

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"barleysail/internal/orca"
	"barleysail/internal/rules"
	"barleysail/routing"
)

// Now returns the time in ms since 1970, the clock of all events that the doubles log.
func Now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// HostSettings are the settings of a fake host.
type HostSettings struct {
	Zone       string
	Cores      int
	Speed      float64 // ms of work per ms and core
	QueueLimit int     // requests that may wait for a core; more are rejected
	// SlowStartInitialFactor is the fraction of its capacity that a restarted host has, which grows to 1 in SlowStartMs.
	SlowStartInitialFactor, SlowStartMs float64
	// A host in slow start collapses if it receives CollapseMultiple times its capacity during CollapseMs. If CollapseMs
	// is 0 it never does.
	CollapseMultiple, CollapseMs float64
	ReportsRequestRate           bool            // its load reports include the request rate
	NonIdempotentClasses         map[string]bool // classes whose duplicate requests are dropped by their id
}

// Host is a fake host. It serves requests POST /t/CLASS?id=ID&work=MS, with the proxy's name in the header Proxy. GET
// /health is a health check that needs no core.
type Host struct {
	Address  string
	settings HostSettings
	eventLog *rules.EventLog

	mu          sync.Mutex
	server      *http.Server
	startedMs   float64 // time of the last restart; 0: none, no slow start
	slowdown    float64 // multiple of the usual duration of requests
	hanging     bool
	incarnation int // number of crashes
	busyCores   int
	released    *sync.Cond      // signaled when the host stops hanging or a caller of a hanging host gives up
	queue       []chan struct{} // requests waiting for a core, in order of arrival; closed when they get one
	seenIDs     map[string]bool // of requests of non-idempotent classes
	recentWork  []workArrival   // received during slow start, within the last CollapseMs
	collapsed   bool
	reporting   loadReporting
}

// workArrival is the work of a request that a host received.
type workArrival struct{ atMs, workMs float64 }

// NewHost starts a host on a free port. It logs the requests that the host receives; log may be nil.
func NewHost(settings HostSettings, log *rules.EventLog) (*Host, error) {
	h := &Host{settings: settings, eventLog: log, slowdown: 1, seenIDs: map[string]bool{}}
	h.released = sync.NewCond(&h.mu)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.Address = listener.Addr().String()
	if log != nil {
		log.LogCapacity(h.Address, float64(settings.Cores)*settings.Speed)
	}
	h.serve(listener)
	return h, nil
}

// serve serves HTTP until the host crashes.
func (h *Host) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /t/{class}", h.handleRequest)
	mux.HandleFunc("GET /health", h.handleHealthCheck)
	server := &http.Server{Handler: mux}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go server.Serve(listener)
}

// Crash simulates the end of the process: connections break, and requests in progress are lost.
func (h *Host) Crash() {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.incarnation++
	h.busyCores, h.hanging, h.slowdown = 0, false, 1
	for _, waiting := range h.queue {
		close(waiting)
	}
	h.queue = nil
	h.released.Broadcast()
	h.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Restart restarts a crashed host at its address, in slow start. It returns the time of the start in ms.
func (h *Host) Restart() (float64, error) {
	var listener net.Listener
	var err error
	for range 50 { // connections of the crashed host may still hold the port for a moment
		if listener, err = net.Listen("tcp", h.Address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	h.startedMs, h.collapsed, h.recentWork, h.seenIDs = Now(), false, nil, map[string]bool{}
	startedMs := h.startedMs
	h.mu.Unlock()
	h.serve(listener)
	return startedMs, nil
}

// SetSlowdown multiplies the duration of requests by a factor; 1 is the usual duration.
func (h *Host) SetSlowdown(factor float64) { h.mu.Lock(); h.slowdown = factor; h.mu.Unlock() }

// SetHanging makes the host accept requests without answering them.
func (h *Host) SetHanging(on bool) {
	h.mu.Lock()
	h.hanging = on
	h.released.Broadcast()
	h.mu.Unlock()
}

// Collapsed reports whether the host has collapsed under load in slow start.
func (h *Host) Collapsed() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.collapsed }

// NominalCapacity returns the capacity without faults and slow start.
func (h *Host) NominalCapacity() (cores, speed float64) {
	return float64(h.settings.Cores), h.settings.Speed
}

// CurrentCapacity returns the true capacity: the cores, 0 while the host hangs or is down, and the speed of each.
func (h *Host) CurrentCapacity() (cores, speed float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.hanging || h.collapsed {
		return 0, 0
	}
	return float64(h.settings.Cores), h.settings.Speed * h.slowStartFactor(Now()) / h.slowdown
}

// slowStartFactor returns the fraction of its capacity that the host has at a time.
func (h *Host) slowStartFactor(nowMs float64) float64 {
	if h.startedMs == 0 || nowMs >= h.startedMs+h.settings.SlowStartMs {
		return 1
	}
	return h.settings.SlowStartInitialFactor +
		(1-h.settings.SlowStartInitialFactor)*math.Max(nowMs-h.startedMs, 0)/h.settings.SlowStartMs
}

// observeWork records the work of a request, and lets the host collapse if it is too much for its slow start.
func (h *Host) observeWork(nowMs, workMs float64) {
	if h.slowStartFactor(nowMs) >= 1 || h.settings.CollapseMs == 0 {
		return
	}
	h.recentWork = append(h.recentWork, workArrival{nowMs, workMs})
	sumMs := 0.0
	for len(h.recentWork) > 0 && h.recentWork[0].atMs <= nowMs-h.settings.CollapseMs {
		h.recentWork = h.recentWork[1:]
	}
	for _, arrival := range h.recentWork {
		sumMs += arrival.workMs
	}
	limitMs := h.settings.CollapseMultiple * h.slowStartFactor(h.recentWork[0].atMs) *
		float64(h.settings.Cores) * h.settings.Speed * h.settings.CollapseMs
	h.collapsed = h.collapsed || sumMs > limitMs
}

// handleHealthCheck answers a health check.
func (h *Host) handleHealthCheck(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.waitWhileHanging(r)
	collapsed := h.collapsed
	h.mu.Unlock()
	h.setLoadHeader(w)
	if collapsed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// waitWhileHanging holds a request while the host hangs and the caller waits. h.mu must be held.
func (h *Host) waitWhileHanging(r *http.Request) {
	if !h.hanging {
		return
	}
	stop := time.AfterFunc(time.Minute, h.released.Broadcast)
	defer stop.Stop()
	go func() { <-r.Context().Done(); h.released.Broadcast() }()
	for h.hanging && r.Context().Err() == nil {
		h.released.Wait()
	}
}

// releaseCore hands a core over to the first request in the queue. h.mu must be held.
func (h *Host) releaseCore() {
	if len(h.queue) == 0 {
		h.busyCores--
		return
	}
	close(h.queue[0])
	h.queue = h.queue[1:]
}

// setLoadHeader adds the load report to a response, unless the load is not reported.
func (h *Host) setLoadHeader(w http.ResponseWriter) {
	h.mu.Lock()
	load := h.reportedLoad()
	h.mu.Unlock()
	if load != routing.UnknownLoad {
		w.Header().Set(orca.HeaderName, orca.Format(load))
	}
}

// handleRequest executes a request: it waits for a core, takes the time of its work, and holds the answer while the
// host hangs. A request is rejected if the queue is full or the host has collapsed.
func (h *Host) handleRequest(w http.ResponseWriter, r *http.Request) {
	nowMs, class, id, proxy := Now(), r.PathValue("class"), r.FormValue("id"), r.Header.Get("Proxy")
	workMs, err := strconv.ParseFloat(r.FormValue("work"), 64)
	if err != nil || id == "" || workMs < 0 || workMs > 60000 {
		http.Error(w, "a transaction has an id and its work in ms", http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	incarnation := h.incarnation
	h.observeWork(nowMs, workMs)
	h.reporting.requestRate.count++
	rejected := len(h.queue) >= h.settings.QueueLimit || h.collapsed
	duplicate := h.settings.NonIdempotentClasses[class] && h.seenIDs[id]
	if !rejected && h.settings.NonIdempotentClasses[class] {
		h.seenIDs[id] = true
	}
	if h.eventLog != nil {
		h.eventLog.LogAttempt(nowMs, h.Address, proxy, class, id, workMs, !rejected && !duplicate)
	}
	if rejected {
		h.mu.Unlock()
		h.setLoadHeader(w)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "never ran", http.StatusServiceUnavailable)
		return
	}
	if duplicate {
		h.mu.Unlock()
		h.setLoadHeader(w)
		fmt.Fprintln(w, "a repeat, dropped")
		return
	}
	if h.busyCores < h.settings.Cores {
		h.busyCores++
	} else {
		coreFree := make(chan struct{})
		h.queue = append(h.queue, coreFree)
		h.mu.Unlock()
		<-coreFree
		h.mu.Lock()
	}
	if h.incarnation != incarnation {
		h.mu.Unlock()
		return
	}
	durationMs := workMs / h.settings.Speed * h.slowdown / h.slowStartFactor(Now())
	h.mu.Unlock()
	time.Sleep(time.Duration(durationMs * float64(time.Millisecond))) // the work, which is not canceled with the request
	h.mu.Lock()
	if h.incarnation == incarnation {
		h.releaseCore()
	}
	h.waitWhileHanging(r)
	h.mu.Unlock()
	h.setLoadHeader(w)
	fmt.Fprintln(w, "done")
}

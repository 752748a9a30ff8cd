// Package standin holds small stand-ins on loopback: hosts with cores and queues that can be slow, hang, crash
// and start cold, forwarders built on package client, and a list service. They serve rehearsals and tests, and
// are written from the public specifications.
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

// Now is the time in ms since 1970, as all stand-ins note it.
func Now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// HostSettings say what a host is.
type HostSettings struct {
	Zone                                string
	Cores                               int
	Speed                               float64 // ms of work a ms and core
	QueueLimit                          int     // transactions that may wait
	SlowStartInitialFactor, SlowStartMs float64
	CollapseMultiple, CollapseMs        float64         // sent so many times its capacity for so long, a cold host falls over
	ReportsRequestRate                  bool            // it tells the rate of its transactions too
	NonIdempotentClasses                map[string]bool // classes whose repeats are dropped by their key
}

// Host serves transactions: POST /t/CLASS?id=ID&work=MS, with the proxy's name in the field Proxy. GET /health
// is answered beside the queue.
type Host struct {
	Address  string
	settings HostSettings
	eventLog *rules.EventLog

	mu          sync.Mutex
	server      *http.Server
	startedMs   float64 // 0: long ago
	slowdown    float64
	hanging     bool
	incarnation int
	busyCores   int
	released    *sync.Cond      // when a hang ends, or a caller of a hung host goes
	queue       []chan struct{} // who waits for a core, first come, first served; closed when it is theirs
	seenIDs     map[string]bool
	recentWork  []workArrival // work that came lately, while cold
	collapsed   bool
	reporting   loadReporting
}

type workArrival struct{ atMs, workMs float64 }

// NewHost starts a host at a free port.
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

// Crash ends the process, as it were: connections break, work in hand is lost.
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

// Restart starts a crashed host at its address, cold. It tells when.
func (h *Host) Restart() (float64, error) {
	var listener net.Listener
	var err error
	for range 50 { // the port may be held for a moment by what is left of a connection
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

// Slow makes work take so many times as long; 1 is as usual.
func (h *Host) SetSlowdown(factor float64) { h.mu.Lock(); h.slowdown = factor; h.mu.Unlock() }

// Hang lets the host take transactions and answer none.
func (h *Host) SetHanging(on bool) {
	h.mu.Lock()
	h.hanging = on
	h.released.Broadcast()
	h.mu.Unlock()
}

// Fallen tells whether the host was pushed over while it was cold.
func (h *Host) Collapsed() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.collapsed }

// Stated is what the host has when all is well.
func (h *Host) NominalCapacity() (cores, speed float64) {
	return float64(h.settings.Cores), h.settings.Speed
}

// Able is what the host can truly do now: its cores, none while it hangs or is down, and the speed of each.
func (h *Host) CurrentCapacity() (cores, speed float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.hanging || h.collapsed {
		return 0, 0
	}
	return float64(h.settings.Cores), h.settings.Speed * h.slowStartFactor(Now()) / h.slowdown
}

// part is what of its capacity the host has now.
func (h *Host) slowStartFactor(nowMs float64) float64 {
	if h.startedMs == 0 || nowMs >= h.startedMs+h.settings.SlowStartMs {
		return 1
	}
	return h.settings.SlowStartInitialFactor + (1-h.settings.SlowStartInitialFactor)*math.Max(nowMs-h.startedMs, 0)/h.settings.SlowStartMs
}

// push notes work that comes to a cold host, and lets it fall over where that is too much.
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
	limitMs := h.settings.CollapseMultiple * h.slowStartFactor(h.recentWork[0].atMs) * float64(h.settings.Cores) * h.settings.Speed * h.settings.CollapseMs
	h.collapsed = h.collapsed || sumMs > limitMs
}

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

// wait holds a request while the host hangs, until the caller gives up. The lock is held.
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

// release gives a core that is done to the first in the line. The lock is held.
func (h *Host) releaseCore() {
	if len(h.queue) == 0 {
		h.busyCores--
		return
	}
	close(h.queue[0])
	h.queue = h.queue[1:]
}

func (h *Host) setLoadHeader(w http.ResponseWriter) {
	h.mu.Lock()
	load := h.reportedLoad()
	h.mu.Unlock()
	if load != routing.UnknownLoad {
		w.Header().Set(orca.Field, orca.Format(load))
	}
}

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
	time.Sleep(time.Duration(durationMs * float64(time.Millisecond))) // the work; a cancel stops nothing
	h.mu.Lock()
	if h.incarnation == incarnation {
		h.releaseCore()
	}
	h.waitWhileHanging(r)
	h.mu.Unlock()
	h.setLoadHeader(w)
	fmt.Fprintln(w, "done")
}

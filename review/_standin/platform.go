package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is a stand-in for a host. Its capacity rises evenly from coldFrom to 1 within cold of its start, which is the
// slowest way that the pages allow.
type host struct {
	id, zone  string
	address   string
	cores     float64
	startedMs float64 // Unix time in ms; 0: long ago
	up        bool

	listener net.Listener
	server   *http.Server

	backlogMs float64 // accepted work, in core-ms
	updatedMs float64 // when backlogMs was last brought up to date
	inflight  int
	latencyMs float64
	rate      float64 // requests a second, of the last second
	count     int     // requests since then

	pushes []push // what it was sent since its last start, for the rule on cold hosts
	fallen bool   // it was pushed over while it was cold
}

// push is work that a host was sent and took in. It counts as sent in knowledge of the host's start if the last message
// that the proxy has was sent after the steward was told of the start, or if the steward was told the grace ago.
type push struct {
	atMs, workMs float64
	knows        bool
}

// entry is one entry of the list, as discovery writes it.
type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// toldState is what the steward was told of a host, and when the last change was written to it.
type toldState struct {
	entry
	atMs float64
}

// agent is discovery's agent on the steward's machine. It keeps each version's changes and answers watches.
type agent struct {
	w        *world
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed at each change
	version int
	list    map[string]entry // all but the hosts that are gone
	log     []versioned

	told map[string]toldState
}

type versioned struct {
	version int
	entry
}

func newAgent(w *world) *agent {
	a := &agent{w: w, changed: make(chan struct{}), version: 40, list: map[string]entry{}, told: map[string]toldState{}}
	a.listener = listen()
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(a.listener) }()
	return a
}

// set changes entries of the list in one version.
func (a *agent) set(entries ...entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		if e.Lifecycle == "Gone" {
			delete(a.list, e.InstanceID)
		} else {
			a.list[e.InstanceID] = e
		}
		a.log = append(a.log, versioned{a.version, e})
		a.w.record("list version=%d host=%s zone=%s state=%s started=%.0f", a.version, e.InstanceID, e.Zone, e.Lifecycle, e.StartedAtMs)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	if from == "" {
		a.mu.Lock()
		var all []entry
		for _, e := range a.list {
			all = append(all, e)
		}
		version := a.version
		a.mu.Unlock()
		a.answer(w, version, true, all)
		return
	}
	since, _ := strconv.Atoi(from)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	deadline := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		a.mu.Lock()
		version, changed := a.version, a.changed
		var news []entry
		for _, e := range a.log {
			if e.version > since {
				news = append(news, e.entry)
			}
		}
		a.mu.Unlock()
		if len(news) > 0 {
			a.answer(w, version, false, news)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			a.answer(w, version, false, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a list, and then counts it as told.
func (a *agent) answer(w http.ResponseWriter, version int, full bool, entries []entry) {
	if entries == nil {
		entries = []entry{}
	}
	body, _ := json.Marshal(map[string]any{"generation": version, "reset": full, "instances": entries})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		return
	}
	at := nowMs()
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if full {
		named := map[string]bool{}
		for _, e := range entries {
			named[e.InstanceID] = true
		}
		for id, t := range a.told {
			if !named[id] && t.Lifecycle != "Gone" {
				t.Lifecycle = "Gone"
				a.told[id] = toldState{t.entry, at}
			}
		}
	}
	for _, e := range entries {
		a.w.record("told host=%s state=%s", e.InstanceID, e.Lifecycle)
		old, known := a.told[e.InstanceID]
		stopped := known && old.Lifecycle != "Ready" && e.Lifecycle != "Ready"
		if known && (old.Lifecycle == e.Lifecycle && old.StartedAtMs == e.StartedAtMs || stopped) {
			a.told[e.InstanceID] = toldState{e, old.atMs}
		} else {
			a.told[e.InstanceID] = toldState{e, at}
		}
	}
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listening: %v", err)
	}
	return listener
}

// addHost starts a host. startedMs is 0 for one that has run for long.
func (w *world) addHost(id, zone string, startedMs float64) *host {
	h := &host{id: id, zone: zone, cores: float64(w.site.cores) * w.site.speed, startedMs: startedMs, up: true, updatedMs: nowMs(), latencyMs: 100}
	h.listener = listen()
	h.address = h.listener.Addr().String()
	h.serve(w, h.listener)
	w.hosts[id] = h
	return h
}

func (h *host) serve(w *world, listener net.Listener) {
	handler := func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		h.drain(w, nowMs())
		var values []string
		for name, value := range w.load(h) {
			values = append(values, fmt.Sprintf("%q:%.2f", name, value))
		}
		body := "{" + strings.Join(values, ",") + "}"
		w.mu.Unlock()
		_, _ = rw.Write([]byte(body))
	}
	h.server = &http.Server{Handler: http.HandlerFunc(handler)}
	server := h.server
	go func() { _ = server.Serve(listener) }()
}

// load returns the load report of a host.
func (w *world) load(h *host) map[string]float64 {
	cores := float64(w.site.cores)
	all := map[string]float64{"queue": math.Max(0, float64(h.inflight)-cores), "latency_ms": h.latencyMs,
		"util": math.Min(1, float64(h.inflight)/cores), "qps": h.rate, "inflight": float64(h.inflight)}
	report := map[string]float64{}
	for _, name := range w.site.reports {
		report[name] = all[name]
	}
	return report
}

// kill ends a host's process: its port is closed, and what it held is lost.
func (w *world) kill(h *host) {
	h.up = false
	h.backlogMs = 0
	h.inflight = 0
	server := h.server
	go func() { _ = server.Close() }()
	w.record("died host=%s", h.id)
}

// restart starts a dead host's process again, cold, at its old address.
func (w *world) restart(h *host) {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		cannotRun("listening again at %s: %v", h.address, err)
	}
	h.up = true
	h.startedMs = nowMs()
	h.updatedMs = h.startedMs
	h.pushes = nil
	h.serve(w, listener)
	w.record("started host=%s cold", h.id)
}

// fraction returns the part of its capacity that a host has.
func (w *world) fraction(h *host, atMs float64) float64 {
	if h.startedMs == 0 {
		return 1
	}
	age := (atMs - h.startedMs) / w.site.coldMs
	return math.Min(1, w.site.coldFrom+(1-w.site.coldFrom)*math.Max(age, 0))
}

// drain works off a host's backlog up to an instant.
func (h *host) drain(w *world, atMs float64) {
	h.backlogMs = math.Max(0, h.backlogMs-(atMs-h.updatedMs)*h.cores*w.fraction(h, atMs))
	h.updatedMs = atMs
}

func (w *world) entryOf(h *host, state string) entry {
	return entry{h.id, h.address, h.zone, "full-4core", 0, state, 1, math.Round(h.startedMs)}
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	stopSteward()
	os.Exit(2)
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

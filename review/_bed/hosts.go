package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
)

// A hostMode says how a host treats connections.
type hostMode int

const (
	serving  hostMode = iota
	refusing          // nothing listens at its address
	hanging           // takes work and answers nothing
	dead              // the process is gone: nothing listens
)

// host is a stand-in of a server.
type host struct {
	bed         *bed
	id          string
	zone        string
	address     string
	mode        hostMode
	refusesZone string // while it is refusing: only the proxies of this zone; empty: all
	listed      string // lifecycle on the list; empty: not listed
	startedMs   float64
	bornAt      time.Time // real start of the process; zero: long ago
	capacity    float64   // tries a second
	listener    net.Listener
	server      *http.Server
	taken       []time.Time // times of the tries in the last ten seconds
	runs        int         // tries that it has answered
	pushes      []push      // tries of a cold host in the last window of the rule on cold hosts
	fallen      bool
	hardest     float64 // most tries of a window, as a part of those that push it over
}

// addHosts adds hosts that have run for long, so many in each zone.
func (b *bed) addHosts(perZone map[string]int, capacity float64) {
	for _, zone := range b.set.Zones {
		for range perZone[zone] {
			b.addHost(zone, capacity, false)
		}
	}
}

// addHost adds a host. A cold one starts now.
func (b *bed) addHost(zone string, capacity float64, cold bool) *host {
	b.mu.Lock()
	b.hostCount++
	number := b.hostCount
	h := &host{bed: b, id: fmt.Sprintf("s-%08x", b.random.Uint32()), zone: zone, capacity: capacity, listed: "Ready"}
	b.mu.Unlock()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", b.net, number/250, 1+number%250))
	if err != nil {
		fail("a host could not listen: %v", err)
	}
	h.address = listener.Addr().String()
	b.mu.Lock()
	if cold {
		h.bornAt = time.Now()
		h.startedMs = math.Floor(float64(h.bornAt.UnixMicro()) / 1000)
	}
	b.hosts[h.id] = h
	b.order = append(b.order, h)
	b.touch(h)
	b.mu.Unlock()
	h.serve(listener)
	b.onClose(h.shut)
	return h
}

// serve answers probes on a listener.
func (h *host) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("/ping", h.answer)
	mux.HandleFunc("/_load", h.answer)
	server := &http.Server{Handler: mux}
	h.bed.mu.Lock()
	h.listener, h.server = listener, server
	h.bed.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// shut closes the listener and all connections.
func (h *host) shut() {
	h.bed.mu.Lock()
	server := h.server
	h.server = nil
	h.bed.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// open listens again at the same address.
func (h *host) open() {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		fail("a host could not listen again: %v", err)
	}
	h.serve(listener)
}

// setMode changes how the host treats connections.
func (h *host) setMode(mode hostMode) {
	h.bed.mu.Lock()
	before := h.mode
	h.mode = mode
	h.bed.mu.Unlock()
	closedBefore, closedNow := before == refusing || before == dead, mode == refusing || mode == dead
	if closedNow && !closedBefore {
		h.shut()
	} else if closedBefore && !closedNow {
		h.open()
	}
}

// refuse has the host refuse connections for a while, but for one twentieth of the time. Its process runs on. Proxies of
// the zone find it so, and the stewards; proxies elsewhere do not.
func (h *host) refuse(zone string, length time.Duration) {
	h.bed.mu.Lock()
	h.refusesZone = zone
	h.bed.mu.Unlock()
	for end := time.Now().Add(length); time.Now().Before(end); {
		h.setMode(refusing)
		time.Sleep(950 * time.Millisecond)
		h.setMode(serving)
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *host) answer(w http.ResponseWriter, r *http.Request) {
	h.bed.mu.Lock()
	mode, listed := h.mode, h.listed
	rate := h.rate(time.Now())
	h.bed.mu.Unlock()
	if mode == hanging {
		select {
		case <-r.Context().Done():
		case <-h.bed.stop:
		}
		return
	}
	if listed != "Ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := json.Marshal(map[string]float64{"util": math.Min(1, rate/h.capacity), "qps": rate})
	_, _ = w.Write(body)
}

// rate returns the tries a second of the last two seconds. The caller holds the mutex.
func (h *host) rate(now time.Time) float64 {
	for len(h.taken) > 0 && now.Sub(h.taken[0]) > 10*time.Second {
		h.taken = h.taken[1:]
	}
	count := 0
	for i := len(h.taken) - 1; i >= 0 && now.Sub(h.taken[i]) <= 2*time.Second; i-- {
		count++
	}
	return float64(count) / 2
}

// push is a try at a cold host; knowing says that it counts as sent in knowledge of the start.
type push struct {
	at      time.Time
	knowing bool
}

// pushed judges the rule on cold hosts: with a tenth for chance, a host falls over when the tries of a window exceed
// so many times its present capacity. The caller holds the mutex.
func (h *host) pushed(now time.Time, knowing bool) {
	factor := h.factor(now)
	if factor >= 1 || h.fallen {
		return
	}
	window := micros(h.bed.set.FallUs)
	h.pushes = append(h.pushes, push{now, knowing})
	for now.Sub(h.pushes[0].at) > window {
		h.pushes = h.pushes[1:]
	}
	budget := h.bed.set.FallMultiple * h.capacity * factor * window.Seconds()
	h.hardest = math.Max(h.hardest, float64(len(h.pushes))/budget)
	if float64(len(h.pushes)) <= 1.1*budget+1 {
		return
	}
	h.fallen = true
	known := 0
	for _, p := range h.pushes {
		if p.knowing {
			known++
		}
	}
	h.bed.logf("cold host %s falls over: %d tries in a window, %d in knowledge, budget %.1f", h.id, len(h.pushes), known, budget)
	if 3*known >= 2*len(h.pushes) {
		h.bed.breach("failback", "cold host %s was sent %d tries in %.1f s, %d in knowledge of its start, where %.1f are too many",
			h.id, len(h.pushes), window.Seconds(), known, budget)
	}
}

// take has the host take a try, and returns whether it answered, and after how many ms. The caller holds the mutex.
func (h *host) take(now time.Time, zone string, knowing bool) (bool, float64) {
	if h.mode == dead || h.mode == refusing && (h.refusesZone == "" || h.refusesZone == zone) {
		return false, 0
	}
	h.taken = append(h.taken, now)
	h.pushed(now, knowing)
	if h.fallen {
		return false, 0
	}
	rate := h.rate(now)
	if h.mode == hanging {
		return false, 0
	}
	load := math.Min(rate/(h.capacity*h.factor(now)), 0.95)
	if load >= 0.95 && h.bed.random.Float64() < 0.3 {
		return false, 0
	}
	h.runs++
	return true, 300 / (1 - 0.7*load) * h.bed.between(0.5, 1.5)
}

// factor returns the part of its capacity that the host has. The caller holds the mutex.
func (h *host) factor(now time.Time) float64 {
	if h.bornAt.IsZero() {
		return 1
	}
	age := now.Sub(h.bornAt).Seconds() / (h.bed.set.ColdUs / 1e6)
	return math.Min(1, h.bed.set.ColdFrom+(1-h.bed.set.ColdFrom)*age)
}

// change is a change of the list.
type change struct {
	generation int64
	id         string
}

// touch records a change of the list. The caller holds the mutex.
func (b *bed) touch(h *host) {
	b.generation++
	b.changes = append(b.changes, change{b.generation, h.id})
	close(b.changed)
	b.changed = make(chan struct{})
}

// list changes the lifecycle of a host on the list: "Ready", "Terminating" or "Gone".
func (b *bed) list(h *host, lifecycle string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.listed = lifecycle
	b.touch(h)
}

// entry returns the list's entry of a host. The caller holds the mutex.
func (h *host) entry() object {
	return object{"instanceId": h.id, "hostPort": h.address, "zone": h.zone, "machineType": "std-3core", "cell": 1,
		"lifecycle": h.listed, "weight": 1.0, "startedAtMs": h.startedMs}
}

// toldHost is what a steward has been told of a host.
type toldHost struct {
	lifecycle string
	at        time.Time // when its lifecycle was told
	startedMs float64
	startAt   time.Time // when that start was told
}

// agent is the discovery agent of one steward.
type agent struct {
	bed     *bed
	steward *steward
	address string
	silent  bool // guarded by the bed's mutex
	server  *http.Server
}

func (b *bed) newAgent(s *steward) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("discovery could not listen: %v", err)
	}
	a := &agent{bed: b, steward: s, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", a.members)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(listener) }()
	b.onClose(func() { _ = a.server.Close() })
	return a
}

// members answers a call for the list.
func (a *agent) members(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	hold, _ := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	deadline := time.After(time.Duration(math.Min(hold, 60000)) * time.Millisecond)
	b := a.bed
	for {
		b.mu.Lock()
		if !a.silent && (whole || b.generation > from) {
			break
		}
		changed := b.changed
		silent := a.silent
		b.mu.Unlock()
		if silent {
			select {
			case <-r.Context().Done():
				return
			case <-b.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-b.stop:
			return
		case <-deadline:
		}
		b.mu.Lock()
		break
	}
	body := a.build(from, whole)
	b.mu.Unlock()
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// build returns an answer, and records what it tells. The caller holds the mutex.
func (a *agent) build(from int64, whole bool) object {
	b := a.bed
	now := time.Now()
	entries := []object{}
	if whole {
		for _, h := range b.order {
			if h.listed != "Gone" {
				entries = append(entries, h.entry())
			}
			a.steward.tell(h, now)
		}
	} else {
		seen := map[string]bool{}
		for _, c := range b.changes {
			if c.generation > from && !seen[c.id] {
				seen[c.id] = true
				entries = append(entries, b.hosts[c.id].entry())
				a.steward.tell(b.hosts[c.id], now)
			}
		}
	}
	return object{"generation": b.generation, "reset": whole, "instances": entries}
}

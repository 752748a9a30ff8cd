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
	Zone           string
	Cores          int
	Speed          float64 // ms of work a ms and core
	Queue          int     // transactions that may wait
	ColdFrom, Cold float64
	Multiple, Fall float64         // sent so many times its capacity for so long, a cold host falls over
	Rate           bool            // it tells the rate of its transactions too
	Once           map[string]bool // classes whose repeats are dropped by their key
}

// Host serves transactions: POST /t/CLASS?id=ID&work=MS, with the proxy's name in the field Proxy. GET /health
// is answered beside the queue.
type Host struct {
	Address string
	set     HostSettings
	journal *rules.EventLog

	mu      sync.Mutex
	server  *http.Server
	started float64 // 0: long ago
	slow    float64
	hangs   bool
	life    int
	busy    int
	woken   *sync.Cond      // when a hang ends, or a caller of a hung host goes
	line    []chan struct{} // who waits for a core, first come, first served; closed when it is theirs
	seen    map[string]bool
	recent  []burst // work that came lately, while cold
	fallen  bool
	tells   telling
}

type burst struct{ at, work float64 }

// NewHost starts a host at a free port.
func NewHost(set HostSettings, j *rules.EventLog) (*Host, error) {
	h := &Host{set: set, journal: j, slow: 1, seen: map[string]bool{}}
	h.woken = sync.NewCond(&h.mu)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.Address = l.Addr().String()
	if j != nil {
		j.LogCapacity(h.Address, float64(set.Cores)*set.Speed)
	}
	h.serve(l)
	return h, nil
}

func (h *Host) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /t/{class}", h.transaction)
	mux.HandleFunc("GET /health", h.health)
	server := &http.Server{Handler: mux}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go server.Serve(l)
}

// Crash ends the process, as it were: connections break, work in hand is lost.
func (h *Host) Crash() {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.life++
	h.busy, h.hangs, h.slow = 0, false, 1
	for _, next := range h.line {
		close(next)
	}
	h.line = nil
	h.woken.Broadcast()
	h.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Restart starts a crashed host at its address, cold. It tells when.
func (h *Host) Restart() (float64, error) {
	var l net.Listener
	var err error
	for range 50 { // the port may be held for a moment by what is left of a connection
		if l, err = net.Listen("tcp", h.Address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	h.started, h.fallen, h.recent, h.seen = Now(), false, nil, map[string]bool{}
	at := h.started
	h.mu.Unlock()
	h.serve(l)
	return at, nil
}

// Slow makes work take so many times as long; 1 is as usual.
func (h *Host) Slow(times float64) { h.mu.Lock(); h.slow = times; h.mu.Unlock() }

// Hang lets the host take transactions and answer none.
func (h *Host) Hang(on bool) {
	h.mu.Lock()
	h.hangs = on
	h.woken.Broadcast()
	h.mu.Unlock()
}

// Fallen tells whether the host was pushed over while it was cold.
func (h *Host) Fallen() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.fallen }

// Stated is what the host has when all is well.
func (h *Host) Stated() (cores, speed float64) { return float64(h.set.Cores), h.set.Speed }

// Able is what the host can truly do now: its cores, none while it hangs or is down, and the speed of each.
func (h *Host) Able() (cores, speed float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.hangs || h.fallen {
		return 0, 0
	}
	return float64(h.set.Cores), h.set.Speed * h.part(Now()) / h.slow
}

// part is what of its capacity the host has now.
func (h *Host) part(now float64) float64 {
	if h.started == 0 || now >= h.started+h.set.Cold {
		return 1
	}
	return h.set.ColdFrom + (1-h.set.ColdFrom)*math.Max(now-h.started, 0)/h.set.Cold
}

// push notes work that comes to a cold host, and lets it fall over where that is too much.
func (h *Host) push(now, work float64) {
	if h.part(now) >= 1 || h.set.Fall == 0 {
		return
	}
	h.recent = append(h.recent, burst{now, work})
	sum := 0.0
	for len(h.recent) > 0 && h.recent[0].at <= now-h.set.Fall {
		h.recent = h.recent[1:]
	}
	for _, b := range h.recent {
		sum += b.work
	}
	budget := h.set.Multiple * h.part(h.recent[0].at) * float64(h.set.Cores) * h.set.Speed * h.set.Fall
	h.fallen = h.fallen || sum > budget
}

func (h *Host) health(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.wait(r)
	down := h.fallen
	h.mu.Unlock()
	h.load(w)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// wait holds a request while the host hangs, until the caller gives up. The lock is held.
func (h *Host) wait(r *http.Request) {
	if !h.hangs {
		return
	}
	stop := time.AfterFunc(time.Minute, h.woken.Broadcast)
	defer stop.Stop()
	go func() { <-r.Context().Done(); h.woken.Broadcast() }()
	for h.hangs && r.Context().Err() == nil {
		h.woken.Wait()
	}
}

// release gives a core that is done to the first in the line. The lock is held.
func (h *Host) release() {
	if len(h.line) == 0 {
		h.busy--
		return
	}
	close(h.line[0])
	h.line = h.line[1:]
}

func (h *Host) load(w http.ResponseWriter) {
	h.mu.Lock()
	load := h.told()
	h.mu.Unlock()
	if load != routing.UnknownLoad {
		w.Header().Set(orca.HeaderName, orca.Format(load))
	}
}

func (h *Host) transaction(w http.ResponseWriter, r *http.Request) {
	now, class, id, proxy := Now(), r.PathValue("class"), r.FormValue("id"), r.Header.Get("Proxy")
	work, err := strconv.ParseFloat(r.FormValue("work"), 64)
	if err != nil || id == "" || work < 0 || work > 60000 {
		http.Error(w, "a transaction has an id and its work in ms", http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	life := h.life
	h.push(now, work)
	h.tells.rate.n++
	full := len(h.line) >= h.set.Queue || h.fallen
	repeat := h.set.Once[class] && h.seen[id]
	if !full && h.set.Once[class] {
		h.seen[id] = true
	}
	if h.journal != nil {
		h.journal.LogAttempt(now, h.Address, proxy, class, id, work, !full && !repeat)
	}
	if full {
		h.mu.Unlock()
		h.load(w)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "never ran", http.StatusServiceUnavailable)
		return
	}
	if repeat {
		h.mu.Unlock()
		h.load(w)
		fmt.Fprintln(w, "a repeat, dropped")
		return
	}
	if h.busy < h.set.Cores {
		h.busy++
	} else {
		mine := make(chan struct{})
		h.line = append(h.line, mine)
		h.mu.Unlock()
		<-mine
		h.mu.Lock()
	}
	if h.life != life {
		h.mu.Unlock()
		return
	}
	takes := work / h.set.Speed * h.slow / h.part(Now())
	h.mu.Unlock()
	time.Sleep(time.Duration(takes * float64(time.Millisecond))) // the work; a cancel stops nothing
	h.mu.Lock()
	if h.life == life {
		h.release()
	}
	h.wait(r)
	h.mu.Unlock()
	h.load(w)
	fmt.Fprintln(w, "done")
}

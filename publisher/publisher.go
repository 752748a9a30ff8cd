// Package publisher decides which commands are sent to a proxy that is controlled by its runtime socket. It updates
// the proxy's servers and weights to match the routing tables, one command at a time, and uses each response as the
// acknowledgement ([ProxyUpdater]). It converts the proxy's counters into request stats ([Counters]), and elects the
// one controller that controls the proxy ([SocketOwner]).
//
// Each backend of the proxy is a request class, and each server of a backend is a host, named by its address. The
// package does no I/O, reads no clock and starts no goroutine; instants and durations are float64 milliseconds. Its
// types are not safe for concurrent use.
package publisher

import (
	"math"
	"strings"

	"barleysail/controller"
	"barleysail/internal/haproxy"
)

// ProxyUpdater updates one proxy to the target state. It keeps the state of the proxy's servers, as it was last read
// and changed since, and plans the commands that lead to the target.
type ProxyUpdater struct {
	drainGraceMs    float64                      // time from the drain of a server to its removal
	servers         map[string]map[string]server // current state by backend and server name
	target          map[string]map[string]int    // weights by backend and server name
	scales          map[string]float64           // of the target's quantized weights, by request class
	targetRatios    map[string]float64           // admission ratios by request class
	publishedRatios map[string]float64           // admission ratios that the proxy has
	rejections      map[serverKey]int            // rejected commands since the state was last read
	inFlight        *command                     // sent, without a response yet
	plan            []*command                   // to be sent next, in order
	observed        bool                         // the state has been read on the current connection
}

// server is the state of a server in the proxy.
type server struct {
	weight      int
	ready       bool    // takes traffic
	maintenance bool    // in maintenance mode
	drainedMs   float64 // instant of the drain, or of the first observation if that is unknown
}

// NewProxyUpdater returns an updater for a proxy whose state has not been read. drainGraceMs is the time from the drain
// of a server to its removal.
func NewProxyUpdater(drainGraceMs float64) *ProxyUpdater {
	return &ProxyUpdater{
		drainGraceMs:    drainGraceMs,
		servers:         map[string]map[string]server{},
		target:          map[string]map[string]int{},
		scales:          map[string]float64{},
		targetRatios:    map[string]float64{},
		publishedRatios: map[string]float64{},
		rejections:      map[serverKey]int{},
	}
}

// ObserveServers records the proxy's state as "show servers state" returns it. It must be called after connecting, and
// periodically, since other clients of the socket may change the state, too. It returns the number of servers that
// differ from the state that this updater set.
func (p *ProxyUpdater) ObserveServers(nowMs float64, states []haproxy.ServerState) (foreignChanges int) {
	current := map[string]map[string]server{}
	for i := range states {
		state := &states[i]
		observed := newServer(nowMs, state)
		known, isKnown := p.servers[state.Backend][state.Server]
		if isKnown {
			observed.drainedMs = known.drainedMs
		}
		if observed != known || !isKnown {
			foreignChanges++
		}
		if current[state.Backend] == nil {
			current[state.Backend] = map[string]server{}
		}
		current[state.Backend][state.Server] = observed
	}
	foreignChanges += countMissing(p.servers, current)
	if !p.observed {
		foreignChanges = 0
	}
	p.servers = current
	p.observed = true
	p.inFlight = nil
	p.plan = nil
	clear(p.rejections)
	return foreignChanges
}

func newServer(nowMs float64, state *haproxy.ServerState) server {
	inMaintenance := state.AdminState&haproxy.ForcedMaint != 0
	isDrained := state.AdminState&haproxy.ForcedDrain != 0
	return server{
		weight:      state.Weight,
		ready:       !inMaintenance && !isDrained,
		maintenance: inMaintenance,
		drainedMs:   nowMs,
	}
}

// countMissing returns the number of known servers that the proxy no longer has.
func countMissing(known, current map[string]map[string]server) int {
	missing := 0
	for backend, servers := range known {
		for name := range servers {
			if _, ok := current[backend][name]; !ok {
				missing++
			}
		}
	}
	return missing
}

// ConnectionLost records that the connection was lost. Of the known state, only the instants at which servers were
// drained remain valid.
func (p *ProxyUpdater) ConnectionLost() {
	p.observed = false
	p.inFlight = nil
	p.plan = nil
	clear(p.publishedRatios)
}

// SetTarget sets the routing tables that the proxy should have. Where a table has no hosts yet (Table.Assigned is
// false), only its admission ratio is used, and the servers of the class keep their weights.
func (p *ProxyUpdater) SetTarget(tables []controller.Table) {
	p.plan = nil
	for i := range tables {
		table := &tables[i]
		p.targetRatios[table.Class] = math.Min(table.AdmissionRatio, 1)
		if table.Assigned {
			p.setTargetWeights(table)
		}
	}
}

func (p *ProxyUpdater) setTargetWeights(table *controller.Table) {
	quantized, scale := quantizeWeights(table.Weights, p.scales[table.Class])
	p.scales[table.Class] = scale
	weights := map[string]int{}
	for i, host := range table.Hosts {
		weights[host] = quantized[i]
	}
	p.target[table.Class] = weights
}

// Converged reports whether the proxy has reached its target, apart from drained servers that are not removed yet.
func (p *ProxyUpdater) Converged(nowMs float64) bool {
	if !p.observed || p.inFlight != nil {
		return false
	}
	next := p.nextPlanned(nowMs)
	return next == nil || next.removesServer()
}

// NextCommand returns the command to send now; ok is false if there is none or one is in flight.
func (p *ProxyUpdater) NextCommand(nowMs float64) (text string, ok bool) {
	if !p.observed || p.inFlight != nil {
		return "", false
	}
	next := p.nextPlanned(nowMs)
	if next == nil {
		return "", false
	}
	p.inFlight = next
	p.plan = p.plan[1:]
	return next.text(), true
}

// nextPlanned returns the first command of the plan, or nil if there is nothing to do. It builds a new plan where the
// last one is done.
func (p *ProxyUpdater) nextPlanned(nowMs float64) *command {
	if len(p.plan) == 0 {
		p.plan = p.buildPlan(nowMs)
	}
	if len(p.plan) == 0 {
		return nil
	}
	return p.plan[0]
}

// ObserveResponse records the response to the command in flight. It returns a *RejectedError where the proxy rejected
// the command. The command is then retried. Once maxRejections commands for a server were rejected, the server gets no
// further command until the state is read again.
func (p *ProxyUpdater) ObserveResponse(nowMs float64, response string) error {
	sent := p.inFlight
	p.inFlight = nil
	if sent == nil {
		return nil
	}
	if isSuccess(response) {
		p.apply(nowMs, sent)
		return nil
	}
	if sent.operation == setAdmissionRatio {
		p.apply(nowMs, sent) // not retried: the proxy cannot store the variable
	} else {
		p.rejections[sent.server]++
	}
	return &RejectedError{Command: sent.text(), Response: strings.TrimSpace(response)}
}

// apply records the changes of a successful command.
func (p *ProxyUpdater) apply(nowMs float64, done *command) {
	switch done.operation {
	case setAdmissionRatio:
		p.publishedRatios[done.class] = done.ratio
		return
	case deleteServer:
		delete(p.servers[done.server.backend], done.server.name)
		return
	}
	changed := p.servers[done.server.backend][done.server.name]
	switch done.operation {
	case addServer:
		changed = server{weight: done.weight, maintenance: true, drainedMs: nowMs}
	case setWeight:
		changed.weight = done.weight
	case setReady:
		changed.ready = true
		changed.maintenance = false
	case setDrain:
		changed.ready = false
		changed.drainedMs = nowMs
	case setMaintenance:
		changed.maintenance = true
	}
	if p.servers[done.server.backend] == nil {
		p.servers[done.server.backend] = map[string]server{}
	}
	p.servers[done.server.backend][done.server.name] = changed
}

// NextDeadlineMs returns the instant in ms at which NextCommand will return a command though nothing else changes:
// the earliest end of a drain grace. It is +Inf if there is none.
func (p *ProxyUpdater) NextDeadlineMs() float64 {
	deadlineMs := math.Inf(1)
	for backend, servers := range p.servers {
		weights, hasTarget := p.target[backend]
		if !hasTarget {
			continue
		}
		for name, current := range servers {
			isDrained := weights[name] == 0 && !current.ready
			if isDrained && p.rejections[serverKey{backend: backend, name: name}] < maxRejections {
				deadlineMs = math.Min(deadlineMs, current.drainedMs+p.drainGraceMs)
			}
		}
	}
	return deadlineMs
}

// Package publisher decides what a proxy that is driven by a runtime socket is told: it keeps the proxy's servers at
// the tables decided, by commands one after the other, and takes each answer as the acknowledgement. It does no I/O
// and reads no clock; times are ms. A class is a backend, a host a server named by its address.
package publisher

import (
	"fmt"
	"math"
	"strings"

	"barleysail/controller"
	"barleysail/internal/haproxy"
)

// server as the proxy has it.
type server struct {
	weight    int
	ready     bool
	maint     bool
	drainedMs float64 // when it was drained, as far as that is known
}

// ProxyUpdater is what is known of one, and what it should have.
type ProxyUpdater struct {
	drainGraceMs  float64 // a drained server is taken off after so long
	servers       map[string]map[string]server
	target        map[string]map[string]int
	scales        map[string]float64
	targetRatios  map[string]float64
	appliedRatios map[string]float64 // shares that the proxy has
	rejections    map[string]int     // commands that were refused, by server: after some it is left alone until the next reading
	inFlight      *command           // sent, not answered
	plan          []*command         // of the most urgent kind, in order
	observed      bool
}

// command is one that is out, and what it changes.
type command struct {
	text            string
	backend, server string
	apply           func(p *ProxyUpdater, now float64)
}

// New makes the publisher of a proxy of which nothing is known.
func New(grace float64) *ProxyUpdater {
	return &ProxyUpdater{drainGraceMs: grace, servers: map[string]map[string]server{}, target: map[string]map[string]int{}, scales: map[string]float64{},
		targetRatios: map[string]float64{}, appliedRatios: map[string]float64{}, rejections: map[string]int{}}
}

// ObserveServers takes in the proxy's state, as show servers state tells it: after connecting, and now and then, since others
// may change it too. It tells how many servers were not as they were left.
func (p *ProxyUpdater) ObserveServers(now float64, all []haproxy.ServerState) (foreign int) {
	fresh := map[string]map[string]server{}
	for _, s := range all {
		if fresh[s.Backend] == nil {
			fresh[s.Backend] = map[string]server{}
		}
		x := server{weight: s.Weight, maint: s.Admin&haproxy.ForcedMaint != 0, drainedMs: now}
		x.ready = !x.maint && s.Admin&haproxy.ForcedDrain == 0
		if old, ok := p.servers[s.Backend][s.Server]; ok {
			x.drainedMs = old.drainedMs
			if old.weight != x.weight || old.ready != x.ready || old.maint != x.maint {
				foreign++
			}
		} else if p.observed {
			foreign++
		}
		fresh[s.Backend][s.Server] = x
	}
	for backend, servers := range p.servers {
		for name := range servers {
			if _, ok := fresh[backend][name]; !ok {
				foreign++
			}
		}
	}
	if !p.observed {
		foreign = 0
	}
	p.servers, p.observed, p.inFlight, p.plan = fresh, true, nil, nil
	clear(p.rejections)
	return foreign
}

// ConnectionLost notes that the connection is gone: nothing is known of the proxy any more but when servers were drained.
func (p *ProxyUpdater) ConnectionLost() {
	p.observed, p.inFlight, p.plan = false, nil, nil
	clear(p.appliedRatios)
}

// SetTarget takes in the tables decided. A class whose hosts are not ordered keeps what it has.
func (p *ProxyUpdater) SetTarget(tables []controller.Table) {
	p.plan = nil
	for _, t := range tables {
		p.targetRatios[t.Class] = math.Min(t.AdmissionRatio, 1)
		if !t.Ordered {
			continue
		}
		weights, by := quantizeWeights(t.Weights, p.scales[t.Class])
		p.scales[t.Class] = by
		w := map[string]int{}
		for i, host := range t.Hosts {
			w[host] = weights[i]
		}
		p.target[t.Class] = w
	}
}

// Settled tells whether the proxy has what it should: what is drained and not yet taken off does not count.
func (p *ProxyUpdater) Settled(now float64) bool {
	if !p.observed || p.inFlight != nil {
		return false
	}
	c := p.peek(now)
	return c == nil || c.backend != "" && p.target[c.backend][c.server] == 0 && !p.servers[c.backend][c.server].ready
}

// NextCommand gives the command to be sent now; false where none is, or one is out.
func (p *ProxyUpdater) NextCommand(now float64) (text string, ok bool) {
	if !p.observed || p.inFlight != nil {
		return "", false
	}
	c := p.peek(now)
	if c == nil {
		return "", false
	}
	p.inFlight, p.plan = c, p.plan[1:]
	return c.text, true
}

// peek gives the plan's first command, of a new plan where the old one is done; nil where nothing is to be done.
func (p *ProxyUpdater) peek(now float64) *command {
	if len(p.plan) == 0 {
		p.plan = p.buildPlan(now)
	}
	if len(p.plan) == 0 {
		return nil
	}
	return p.plan[0]
}

// successPrefixes are the answers of commands that were done; all others but an empty one are refusals.
var successPrefixes = []string{"new server registered", "server deleted"}

// ObserveResponse takes in the answer to the command that is out. A refusal is given as an error: the command is tried again a
// few times, and then the server is left until the state is read anew.
func (p *ProxyUpdater) ObserveResponse(now float64, answer string) error {
	c := p.inFlight
	if p.inFlight = nil; c == nil {
		return nil
	}
	text := strings.ToLower(strings.TrimSpace(answer))
	done := text == ""
	for _, s := range successPrefixes {
		done = done || strings.HasPrefix(text, s)
	}
	if !done {
		p.rejections[c.backend+"/"+c.server]++
		if c.backend == "" { // a share that the proxy cannot hold
			c.apply(p, now)
		}
		return fmt.Errorf("%s: %s", c.text, strings.TrimSpace(answer))
	}
	c.apply(p, now)
	return nil
}

// NextDeadlineMs is when Next has something for the sake of time alone: a drained server's end. +Inf: never.
func (p *ProxyUpdater) NextDeadlineMs() float64 {
	due := math.Inf(1)
	for backend, servers := range p.servers {
		for name, h := range servers {
			if w, ok := p.target[backend]; ok && w[name] == 0 && !h.ready && p.rejections[backend+"/"+name] < maxRejections {
				due = math.Min(due, h.drainedMs+p.drainGraceMs)
			}
		}
	}
	return due
}

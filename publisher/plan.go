package publisher

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// refusedMost commands for a server are tried before it is left alone until the next reading.
const refusedMost = 3

// next finds what is most urgent: servers to go to first, then weights, then drains, and last what is taken off. All
// of one kind are one plan. A backend is never left without a ready server: drains wait for the others.
func (p *ProxyUpdater) next(now float64) (plan []*command) {
	names := map[string][]string{}
	for backend, want := range p.want {
		all := maps.Clone(want)
		for name := range p.have[backend] {
			all[name] = 0
		}
		names[backend] = slices.Sorted(maps.Keys(all))
	}
	for _, step := range []func(backend, name string, h server, has bool, want int) *command{p.come, p.weigh, p.drain,
		func(backend, name string, h server, has bool, want int) *command {
			return p.leave(now, backend, name, h, has, want)
		}} {
		for _, backend := range slices.Sorted(maps.Keys(names)) {
			for _, name := range names[backend] {
				if p.failed[backend+"/"+name] >= refusedMost {
					continue
				}
				h, has := p.have[backend][name]
				if c := step(backend, name, h, has, p.want[backend][name]); c != nil {
					c.backend, c.server = backend, name
					plan = append(plan, c)
				}
			}
		}
		if len(plan) > 0 {
			return plan
		}
	}
	for _, class := range slices.Sorted(maps.Keys(p.shares)) {
		if share := p.shares[class]; math.Abs(share-value(p.told, class)) >= 0.0005 {
			plan = append(plan, &command{text: fmt.Sprintf("set var proc.%s%s int(%d)", ShareVariable, class, int(math.Round(share*1000))),
				done: func(p *ProxyUpdater, _ float64) { p.told[class] = share }})
		}
	}
	return plan
}

// ShareVariable and a class name the process variable that holds the share to be let in, in thousandths, for the
// proxy's own rules.
const ShareVariable = "share_"

func value(told map[string]float64, class string) float64 {
	if x, ok := told[class]; ok {
		return x
	}
	return -1
}

func (p *ProxyUpdater) set(backend, name string, change func(*server)) {
	if p.have[backend] == nil {
		p.have[backend] = map[string]server{}
	}
	h := p.have[backend][name]
	change(&h)
	p.have[backend][name] = h
}

// come adds servers, and makes those ready that should be.
func (p *ProxyUpdater) come(backend, name string, h server, has bool, want int) *command {
	switch {
	case want == 0 || h.ready && !h.maint:
		return nil
	case !has: // an added server begins in maintenance
		return &command{text: fmt.Sprintf("add server %s/%s %s weight %d", backend, name, name, want),
			done: func(p *ProxyUpdater, now float64) {
				p.set(backend, name, func(s *server) { *s = server{weight: want, maint: true, since: now} })
			}}
	case h.weight != want: // not first to all its old weight
		return p.weigh(backend, name, server{weight: h.weight, ready: true}, true, want)
	}
	return &command{text: fmt.Sprintf("set server %s/%s state ready", backend, name),
		done: func(p *ProxyUpdater, _ float64) {
			p.set(backend, name, func(s *server) { s.ready, s.maint = true, false })
		}}
}

func (p *ProxyUpdater) weigh(backend, name string, h server, has bool, want int) *command {
	if !has || want == 0 || h.weight == want || !h.ready {
		return nil
	}
	return &command{text: fmt.Sprintf("set weight %s/%s %d", backend, name, want),
		done: func(p *ProxyUpdater, _ float64) { p.set(backend, name, func(s *server) { s.weight = want }) }}
}

func (p *ProxyUpdater) drain(backend, name string, h server, has bool, want int) *command {
	if !has || want > 0 || !h.ready || len(p.want[backend]) > 0 && !p.left(backend) {
		return nil
	}
	return &command{text: fmt.Sprintf("set server %s/%s state drain", backend, name),
		done: func(p *ProxyUpdater, now float64) {
			p.set(backend, name, func(s *server) { s.ready, s.since = false, now })
		}}
}

// left tells whether a server that should have traffic is ready: one whose adding was refused is not.
func (p *ProxyUpdater) left(backend string) bool {
	for name, w := range p.want[backend] {
		if h := p.have[backend][name]; w > 0 && h.ready && h.weight > 0 {
			return true
		}
	}
	return false
}

// leave takes drained servers off once the grace is over.
func (p *ProxyUpdater) leave(now float64, backend, name string, h server, has bool, want int) *command {
	if !has || want > 0 || h.ready || now < h.since+p.grace {
		return nil
	}
	if !h.maint {
		return &command{text: fmt.Sprintf("set server %s/%s state maint", backend, name),
			done: func(p *ProxyUpdater, _ float64) { p.set(backend, name, func(s *server) { s.maint = true }) }}
	}
	return &command{text: fmt.Sprintf("del server %s/%s", backend, name),
		done: func(p *ProxyUpdater, _ float64) { delete(p.have[backend], name) }}
}

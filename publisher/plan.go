package publisher

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// maxRejections commands for a server are tried before it is left alone until the next reading.
const maxRejections = 3

// buildPlan finds what is most urgent: servers to go to first, then weights, then drains, and last what is taken off. All
// of one kind are one plan. A backend is never left without a ready server: drains wait for the others.
func (p *ProxyUpdater) buildPlan(now float64) (plan []*command) {
	names := map[string][]string{}
	for backend, want := range p.target {
		all := maps.Clone(want)
		for name := range p.servers[backend] {
			all[name] = 0
		}
		names[backend] = slices.Sorted(maps.Keys(all))
	}
	for _, step := range []func(backend, name string, h server, has bool, want int) *command{p.addCommand, p.weightCommand, p.drainCommand,
		func(backend, name string, h server, has bool, want int) *command {
			return p.removeCommand(now, backend, name, h, has, want)
		}} {
		for _, backend := range slices.Sorted(maps.Keys(names)) {
			for _, name := range names[backend] {
				if p.rejections[backend+"/"+name] >= maxRejections {
					continue
				}
				h, has := p.servers[backend][name]
				if c := step(backend, name, h, has, p.target[backend][name]); c != nil {
					c.backend, c.server = backend, name
					plan = append(plan, c)
				}
			}
		}
		if len(plan) > 0 {
			return plan
		}
	}
	for _, class := range slices.Sorted(maps.Keys(p.targetRatios)) {
		if share := p.targetRatios[class]; math.Abs(share-appliedRatio(p.appliedRatios, class)) >= 0.0005 {
			plan = append(plan, &command{text: fmt.Sprintf("set var proc.%s%s int(%d)", ShareVariable, class, int(math.Round(share*1000))),
				apply: func(p *ProxyUpdater, _ float64) { p.appliedRatios[class] = share }})
		}
	}
	return plan
}

// ShareVariable and a class name the process variable that holds the share to be let in, in thousandths, for the
// proxy's own rules.
const ShareVariable = "share_"

func appliedRatio(told map[string]float64, class string) float64 {
	if x, ok := told[class]; ok {
		return x
	}
	return -1
}

func (p *ProxyUpdater) update(backend, name string, change func(*server)) {
	if p.servers[backend] == nil {
		p.servers[backend] = map[string]server{}
	}
	h := p.servers[backend][name]
	change(&h)
	p.servers[backend][name] = h
}

// addCommand adds servers, and makes those ready that should be.
func (p *ProxyUpdater) addCommand(backend, name string, h server, has bool, want int) *command {
	switch {
	case want == 0 || h.ready && !h.maint:
		return nil
	case !has: // an added server begins in maintenance
		return &command{text: fmt.Sprintf("add server %s/%s %s weight %d", backend, name, name, want),
			apply: func(p *ProxyUpdater, now float64) {
				p.update(backend, name, func(s *server) { *s = server{weight: want, maint: true, drainedMs: now} })
			}}
	case h.weight != want: // not first to all its old weight
		return p.weightCommand(backend, name, server{weight: h.weight, ready: true}, true, want)
	}
	return &command{text: fmt.Sprintf("set server %s/%s state ready", backend, name),
		apply: func(p *ProxyUpdater, _ float64) {
			p.update(backend, name, func(s *server) { s.ready, s.maint = true, false })
		}}
}

func (p *ProxyUpdater) weightCommand(backend, name string, h server, has bool, want int) *command {
	if !has || want == 0 || h.weight == want || !h.ready {
		return nil
	}
	return &command{text: fmt.Sprintf("set weight %s/%s %d", backend, name, want),
		apply: func(p *ProxyUpdater, _ float64) { p.update(backend, name, func(s *server) { s.weight = want }) }}
}

func (p *ProxyUpdater) drainCommand(backend, name string, h server, has bool, want int) *command {
	if !has || want > 0 || !h.ready || len(p.target[backend]) > 0 && !p.hasReadyServer(backend) {
		return nil
	}
	return &command{text: fmt.Sprintf("set server %s/%s state drain", backend, name),
		apply: func(p *ProxyUpdater, now float64) {
			p.update(backend, name, func(s *server) { s.ready, s.drainedMs = false, now })
		}}
}

// hasReadyServer tells whether a server that should have traffic is ready: one whose adding was refused is not.
func (p *ProxyUpdater) hasReadyServer(backend string) bool {
	for name, w := range p.target[backend] {
		if h := p.servers[backend][name]; w > 0 && h.ready && h.weight > 0 {
			return true
		}
	}
	return false
}

// removeCommand takes drained servers off once the grace is over.
func (p *ProxyUpdater) removeCommand(now float64, backend, name string, h server, has bool, want int) *command {
	if !has || want > 0 || h.ready || now < h.drainedMs+p.drainGraceMs {
		return nil
	}
	if !h.maint {
		return &command{text: fmt.Sprintf("set server %s/%s state maint", backend, name),
			apply: func(p *ProxyUpdater, _ float64) { p.update(backend, name, func(s *server) { s.maint = true }) }}
	}
	return &command{text: fmt.Sprintf("del server %s/%s", backend, name),
		apply: func(p *ProxyUpdater, _ float64) { delete(p.servers[backend], name) }}
}

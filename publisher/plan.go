package publisher

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxRejections is the number of rejected commands after which a server gets no command until the proxy's state
	// is read again.
	maxRejections = 3
	// minRatioChange is the smallest change of an admission ratio that is published: half of the unit in which it is
	// sent.
	minRatioChange = 0.5 / ratioUnits
	// unpublishedRatio replaces the published admission ratio of a class for which the proxy has none yet. It is
	// below any ratio, so that the first one is always published.
	unpublishedRatio = -1
)

// serverDiff compares a server of the proxy with its target.
type serverDiff struct {
	key          serverKey
	exists       bool
	current      server
	targetWeight int // 0: the server is to be removed
}

// planStep returns the command of one kind that a server needs, or nil.
type planStep func(nowMs float64, diff serverDiff) *command

// buildPlan returns the most urgent commands, all of one planStep, in the order of backends and servers. Servers that
// should get traffic are started first, then weights are changed, servers drained and removed, and last the admission
// ratios are set. Since drains wait until other servers are ready, a backend with a target is never left without a
// ready server.
func (p *ProxyUpdater) buildPlan(nowMs float64) []*command {
	diffs := p.diffServers()
	for _, step := range []planStep{p.startServer, p.updateWeight, p.drainServer, p.removeServer} {
		var plan []*command
		for _, diff := range diffs {
			if next := step(nowMs, diff); next != nil {
				plan = append(plan, next)
			}
		}
		if len(plan) > 0 {
			return plan
		}
	}
	return p.changedRatios()
}

// diffServers returns the servers of all backends that have a target, in the order of their names, without those for
// which the proxy rejected maxRejections commands.
func (p *ProxyUpdater) diffServers() []serverDiff {
	var diffs []serverDiff
	for _, backend := range slices.Sorted(maps.Keys(p.target)) {
		targetWeights := p.target[backend]
		names := maps.Clone(targetWeights)
		for name := range p.servers[backend] {
			names[name] = 0
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			key := serverKey{backend: backend, name: name}
			if p.rejections[key] >= maxRejections {
				continue
			}
			current, exists := p.servers[backend][name]
			diffs = append(diffs, serverDiff{
				key:          key,
				exists:       exists,
				current:      current,
				targetWeight: targetWeights[name],
			})
		}
	}
	return diffs
}

// startServer adds a server that should get traffic, or makes it ready. The proxy adds servers in maintenance, and a
// server gets its weight before it is ready, so that it never gets traffic by an old weight.
func (p *ProxyUpdater) startServer(_ float64, diff serverDiff) *command {
	switch {
	case diff.targetWeight == 0 || diff.current.ready && !diff.current.maintenance:
		return nil
	case !diff.exists:
		return &command{operation: addServer, server: diff.key, weight: diff.targetWeight}
	case diff.current.weight != diff.targetWeight:
		return &command{operation: setWeight, server: diff.key, weight: diff.targetWeight}
	default:
		return &command{operation: setReady, server: diff.key}
	}
}

// updateWeight changes the weight of a ready server.
func (p *ProxyUpdater) updateWeight(_ float64, diff serverDiff) *command {
	hasTraffic := diff.exists && diff.current.ready && diff.targetWeight > 0
	if !hasTraffic || diff.current.weight == diff.targetWeight {
		return nil
	}
	return &command{operation: setWeight, server: diff.key, weight: diff.targetWeight}
}

// drainServer drains a server that should get no traffic, once a server of its backend that should get traffic is
// ready. A backend whose target has no servers is drained at once.
func (p *ProxyUpdater) drainServer(_ float64, diff serverDiff) *command {
	if !diff.exists || diff.targetWeight > 0 || !diff.current.ready {
		return nil
	}
	backend := diff.key.backend
	if len(p.target[backend]) > 0 && !p.hasReadyTarget(backend) {
		return nil
	}
	return &command{operation: setDrain, server: diff.key}
}

// hasReadyTarget reports whether a server that should get traffic is ready. A server that the proxy refused to add is
// not ready.
func (p *ProxyUpdater) hasReadyTarget(backend string) bool {
	for name, targetWeight := range p.target[backend] {
		current := p.servers[backend][name]
		if targetWeight > 0 && current.ready && current.weight > 0 {
			return true
		}
	}
	return false
}

// removeServer removes a drained server from the proxy after the drain grace. The proxy deletes only servers that are
// in maintenance.
func (p *ProxyUpdater) removeServer(nowMs float64, diff serverDiff) *command {
	isDrained := diff.exists && diff.targetWeight == 0 && !diff.current.ready
	if !isDrained || nowMs < diff.current.drainedMs+p.drainGraceMs {
		return nil
	}
	if !diff.current.maintenance {
		return &command{operation: setMaintenance, server: diff.key}
	}
	return &command{operation: deleteServer, server: diff.key}
}

// changedRatios returns the commands for the admission ratios that differ from the published ones.
func (p *ProxyUpdater) changedRatios() []*command {
	var plan []*command
	for _, class := range slices.Sorted(maps.Keys(p.targetRatios)) {
		ratio := p.targetRatios[class]
		published, ok := p.publishedRatios[class]
		if !ok {
			published = unpublishedRatio
		}
		if math.Abs(ratio-published) >= minRatioChange {
			plan = append(plan, &command{operation: setAdmissionRatio, class: class, ratio: ratio})
		}
	}
	return plan
}

package platform

import (
	"maps"
	"slices"

	"barleysail/routing"
)

// removedHostRetentionMs is how long a removed host is remembered: it may come back, and reports on it be under way.
const removedHostRetentionMs = 30000.0

// hostProcess is what runs at a host at present. A health check judges only the process that it was sent to.
type hostProcess struct {
	address     string
	startedMs   float64 // in ms since 1970; 0: long ago
	incarnation int     // how often the host came back after it was removed
}

// hostRegistry is what the node knows of hosts besides the balancer, by host index. It belongs to the event loop.
// Hosts that were removed long ago are dropped from it, so a fleet that is replaced host by host does not fill the
// memory.
type hostRegistry struct {
	processes   map[int]hostProcess
	removedAtMs map[int]float64 // when hosts were removed that have not come back
}

func newHostRegistry() hostRegistry {
	return hostRegistry{processes: map[int]hostProcess{}, removedAtMs: map[int]float64{}}
}

// isRemoved reports whether a host was removed and has not come back.
func (r *hostRegistry) isRemoved(host int) bool {
	_, removed := r.removedAtMs[host]
	return removed
}

// applyWatchEvent gives a valid watch event to the balancer; cached means that its age is unknown. The first event
// that brings hosts is given twice, first as a cached one: its hosts without a start time are old, not new.
func (n *Node) applyWatchEvent(event watchEvent, cached bool) {
	first := n.balancer.HostIndexCount() == 0
	if first && !cached {
		n.applyWatchEvent(event, true)
	}
	if event.Snapshot {
		for host := range n.balancer.HostIndexCount() {
			n.markRemoved(host)
		}
		n.balancer.ObserveSnapshot(cached)
	} else {
		n.balancer.ObserveDelta()
	}
	for _, endpoint := range event.Endpoints {
		n.applyEndpoint(endpoint)
	}
	n.log.Debug().
		Int64("generation", event.Generation).
		Bool("snapshot", event.Snapshot).
		Int("entries", len(event.Endpoints)).
		Msg("endpoint list event applied")
	if first && cached {
		n.connectEarlyProxies()
	}
}

// applyEndpoint gives one entry to the balancer. The removal of a host that was never there is left out.
func (n *Node) applyEndpoint(endpoint endpointEntry) {
	state := lifecycleStates[endpoint.Lifecycle]
	host, known := n.balancer.LookupHost(endpoint.Name)
	if !known {
		if state == routing.Removed {
			return
		}
		host = n.balancer.HostIndex(endpoint.Name)
	}
	incarnation := n.hosts.processes[host].incarnation
	if state == routing.Removed {
		n.markRemoved(host)
	} else if n.hosts.isRemoved(host) {
		delete(n.hosts.removedAtMs, host)
		incarnation++
	}
	n.hosts.processes[host] = hostProcess{endpoint.Address, endpoint.StartedAtMs, incarnation}
	zone, _ := n.balancer.ZoneIndex(endpoint.Zone) // unknown only for a removed host, whose zone means nothing
	n.balancer.ObserveEndpoint(host, zone, state, endpoint.Weight, endpoint.StartedAtMs)
}

// connectEarlyProxies connects the proxies that came while no host was known, if there is one now.
func (n *Node) connectEarlyProxies() {
	if n.balancer.HostIndexCount() == 0 {
		return
	}
	for _, proxy := range slices.Sorted(maps.Keys(n.sessions.active)) {
		session := n.sessions.active[proxy]
		n.balancer.ConnectProxy(proxy, session.zone, session.weight)
	}
}

// markRemoved notes that a host is removed, unless it was already or its index is free.
func (n *Node) markRemoved(host int) {
	if !n.hosts.isRemoved(host) && n.balancer.HostID(host) != "" {
		n.hosts.removedAtMs[host] = n.clock.Now()
	}
}

// releaseRemovedHosts forgets hosts that were removed long ago, with their indices, once the balancer lets go of
// them.
func (n *Node) releaseRemovedHosts(nowMs float64) {
	for host, removedAtMs := range n.hosts.removedAtMs {
		if nowMs > removedAtMs+removedHostRetentionMs && n.balancer.ReleaseHost(host) {
			delete(n.hosts.removedAtMs, host)
			delete(n.hosts.processes, host)
		}
	}
}

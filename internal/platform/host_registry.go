package platform

import (
	"maps"
	"slices"

	"barleysail/routing"
)

// removedHostRetentionMs is how long a removed host is retained, since it may come back, and reports on it may still be
// in flight.
const removedHostRetentionMs = 30000.0

// hostProcess identifies the process that a host currently runs. The result of a health check holds only for the
// process that was checked.
type hostProcess struct {
	address     string
	startedMs   float64 // when the process started, in ms since 1970; 0: long ago
	incarnation int     // number of times that the host has come back after a removal
}

// hostRegistry holds, by host index, what the node itself has to know about hosts besides the balancer. It belongs to
// the event loop. Hosts that were removed long ago are dropped, so that a fleet whose hosts are replaced one by one
// does not grow the memory in use.
type hostRegistry struct {
	processes   map[int]hostProcess
	removedAtMs map[int]float64 // when a host was removed, for those that have not come back
}

func newHostRegistry() hostRegistry {
	return hostRegistry{processes: map[int]hostProcess{}, removedAtMs: map[int]float64{}}
}

// isRemoved reports whether a host was removed and has not come back.
func (r *hostRegistry) isRemoved(host int) bool {
	_, removed := r.removedAtMs[host]
	return removed
}

// applyWatchEvent passes a valid watch event to the balancer; cached says that its age is unknown. The first event with
// hosts is passed twice, first as a cached one, so that its hosts without a start time count as started long ago and
// not as new.
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

// applyEndpoint passes one entry to the balancer. It ignores the removal of a host that is not known.
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

// connectEarlyProxies connects the proxies whose sessions began before any host was known, if one is known now.
func (n *Node) connectEarlyProxies() {
	if n.balancer.HostIndexCount() == 0 {
		return
	}
	for _, proxy := range slices.Sorted(maps.Keys(n.sessions.active)) {
		session := n.sessions.active[proxy]
		n.balancer.ConnectProxy(proxy, session.zone, session.weight)
	}
}

// markRemoved records when a host was removed, unless it was removed before or its index is free.
func (n *Node) markRemoved(host int) {
	if !n.hosts.isRemoved(host) && n.balancer.HostID(host) != "" {
		n.hosts.removedAtMs[host] = n.clock.Now()
	}
}

// releaseRemovedHosts forgets hosts that were removed more than removedHostRetentionMs ago and frees their indices. A
// host that a table or a health check in flight still refers to is retained until the next call.
func (n *Node) releaseRemovedHosts(nowMs float64) {
	for host, removedAtMs := range n.hosts.removedAtMs {
		if nowMs > removedAtMs+removedHostRetentionMs && n.balancer.ReleaseHost(host) {
			delete(n.hosts.removedAtMs, host)
			delete(n.hosts.processes, host)
		}
	}
}

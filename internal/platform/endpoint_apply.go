package platform

import (
	"maps"
	"slices"

	"barleysail/routing"
)

// applyKnownEndpoints applies the known endpoints of the configuration when the node starts. There is no endpoint list
// in force that could stay, as it does after a rejected list of the discovery service, so only malformed entries are
// dropped.
func (n *Node) applyKnownEndpoints() {
	known := n.config.knownEndpoints
	known.Snapshot = true
	known.Endpoints = slices.DeleteFunc(known.Endpoints, func(e endpointEntry) bool {
		err := e.validate(n.balancer.ZoneIndex)
		if err != nil {
			n.warnings.warn("malformed known endpoint dropped", err)
		}
		return err != nil
	})
	n.applyWatchEvent(known, true)
	n.config.knownEndpoints = watchEvent{}
}

// applyWatchEvent passes a valid watch event to the balancer; cached says that its age is unknown. With the first event
// that has hosts, it connects the proxies that wait for them.
func (n *Node) applyWatchEvent(event watchEvent, cached bool) {
	first := n.balancer.HostIndexCount() == 0
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
	if first {
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

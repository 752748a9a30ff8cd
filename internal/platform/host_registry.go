package platform

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

// hostRegistry holds, by host index, the state of hosts that the node keeps in addition to that of the balancer. It
// belongs to the event loop. Hosts that were removed longer than removedHostRetentionMs ago are dropped, so that memory
// use stays bounded while the hosts of a fleet are replaced one by one.
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

// markRemoved records when a host was removed, unless it was removed before or its index is free.
func (n *Node) markRemoved(host int) {
	if !n.hosts.isRemoved(host) && n.balancer.HostName(host) != "" {
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

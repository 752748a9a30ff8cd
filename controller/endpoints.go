package controller

import (
	"fmt"
	"math"
	"sort"

	"barleysail/routing"
)

// Endpoint is a host on the endpoint list.
type Endpoint struct {
	Host      string // address:port, the address an IP address or a DNS name
	Zone      string
	State     routing.HostState // Ready or Draining
	Weight    float64           // relative to the other hosts; 0: not given
	StartedMs float64           // time of the last start, in ms; 0: not given
	Cores     float64           // for solver weights; 0: not given
	Speed     float64           // of a core, relative to the other hosts; 0: not given, which means 1
}

// speed returns the speed of a core, 1 if it is not given.
func (e Endpoint) speed() float64 {
	if e.Speed == 0 {
		return 1
	}
	return e.Speed
}

// endpointList holds the endpoint list in force, and the hosts that were removed from it.
type endpointList struct {
	received        []Endpoint          // list as it was received
	effective       map[string]Endpoint // with the overrides of operators, by host
	drainingSinceMs map[string]float64  // by host
	removed         []removedHost       // in the order in which they are to be forgotten
	known           bool                // whether a list was received
	watchFailed     bool                // whether the watch has failed since a list was last received
	receivedMs      float64             // time at which a valid list was last received
}

// removedHost is a host that is no longer listed, with the time at which it is to be forgotten.
type removedHost struct {
	host       string
	forgetAtMs float64
}

func newEndpointList() endpointList {
	return endpointList{effective: map[string]Endpoint{}, drainingSinceMs: map[string]float64{}}
}

// nextMs returns the time at which the next removed host is to be forgotten, +Inf if there is none.
func (l *endpointList) nextMs() float64 {
	if len(l.removed) == 0 {
		return math.Inf(1)
	}
	return l.removed[0].forgetAtMs
}

// SetEndpoints replaces the whole endpoint list. Hosts of the first list without a start time count as started long
// ago; a host that is added later without one counts as started when it is added.
//
// A list with an invalid entry is rejected: the error is a *FieldError that names the field, and the list in force
// stays. A valid list that loses too many ready hosts at once may be held back, see EnableValidation: SetEndpoints then
// returns nil and records an event, and the list in force stays until the loss is confirmed or the hold is over.
func (c *Controller) SetEndpoints(nowMs float64, entries []Endpoint) error {
	c.nowMs = nowMs
	if err := c.checkEndpoints(entries); err != nil {
		return err
	}
	c.endpoints.receivedMs = nowMs
	c.endpoints.watchFailed = false
	if c.updateEndpointHold(entries) {
		return nil
	}
	c.acceptEndpoints(entries)
	return nil
}

// acceptEndpoints puts a list into effect.
func (c *Controller) acceptEndpoints(entries []Endpoint) {
	before := len(c.endpoints.received)
	if before != len(entries) || !c.endpoints.known {
		c.recordEvent(eventEndpoints, fmt.Sprintf("the list has %d hosts, before %d", len(entries), before))
	}
	c.endpoints.received = append([]Endpoint(nil), entries...)
	c.applyEndpoints()
}

// applyEndpoints passes the list in force, with the overrides of operators, to the balancer.
func (c *Controller) applyEndpoints() {
	c.observeEndpoints(c.withOverrides(c.endpoints.received))
	c.requestRound()
}

// ObserveWatchFailure records that the endpoint list could not be read, or that the watch of its changes has failed.
// The list in force stays, and the balancer schedules a retry with backoff.
func (c *Controller) ObserveWatchFailure(nowMs float64) {
	c.nowMs = nowMs
	c.endpoints.watchFailed = true
	c.recordEvent(eventEndpoints, "the list could not be had")
	c.balancer.ObserveWatchFailure()
	c.requestRound()
}

// HasEndpoint reports whether a host is on the endpoint list, with the overrides of operators.
func (c *Controller) HasEndpoint(host string) bool {
	_, ok := c.endpoints.effective[host]
	return ok
}

// EndpointsKnown reports whether an endpoint list was received yet. Until then the controller has no state that is
// worth persisting.
func (c *Controller) EndpointsKnown() bool { return c.endpoints.known }

// observeEndpoints passes the differences from the previous list to the balancer. A host that is no longer listed is
// removed.
func (c *Controller) observeEndpoints(entries []Endpoint) {
	sorted := append([]Endpoint(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Host < sorted[j].Host })
	if !c.endpoints.known {
		c.observeFirstEndpoints(sorted)
		return
	}
	c.balancer.ObserveDelta()
	changed := c.changedEndpoints(sorted)
	for _, endpoint := range c.missingEndpoints(sorted) {
		c.observeRemoval(endpoint)
	}
	c.observeEntries(changed)
}

// observeFirstEndpoints passes the first list to the balancer, as a snapshot.
func (c *Controller) observeFirstEndpoints(sorted []Endpoint) {
	for i := range sorted {
		sorted[i].StartedMs = c.startMs(sorted[i])
	}
	c.balancer.ObserveSnapshot(false)
	c.observeEntries(sorted)
	c.endpoints.known = true
	c.restoreHosts(sorted)
	// Proxies have not been sent their empty tables so far, see classTableOf.
	for _, session := range c.sessions.byIndex {
		if session != nil && len(session.versions) > 0 {
			c.channel.enqueue(session, assignmentEntries, false, noStamp)
		}
	}
}

// changedEndpoints returns the entries that are new or differ from the previous list.
func (c *Controller) changedEndpoints(sorted []Endpoint) []Endpoint {
	var changed []Endpoint
	for _, endpoint := range sorted {
		if old, ok := c.endpoints.effective[endpoint.Host]; !ok || old != endpoint {
			changed = append(changed, endpoint)
		}
	}
	return changed
}

// missingEndpoints returns the entries of the previous list whose hosts are no longer listed, by name.
func (c *Controller) missingEndpoints(sorted []Endpoint) []Endpoint {
	listed := make(map[string]bool, len(sorted))
	for _, endpoint := range sorted {
		listed[endpoint.Host] = true
	}
	var missing []Endpoint
	for host, endpoint := range c.endpoints.effective {
		if !listed[host] {
			missing = append(missing, endpoint)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].Host < missing[j].Host })
	return missing
}

// observeRemoval notifies the balancer that a host is no longer listed.
func (c *Controller) observeRemoval(endpoint Endpoint) {
	host := endpoint.Host
	c.balancer.ObserveEndpoint(c.hostIndex.Index(host), c.zoneIndex[endpoint.Zone], routing.Removed,
		c.baseWeight(endpoint), 0)
	c.validation.hostsChanged = true
	delete(c.endpoints.effective, host)
	delete(c.endpoints.drainingSinceMs, host)
	delete(c.restored.drainingSinceMs, host)
	c.retainRemoved(host)
}

// retainRemoved schedules the time at which a removed host is forgotten.
func (c *Controller) retainRemoved(host string) {
	forgetAtMs := c.nowMs + c.settings.RemovedHostRetentionMs
	c.endpoints.removed = append(c.endpoints.removed, removedHost{host, forgetAtMs})
}

// observeEntries passes entries to the balancer. A host without a start time that is added to a list counts as started
// now, also if it was removed and is listed again; one of the first list counts as started long ago.
func (c *Controller) observeEntries(entries []Endpoint) {
	for _, endpoint := range entries {
		host := endpoint.Host
		old, listed := c.endpoints.effective[host]
		startedMs := endpoint.StartedMs
		if c.endpoints.known && !listed && startedMs == 0 {
			startedMs = c.nowMs
		}
		index := c.hostIndex.Index(host)
		if startedMs > 0 && startedMs != old.StartedMs {
			c.ingest.trust.Forget(host)
		}
		c.balancer.ObserveEndpoint(index, c.zoneIndex[endpoint.Zone], endpoint.State, c.baseWeight(endpoint), startedMs)
		c.endpoints.effective[host] = endpoint
		c.observeValidatedHost(index, endpoint)
		c.observeDrain(endpoint)
	}
}

// observeDrain records the time since which a host is draining.
func (c *Controller) observeDrain(endpoint Endpoint) {
	if endpoint.State != routing.Draining {
		delete(c.endpoints.drainingSinceMs, endpoint.Host)
	} else if c.endpoints.drainingSinceMs[endpoint.Host] == 0 {
		c.endpoints.drainingSinceMs[endpoint.Host] = c.nowMs
	}
}

// forgetRemovedHosts forgets hosts that were removed more than Settings.RemovedHostRetentionMs ago, so that their
// indices can be assigned to other hosts. A host that a table or a health check in flight still refers to is retained
// for another period.
func (c *Controller) forgetRemovedHosts() {
	list := &c.endpoints
	for len(list.removed) > 0 && list.removed[0].forgetAtMs <= c.nowMs {
		host := list.removed[0].host
		list.removed = list.removed[1:]
		index, known := c.hostIndex.IndexOf[host]
		if c.HasEndpoint(host) || !known {
			continue
		}
		if !c.balancer.ForgetHost(index) {
			c.retainRemoved(host)
			continue
		}
		c.hostIndex.Release(host)
		c.ingest.trust.Forget(host)
		c.ingest.queue.DropSource(hostSource(host))
		c.weightChanges.forget(index)
	}
}

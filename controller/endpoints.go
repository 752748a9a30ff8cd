package controller

import (
	"fmt"
	"math"
	"sort"

	"barleysail/routing"
)

// Endpoint of the host list.
type Endpoint struct {
	Host      string // address:port, the address an IP address or a DNS name
	Zone      string
	State     routing.HostState
	Weight    float64 // compared with those of other hosts; 0 says nothing
	StartedMs float64 // time of the last start; 0: not told
	Cores     float64 // for solved weights; 0: not told
	Speed     float64 // of a core, against others; 0: not told, taken as 1
}

// speed of a core, 1 where it is not told.
func (e Endpoint) speed() float64 {
	if e.Speed == 0 {
		return 1
	}
	return e.Speed
}

// endpointList is the host list as last told, and the hosts that left it.
type endpointList struct {
	received    []Endpoint          // as it came
	effective   map[string]Endpoint // with what operators set laid over it
	removed     []removedHost       // by time
	known       bool
	watchFailed bool
	receivedMs  float64
}

// removedHost is a host that left the list, to be forgotten at a time.
type removedHost struct {
	host       string
	forgetAtMs float64
}

func newList() endpointList { return endpointList{effective: map[string]Endpoint{}} }

func (l *endpointList) nextMs() float64 {
	if len(l.removed) == 0 {
		return math.Inf(1)
	}
	return l.removed[0].forgetAtMs
}

// SetEndpoints notes the whole list as it now stands. The hosts of the first list that tell no start count as
// started long ago; later a new host without one starts when it is listed. The error names the entry's field.
func (s *Controller) SetEndpoints(now float64, entries []Endpoint) error {
	s.nowMs = now
	if err := s.checkEndpoints(entries); err != nil {
		return err
	}
	if s.endpoints.receivedMs, s.endpoints.watchFailed = now, false; s.holdsEndpoints(entries) {
		return nil
	}
	s.acceptEndpoints(entries)
	return nil
}

// acceptEndpoints takes a list for what is so.
func (s *Controller) acceptEndpoints(entries []Endpoint) {
	if before := len(s.endpoints.received); before != len(entries) || !s.endpoints.known {
		s.recordEvent("list", fmt.Sprintf("the list has %d hosts, before %d", len(entries), before))
	}
	s.endpoints.received = append([]Endpoint(nil), entries...)
	s.observeEndpoints(s.withOverrides(s.endpoints.received))
	s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
}

// ObserveWatchFailure notes that the list could not be had, or that it no longer sends its changes.
func (s *Controller) ObserveWatchFailure(now float64) {
	s.nowMs = now
	s.endpoints.watchFailed = true
	s.recordEvent("list", "the list could not be had")
	s.balancer.ObserveWatchFailure()
	s.scheduler.request(now, s.settings.MinRoundIntervalMs)
}

// observeEndpoints feeds the module what differs from the list before; a host that is no longer listed is gone. The first
// list goes in twice, as a list of unknown age and as the present one, since only then does the module take a
// later entry without a start for one that has just started.
func (s *Controller) observeEndpoints(entries []Endpoint) {
	sorted := append([]Endpoint(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Host < sorted[j].Host })
	l := &s.endpoints
	first := !l.known
	l.known = true
	if first {
		for i := range sorted {
			sorted[i].StartedMs = s.startMs(sorted[i])
		}
		s.balancer.ObserveSnapshot(true)
		s.observeEntries(sorted)
		s.balancer.ObserveSnapshot(false)
		s.observeEntries(sorted)
		s.restoreHosts(sorted)
		for _, m := range s.sessions.byIndex { // until now an empty table was not told, see view
			if m != nil && len(m.versions) > 0 {
				s.channel.enqueue(m, 1, false, versionStamp{round: s.tables.round})
			}
		}
		return
	}
	s.balancer.ObserveDelta()
	listed := make(map[string]bool, len(sorted))
	var changed []Endpoint
	for _, e := range sorted {
		listed[e.Host] = true
		if old, ok := l.effective[e.Host]; !ok || old != e {
			changed = append(changed, e)
		}
	}
	var left []Endpoint
	for host, e := range l.effective {
		if !listed[host] {
			left = append(left, e)
		}
	}
	sort.Slice(left, func(i, j int) bool { return left[i].Host < left[j].Host })
	for _, e := range left {
		s.balancer.ObserveEndpoint(s.hostIndex.Index(e.Host), s.zoneIndex[e.Zone], routing.Removed, s.baseWeight(e), 0)
		s.validation.hostsChanged = true
		delete(l.effective, e.Host)
		delete(s.drainingSinceMs, e.Host)
		delete(s.restored.drainingSinceMs, e.Host)
		l.removed = append(l.removed, removedHost{e.Host, s.nowMs + s.settings.RemovedHostRetentionMs})
	}
	s.observeEntries(changed)
}

// observeEntries gives entries to the module. A host that had left and is back without a start has started now.
func (s *Controller) observeEntries(entries []Endpoint) {
	for _, e := range entries {
		started := e.StartedMs
		_, known := s.hostIndex.IndexOf[e.Host]
		if _, listed := s.endpoints.effective[e.Host]; known && !listed && started == 0 {
			started = s.nowMs
		}
		h := s.hostIndex.Index(e.Host)
		if old := s.endpoints.effective[e.Host]; started > 0 && started != old.StartedMs {
			s.ingest.trust.Forget(e.Host)
		}
		s.balancer.ObserveEndpoint(h, s.zoneIndex[e.Zone], e.State, s.baseWeight(e), started)
		s.endpoints.effective[e.Host] = e
		s.observeValidatedHost(h, e)
		if e.State != routing.Draining {
			delete(s.drainingSinceMs, e.Host)
		} else if s.drainingSinceMs[e.Host] == 0 {
			s.drainingSinceMs[e.Host] = s.nowMs
		}
	}
}

// forgetRemovedHosts gives up hosts that left the list long ago, so that their indices can be given to others. One that a
// table or a probe still names, or that is back, waits for another turn.
func (s *Controller) forgetRemovedHosts() {
	l := &s.endpoints
	for len(l.removed) > 0 && l.removed[0].forgetAtMs <= s.nowMs {
		host := l.removed[0].host
		l.removed = l.removed[1:]
		h, ok := s.hostIndex.IndexOf[host]
		if _, back := l.effective[host]; back || !ok {
			continue
		}
		if s.balancer.ForgetHost(h) {
			s.hostIndex.Release(host)
			s.ingest.trust.Forget(host)
			s.ingest.queue.Forget(hostSource(host))
			if h < len(s.weightChanges) {
				s.weightChanges[h] = nil
			}
		} else {
			l.removed = append(l.removed, removedHost{host, s.nowMs + s.settings.RemovedHostRetentionMs})
		}
	}
}

// HasEndpoint tells whether a host is on the list, with what operators set laid over it.
func (s *Controller) HasEndpoint(host string) bool { _, ok := s.endpoints.effective[host]; return ok }

// EndpointsKnown tells whether a list has come yet: before, nothing was learned.
func (s *Controller) EndpointsKnown() bool { return s.endpoints.known }

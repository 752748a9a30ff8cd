package controller

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"

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

// maxHosts bounds a list; indices and tables grow with it.
const maxHosts = 50000

var dnsNamePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?)*$`)

// CheckAddress tells what is wrong with an address:port, if anything.
func CheckAddress(host string) error {
	if a, err := netip.ParseAddrPort(host); err == nil && a.Port() > 0 {
		return nil
	}
	at := strings.LastIndexByte(host, ':')
	if at < 0 {
		return fmt.Errorf("%q is no address:port", host)
	}
	port, err := strconv.ParseUint(host[at+1:], 10, 16)
	if err != nil || port == 0 || len(host) > 255 || !dnsNamePattern.MatchString(host[:at]) ||
		strings.Trim(host[:at], "0123456789.") == "" {
		return fmt.Errorf("%q is no address:port", host)
	}
	return nil
}

func (s *Controller) checkEndpoints(entries []Endpoint) error {
	if len(entries) > maxHosts {
		return invalidField("hosts", "%d entries, %d at most", len(entries), maxHosts)
	}
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		field := fmt.Sprintf("hosts[%d]", i)
		if err := CheckAddress(e.Host); err != nil {
			return invalidField(field+".address", "%v", err)
		}
		if seen[e.Host] {
			return invalidField(field+".address", "%s stands there twice", e.Host)
		}
		seen[e.Host] = true
		if _, ok := s.zoneIndex[e.Zone]; !ok {
			return invalidField(field+".zone", "%q is not among the zones %s", e.Zone, strings.Join(s.deployment.Zones, ", "))
		}
		if e.State != routing.Ready && e.State != routing.Draining {
			return invalidField(field+".phase", "%d is neither ready nor draining", e.State)
		}
		if !(e.Weight >= 0 && e.Weight <= 1e6) {
			return invalidField(field+".weight", "%g is not from 0 to 1000000", e.Weight)
		}
		if !(e.Cores >= 0 && e.Cores <= 1e9) || !(e.Speed >= 0 && e.Speed <= 1e9) {
			return invalidField(field+".cores", "%g cores of speed %g", e.Cores, e.Speed)
		}
		if !(e.StartedMs >= 0 && e.StartedMs <= 1e15) {
			return invalidField(field+".started", "%g is no time", e.StartedMs)
		}
	}
	return nil
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

func (l *endpointList) nextMs() float64 {
	if len(l.removed) == 0 {
		return math.Inf(1)
	}
	return l.removed[0].forgetAtMs
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

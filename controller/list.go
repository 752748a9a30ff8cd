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

// list is the host list as last told, and the hosts that left it.
type list struct {
	raw     []Endpoint          // as it came
	entries map[string]Endpoint // with what operators set laid over it
	gone    []departed          // by time
	known   bool
	failed  bool
	at      float64
}

// departed is a host that left the list, to be forgotten at a time.
type departed struct {
	host string
	at   float64
}

func newList() list { return list{entries: map[string]Endpoint{}} }

// mostHosts bounds a list; indices and tables grow with it.
const mostHosts = 50000

var dnsName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?)*$`)

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
	if err != nil || port == 0 || len(host) > 255 || !dnsName.MatchString(host[:at]) ||
		strings.Trim(host[:at], "0123456789.") == "" {
		return fmt.Errorf("%q is no address:port", host)
	}
	return nil
}

func (s *Controller) checkList(entries []Endpoint) error {
	if len(entries) > mostHosts {
		return refuse("hosts", "%d entries, %d at most", len(entries), mostHosts)
	}
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		field := fmt.Sprintf("hosts[%d]", i)
		if err := CheckAddress(e.Host); err != nil {
			return refuse(field+".address", "%v", err)
		}
		if seen[e.Host] {
			return refuse(field+".address", "%s stands there twice", e.Host)
		}
		seen[e.Host] = true
		if _, ok := s.zone[e.Zone]; !ok {
			return refuse(field+".zone", "%q is not among the zones %s", e.Zone, strings.Join(s.fleet.Zones, ", "))
		}
		if e.State != routing.Ready && e.State != routing.Draining {
			return refuse(field+".phase", "%d is neither ready nor draining", e.State)
		}
		if !(e.Weight >= 0 && e.Weight <= 1e6) {
			return refuse(field+".weight", "%g is not from 0 to 1000000", e.Weight)
		}
		if !(e.Cores >= 0 && e.Cores <= 1e9) || !(e.Speed >= 0 && e.Speed <= 1e9) {
			return refuse(field+".cores", "%g cores of speed %g", e.Cores, e.Speed)
		}
		if !(e.StartedMs >= 0 && e.StartedMs <= 1e15) {
			return refuse(field+".started", "%g is no time", e.StartedMs)
		}
	}
	return nil
}

// take feeds the module what differs from the list before; a host that is no longer listed is gone. The first
// list goes in twice, as a list of unknown age and as the present one, since only then does the module take a
// later entry without a start for one that has just started.
func (s *Controller) take(entries []Endpoint) {
	sorted := append([]Endpoint(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Host < sorted[j].Host })
	l := &s.list
	first := !l.known
	l.known = true
	if first {
		for i := range sorted {
			sorted[i].StartedMs = s.started(sorted[i])
		}
		s.module.ObserveSnapshot(true)
		s.enter(sorted)
		s.module.ObserveSnapshot(false)
		s.enter(sorted)
		s.recallHosts(sorted)
		for _, m := range s.members.byIndex { // until now an empty table was not told, see view
			if m != nil && len(m.versions) > 0 {
				s.channel.order(m, 1, false, mark{round: s.tables.round})
			}
		}
		return
	}
	s.module.ObserveDelta()
	listed := make(map[string]bool, len(sorted))
	var changed []Endpoint
	for _, e := range sorted {
		listed[e.Host] = true
		if old, ok := l.entries[e.Host]; !ok || old != e {
			changed = append(changed, e)
		}
	}
	var left []Endpoint
	for host, e := range l.entries {
		if !listed[host] {
			left = append(left, e)
		}
	}
	sort.Slice(left, func(i, j int) bool { return left[i].Host < left[j].Host })
	for _, e := range left {
		s.module.ObserveEndpoint(s.hosts.Index(e.Host), s.zone[e.Zone], routing.Removed, s.weight(e), 0)
		s.guarding.changed = true
		delete(l.entries, e.Host)
		delete(s.drained, e.Host)
		delete(s.memory.drains, e.Host)
		l.gone = append(l.gone, departed{e.Host, s.now + s.polls.RemovedHostRetentionMs})
	}
	s.enter(changed)
}

// enter gives entries to the module. A host that had left and is back without a start has started now.
func (s *Controller) enter(entries []Endpoint) {
	for _, e := range entries {
		started := e.StartedMs
		_, known := s.hosts.IndexOf[e.Host]
		if _, listed := s.list.entries[e.Host]; known && !listed && started == 0 {
			started = s.now
		}
		h := s.hosts.Index(e.Host)
		if old := s.list.entries[e.Host]; started > 0 && started != old.StartedMs {
			s.intake.trust.Forget(e.Host)
		}
		s.module.ObserveEndpoint(h, s.zone[e.Zone], e.State, s.weight(e), started)
		s.list.entries[e.Host] = e
		s.guardHost(h, e)
		if e.State != routing.Draining {
			delete(s.drained, e.Host)
		} else if s.drained[e.Host] == 0 {
			s.drained[e.Host] = s.now
		}
	}
}

func (l *list) next() float64 {
	if len(l.gone) == 0 {
		return math.Inf(1)
	}
	return l.gone[0].at
}

// forget gives up hosts that left the list long ago, so that their indices can be given to others. One that a
// table or a probe still names, or that is back, waits for another turn.
func (s *Controller) forget() {
	l := &s.list
	for len(l.gone) > 0 && l.gone[0].at <= s.now {
		host := l.gone[0].host
		l.gone = l.gone[1:]
		h, ok := s.hosts.IndexOf[host]
		if _, back := l.entries[host]; back || !ok {
			continue
		}
		if s.module.ForgetHost(h) {
			s.hosts.Release(host)
			s.intake.trust.Forget(host)
			s.intake.queue.Forget(direct(host))
			if h < len(s.moves) {
				s.moves[h] = nil
			}
		} else {
			l.gone = append(l.gone, departed{host, s.now + s.polls.RemovedHostRetentionMs})
		}
	}
}

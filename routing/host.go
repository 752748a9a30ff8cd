package routing

import "slices"

// neverMs is before any time.
const neverMs = -1e18

// sums of what proxies met at a server.
type sums struct{ successes, failures, latencyMs, spanMs float64 }

// hostRecord is what the steward knows of one host.
type hostRecord struct {
	zone                                      int
	state                                     HostState
	discovered                                bool     // on a list
	baseWeight, startedAtMs                   float64  // listed weight; last known start, or -1 where that is long ago
	weight                                    float64  // where the moves have put it, as a listed weight
	published                                 float64  // what the tables hold
	pending, window                           sums     // since the last report round; faded sums of the rounds before
	load                                      HostLoad // as last reported
	arrivalRate, meanLatencyMs                float64  // λ and R
	cooldownUntilMs                           float64  // no move before this time
	holders                                   int      // proxies that hold it in a table of their own
	subsetRate                                float64  // and the traffic they send there
	changedAtMs                               float64  // when the list last changed what it says of it
	lastSuccessAtMs                           float64  // when sums last showed a try fulfilled
	consecutiveFailures, consecutiveSuccesses int      // probes in a row unanswered, answered
	unreachable                               bool     // the last unanswered probe found nothing there
	checkInFlight                             bool     // a probe is out
	nextCheckAtMs                             float64  // when the next one is due
	suspicion                                 float64  // probes unanswered lately
	ejected                                   bool     // withdrawn
	recoveringSinceMs                         float64  // when it returned on trial
	recentSuccesses, recentFailures           float64  // faded fast: tries fulfilled and failed, also while a move has yet to show
	incarnation                               int      // counts the hosts that had this index
}

func (s *Balancer) host(h int) *hostRecord {
	s.hosts = grow(s.hosts, h+1, hostRecord{startedAtMs: -1, recoveringSinceMs: neverMs, load: UnknownLoad})
	return &s.hosts[h]
}

// ForgetHost drops what is kept of a host that is gone, so that its index may be given to another. It answers
// false, and keeps all, while a table or a probe still names the host.
func (s *Balancer) ForgetHost(host int) bool {
	if host >= len(s.hosts) {
		return true
	}
	v := &s.hosts[host]
	if v.state != Removed || v.published != 0 || v.checkInFlight {
		return false
	}
	for i := range s.proxies {
		if slices.Contains(s.proxies[i].subset, host) {
			return false
		}
	}
	if at := slices.Index(s.hostOrder, host); at >= 0 {
		s.hostOrder = slices.Delete(s.hostOrder, at, at+1)
		if at < s.checkedHosts {
			s.checkedHosts--
		}
	}
	*v = hostRecord{startedAtMs: -1, recoveringSinceMs: neverMs, load: UnknownLoad, incarnation: v.incarnation + 1}
	return true
}

// grow gives the list with at least n entries, new ones as fresh.
func grow[T any](list []T, n int, fresh T) []T {
	for len(list) < n {
		list = append(list, fresh)
	}
	return list
}

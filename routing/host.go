package routing

import "slices"

// longAgo is before any time.
const longAgo = -1e18

// sums of what proxies met at a server.
type sums struct{ good, bad, time, span float64 }

// server is what the steward knows of one host.
type server struct {
	zone            int
	phase           HostState
	seen            bool     // on a list
	listed, started float64  // listed weight; last known start, or -1 where that is long ago
	weight          float64  // where the moves have put it, as a listed weight
	told            float64  // what the tables hold
	fresh, past     sums     // since the last report round; faded sums of the rounds before
	load            HostLoad // as last reported
	rate, r         float64  // λ and R
	hold            float64  // no move before this time
	holders         int      // proxies that hold it in a table of their own
	carried         float64  // and the traffic they send there
	since           float64  // when the list last changed what it says of it
	fed             float64  // when sums last showed a try fulfilled
	strikes, fine   int      // probes in a row unanswered, answered
	absent          bool     // the last unanswered probe found nothing there
	probing         bool     // a probe is out
	probeAt         float64  // when the next one is due
	doubt           float64  // probes unanswered lately
	out             bool     // withdrawn
	back            float64  // when it returned on trial
	won, lost       float64  // faded fast: tries fulfilled and failed, also while a move has yet to show
	life            int      // counts the hosts that had this index
}

func (s *Balancer) server(h int) *server {
	s.servers = grown(s.servers, h+1, server{started: -1, back: longAgo, load: UnknownLoad})
	return &s.servers[h]
}

// ForgetHost drops what is kept of a host that is gone, so that its index may be given to another. It answers
// false, and keeps all, while a table or a probe still names the host.
func (s *Balancer) ForgetHost(host int) bool {
	if host >= len(s.servers) {
		return true
	}
	v := &s.servers[host]
	if v.phase != Removed || v.told != 0 || v.probing {
		return false
	}
	for i := range s.proxies {
		if slices.Contains(s.proxies[i].hand, host) {
			return false
		}
	}
	if at := slices.Index(s.order, host); at >= 0 {
		s.order = slices.Delete(s.order, at, at+1)
		if at < s.planned {
			s.planned--
		}
	}
	*v = server{started: -1, back: longAgo, load: UnknownLoad, life: v.life + 1}
	return true
}

// grown gives the list with at least n entries, new ones as fresh.
func grown[T any](list []T, n int, fresh T) []T {
	for len(list) < n {
		list = append(list, fresh)
	}
	return list
}

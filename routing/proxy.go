package routing

type proxy struct {
	zone               int
	rate               float64   // transactions a second that it usually gets
	joined, bound, own bool      // bound to the shared table, or to one of its own
	hand               []int     // the hosts in its own table
	sent               []float64 // times of messages to it
	held, came, span   float64   // their weight; transactions that came lately, in this time
	unanswered         []message // written to it, oldest first
}

func (s *Balancer) ConnectProxy(p, zone int, rate float64) {
	s.DisconnectProxy(p)
	s.proxies = grown(s.proxies, p+1, proxy{})
	s.proxies[p] = proxy{zone: zone, rate: rate + 0.01, joined: true, hand: s.proxies[p].hand}
	s.joined++
	s.zoneBack[zone] = true
}

func (s *Balancer) DisconnectProxy(p int) {
	if p < len(s.proxies) && s.proxies[p].joined {
		q := &s.proxies[p]
		q.joined = false
		s.joined--
		s.gone(q, len(q.unanswered)) // what waits for it is lost
	}
}

// ForgetProxy drops the table of a proxy that has left; the caller drops its lines too.
func (s *Balancer) ForgetProxy(p int) {
	if p < len(s.proxies) && !s.proxies[p].joined {
		s.proxies[p].hand = nil
	}
}

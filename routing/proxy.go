package routing

type proxyRecord struct {
	zone                                         int
	requestRate                                  float64         // transactions a second that it usually gets
	connected, assigned, ownsTable               bool            // bound to the shared table, or to one of its own
	subset                                       []int           // the hosts in its own table
	messageTimesMs                               []float64       // times of messages to it
	subsetWeight, pendingRequests, pendingSpanMs float64         // their weight; transactions that came lately, in this time
	unacknowledged                               []updateMessage // written to it, oldest first
}

func (s *Balancer) ConnectProxy(p, zone int, rate float64) {
	s.DisconnectProxy(p)
	s.proxies = grow(s.proxies, p+1, proxyRecord{})
	s.proxies[p] = proxyRecord{zone: zone, requestRate: rate + 0.01, connected: true, subset: s.proxies[p].subset}
	s.connectedProxies++
	s.zoneReconnected[zone] = true
}

func (s *Balancer) DisconnectProxy(p int) {
	if p < len(s.proxies) && s.proxies[p].connected {
		q := &s.proxies[p]
		q.connected = false
		s.connectedProxies--
		s.releaseMessages(q, len(q.unacknowledged)) // what waits for it is lost
	}
}

// ForgetProxy drops the table of a proxy that has left; the caller drops its lines too.
func (s *Balancer) ForgetProxy(p int) {
	if p < len(s.proxies) && !s.proxies[p].connected {
		s.proxies[p].subset = nil
	}
}

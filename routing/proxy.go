package routing

// minProxyRate, in requests a second, is added to a proxy's usual rate, so that its share of the weight is never 0.
const minProxyRate = 0.01

// proxyRecord is the balancer's state of one proxy.
type proxyRecord struct {
	zone        int
	connected   bool
	requestRate float64 // requests a second that it receives, smoothed

	pendingRequests float64 // requests that it received since the last report round
	pendingSpanMs   float64 // the time in which it received them

	assigned     bool    // it was assigned a table since it connected
	ownsTable    bool    // that table is its own, with a subset of the hosts
	subset       []int   // the hosts in its own table; it may be outdated while the table is not in use
	subsetWeight float64 // their published weight

	// fallbackTable is the table of another zone, or the proxy's own with hosts of other zones, for the classes that may
	// leave the proxy's zone; or noFallbackTable.
	fallbackTable int

	messageTimesMs []float64       // send times of its messages within the message window, oldest first
	unacknowledged []updateMessage // messages that it has not acknowledged, oldest first
}

// ConnectProxy records that a proxy has connected, or connected again; it then has no table until the next round.
// rate is the usual number of requests a second that it receives.
func (b *Balancer) ConnectProxy(proxy, zone int, rate float64) {
	b.DisconnectProxy(proxy)
	b.proxies = grow(b.proxies, proxy+1, proxyRecord{})
	record := &b.proxies[proxy]
	*record = proxyRecord{zone: zone, requestRate: rate + minProxyRate, connected: true, subset: record.subset}
	b.connectedProxies++
	b.zoneReconnected[zone] = true
}

// DisconnectProxy records that a proxy has disconnected; messages in transit to it are lost. Its own table is kept
// until ForgetProxy.
func (b *Balancer) DisconnectProxy(proxy int) {
	if proxy >= len(b.proxies) || !b.proxies[proxy].connected {
		return
	}
	record := &b.proxies[proxy]
	record.connected = false
	b.connectedProxies--
	b.releaseMessages(record, len(record.unacknowledged))
}

// ForgetProxy deletes the own table of a disconnected proxy. The caller must delete the table's entries too.
func (b *Balancer) ForgetProxy(proxy int) {
	if proxy < len(b.proxies) && !b.proxies[proxy].connected {
		b.proxies[proxy].subset = nil
	}
}

package routing

import "slices"

// hostRecord is what the balancer keeps of one host, a part for each concern.
type hostRecord struct {
	incarnation int // counts the hosts that have had this index
	endpoint    endpointRecord
	stats       requestStats
	load        HostLoad // as last reported
	balance     balanceRecord
	health      healthRecord
	outlier     outlierRecord
	publication publicationRecord
}

// newHostRecord is the record of a host of which nothing is known.
func newHostRecord() hostRecord {
	return hostRecord{endpoint: endpointRecord{startedAtMs: startUnknown}, load: UnknownLoad}
}

// host gives the record of a host index, made where there is none.
func (s *Balancer) host(h int) *hostRecord {
	s.hosts = grow(s.hosts, h+1, newHostRecord())
	return &s.hosts[h]
}

// ForgetHost drops what is kept of a host that is gone, so that its index may be given to another. It answers
// false, and keeps all, while a table or a probe still names the host.
func (s *Balancer) ForgetHost(host int) bool {
	if host >= len(s.hosts) {
		return true
	}
	v := &s.hosts[host]
	if v.endpoint.state != Removed || v.publication.weight != 0 || v.health.checkInFlight {
		return false
	}
	for i := range s.proxies {
		if slices.Contains(s.proxies[i].subset, host) {
			return false
		}
	}
	if at := slices.Index(s.hostOrder, host); at >= 0 {
		s.hostOrder = slices.Delete(s.hostOrder, at, at+1)
		if at < s.checks.scheduledHosts {
			s.checks.scheduledHosts--
		}
	}
	incarnation := v.incarnation + 1
	*v = newHostRecord()
	v.incarnation = incarnation
	return true
}

// grow gives the list with at least n entries, new ones as fresh.
func grow[T any](list []T, n int, fresh T) []T {
	for len(list) < n {
		list = append(list, fresh)
	}
	return list
}

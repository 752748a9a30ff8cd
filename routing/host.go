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

// host gives the record of a host index, made where there is none. It is valid until the next call.
func (b *Balancer) host(index int) *hostRecord {
	b.hosts = grow(b.hosts, index+1, newHostRecord())
	return &b.hosts[index]
}

// ForgetHost drops what is kept of a removed host, so that its index may be given to another. It answers false, and
// keeps all, while a published table or a health check in flight still names the host.
func (b *Balancer) ForgetHost(host int) bool {
	if host >= len(b.hosts) {
		return true
	}
	record := &b.hosts[host]
	if record.endpoint.state != Removed || record.publication.weight != 0 || record.health.checkInFlight {
		return false
	}
	for i := range b.proxies {
		if slices.Contains(b.proxies[i].subset, host) {
			return false
		}
	}
	b.removeFromOrder(host)
	incarnation := record.incarnation + 1
	*record = newHostRecord()
	record.incarnation = incarnation
	return true
}

// removeFromOrder takes a host out of the order of discovery. The health check task of a host before it in the order
// stays with its host.
func (b *Balancer) removeFromOrder(host int) {
	position := slices.Index(b.hostOrder, host)
	if position < 0 {
		return
	}
	b.hostOrder = slices.Delete(b.hostOrder, position, position+1)
	if position < b.checks.scheduledHosts {
		b.checks.scheduledHosts--
	}
}

// grow gives the list with at least length elements; new ones are copies of fill.
func grow[T any](list []T, length int, fill T) []T {
	for len(list) < length {
		list = append(list, fill)
	}
	return list
}

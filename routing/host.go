package routing

import "slices"

// hostRecord is the balancer's state of one host, with a field for each concern.
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

// newHostRecord returns the record of an unknown host.
func newHostRecord() hostRecord {
	endpoint := endpointRecord{startedAtMs: startUnknown, assumedStartMs: startUnknown}
	return hostRecord{endpoint: endpoint, load: UnknownLoad}
}

// host returns the record of a host index and creates it where there is none. The pointer is valid until the next
// call.
func (b *Balancer) host(index int) *hostRecord {
	b.hosts = grow(b.hosts, index+1, newHostRecord())
	return &b.hosts[index]
}

// ForgetHost deletes the state of a removed host, so that its index may be reused for another. It returns false and
// deletes nothing while the host is not removed, a published table still holds it or a health check of it is in
// flight.
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

// removeFromOrder removes a host from the order of discovery, and keeps scheduledHosts consistent with the new order.
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

// grow returns list extended to at least length elements; new elements are copies of fill.
func grow[T any](list []T, length int, fill T) []T {
	for len(list) < length {
		list = append(list, fill)
	}
	return list
}

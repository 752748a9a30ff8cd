package routing

import (
	"slices"
	"sort"
)

const (
	// minSubsetSize is the least number of hosts that a proxy's own table should have.
	minSubsetSize = 4

	// subsetRefillRatio is the fraction of the weight that matches a proxy's traffic below which its subset is
	// refilled.
	subsetRefillRatio = 0.7
)

// lacksHosts reports whether a proxy that routes all classes by its own table has too few hosts in it, or too little
// weight for the proxy's traffic.
func (b *Balancer) lacksHosts(proxy *proxyRecord, ratePerWeight float64) bool {
	return proxy.ownsTable && !b.retryStorm.quiescing && proxy.subsetLacksHosts(ratePerWeight)
}

// subsetLacksHosts reports whether a proxy's own table has too few hosts, or too little weight for its traffic.
func (p *proxyRecord) subsetLacksHosts(ratePerWeight float64) bool {
	return len(p.subset) < minSubsetSize || p.subsetWeight*ratePerWeight < subsetRefillRatio*p.requestRate
}

// fillSubset adds hosts to a proxy's own table until their weight matches its traffic and they are at least
// minSubsetSize. They are hosts of its shared table or, for a fallback table, of the other shared tables. It returns
// the number of hosts added.
func (b *Balancer) fillSubset(round *publishRound, index int, fallback bool) int {
	proxy := &b.proxies[index]
	ratePerWeight := round.assignments.ratePerWeight
	if !fallback && round.tables[b.sharedTable(proxy.zone)].subsetHosts == 0 && !b.retryStorm.quiescing {
		return 0
	}
	weight, candidates := b.subsetCandidates(proxy, ratePerWeight, fallback)
	if b.retryStorm.quiescing {
		candidates = []int{b.retryStorm.host}
	}
	added := 0
	for _, candidate := range candidates {
		if len(proxy.subset) >= minSubsetSize && weight*ratePerWeight >= proxy.requestRate {
			break
		}
		published := b.hosts[candidate].publication.weight
		proxy.subset = append(proxy.subset, candidate)
		weight += published
		round.writer.SetWeight(b.subsetTable(index), candidate, published)
		added++
	}
	for _, host := range proxy.subset {
		b.hosts[host].publication.subsetRate += proxy.requestRate / float64(len(proxy.subset))
	}
	return added
}

// countSubsetHosts counts the hosts of each shared table that may be in subsets.
func (b *Balancer) countSubsetHosts(tables []sharedTableState) {
	for i := range tables {
		tables[i].subsetHosts = 0
	}
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if b.mayJoinSubset(host) {
			tables[b.sharedTable(host.endpoint.zone)].subsetHosts++
		}
	}
}

// mayJoinSubset reports whether a host may be in subsets: it is warm and published.
func (b *Balancer) mayJoinSubset(host *hostRecord) bool {
	return host.publication.weight > 0 && b.slowStartFactor(host) >= 1 && b.tableWeight(host) > 0
}

// subsetCandidates returns the published weight of a proxy's subset, and the warm hosts that may be added: those of its
// shared table or, for a fallback table, of the others. Hosts of the proxy's own zone below their fair share of subset
// traffic come first, then those with the least subset traffic for their weight. As in the shared table, ejected hosts
// take part where there are no others.
func (b *Balancer) subsetCandidates(proxy *proxyRecord, ratePerWeight float64, fallback bool) (
	weight float64, candidates []int,
) {
	shared := b.sharedTable(proxy.zone)
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		if slices.Contains(proxy.subset, index) {
			weight += host.publication.weight
			continue
		}
		sameTable := b.sharedTable(host.endpoint.zone) == shared
		if sameTable != fallback && b.mayJoinSubset(host) {
			candidates = append(candidates, index)
		}
	}
	preferred := func(host *hostRecord) bool {
		return host.endpoint.zone == proxy.zone && host.publication.subsetRate < ratePerWeight*host.publication.weight
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		first, second := &b.hosts[candidates[i]], &b.hosts[candidates[j]]
		if preferred(first) != preferred(second) {
			return preferred(first)
		}
		firstPublication, secondPublication := &first.publication, &second.publication
		return firstPublication.subsetRate*secondPublication.weight < secondPublication.subsetRate*firstPublication.weight
	})
	return weight, candidates
}

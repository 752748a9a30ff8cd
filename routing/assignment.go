package routing

import "sort"

// assignTables binds proxies to the shared table: those without a table of ours first, then by their traffic. One
// that cannot have the whole table in time first gets a few hosts, since it must not go on by an old one;
// so does every proxy under strain. A hand that lost servers is filled up.
func (s *Balancer) assignTables(w UpdateWriter, c ControlChannel, b *updateBatch, unbound int, lines []int, fair float64, behind bool) {
	whole := func(p *proxyRecord) float64 { return float64(lines[s.sharedTable(p.zone)]) + 2 }
	short := func(p *proxyRecord) bool {
		return p.ownsTable && !s.retryStorm.quiescing && (len(p.subset) < minSubsetSize || p.subsetWeight*fair < subsetRefillRatio*p.requestRate)
	}
	var due []int
	for i := range s.proxies {
		if p := &s.proxies[i]; p.connected && (!p.assigned || p.ownsTable != s.subsetMode.active && !s.retryStorm.quiescing || short(p)) {
			due = append(due, i)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		a, b := &s.proxies[due[i]], &s.proxies[due[j]]
		return !a.assigned && b.assigned || a.assigned == b.assigned && a.requestRate > b.requestRate
	})
	for _, i := range due {
		p := &s.proxies[i]
		if !c.allowsMessage(len(p.messageTimesMs), protectiveFill) && (p.assigned || !c.allowsMessage(len(p.messageTimesMs), removalFill)) {
			continue
		}
		cost := whole(p) + b.messageOverhead
		late := !s.zoneLocal && s.exceedsDrainGrace(float64(unbound)*cost+b.initialBacklog, c)
		few := s.subsetMode.active || s.retryStorm.quiescing || (late || behind) && !p.assigned
		room := b.backlog+cost <= assignmentFill*c.MaxBacklog || b.backlog == 0
		if !few && !behind && room && (!p.assigned || s.publishing.budget > c.EntriesPerSecond/2) {
			if b.account(i, cost-b.messageOverhead); p.assigned {
				s.publishing.budget -= cost
			}
			w.AssignTable(i, s.sharedTable(p.zone), 0)
			p.assigned, p.ownsTable = true, false
		} else if !s.zoneLocal && (few && !p.ownsTable || short(p) && !behind) &&
			b.backlog+b.messageOverhead+minSubsetSize <= protectiveFill*c.MaxBacklog {
			for !p.ownsTable && len(p.subset) > 0 {
				w.SetWeight(s.subsetTable(i), p.subset[0], 0)
				p.subset = p.subset[1:]
			}
			if n := s.fillSubset(w, i, fair); n > 0 {
				if b.account(i, float64(n)); !p.ownsTable {
					b.account(i, 1)
					w.AssignTable(i, s.subsetTable(i), 0)
				}
				p.assigned, p.ownsTable = true, true
			}
		}
	}
}

// sharedTable is the table that a zone's proxies share: one for all, or the zone's where a class may not leave it.
func (s *Balancer) sharedTable(zone int) int {
	if s.zoneLocal {
		return 1 + zone
	}
	return 0
}

// subsetTable is the number of a proxy's own table.
func (s *Balancer) subsetTable(p int) int { return 1 + s.deployment.Zones + p }

// SubsetTable is the number of the table that a proxy may be given for itself.
func (s *Balancer) SubsetTable(p int) int { return s.subsetTable(p) }

// countAssignments counts the proxies that are bound and those that wait, and for each server the proxies that hold it
// and the traffic that hands bring it. It gives the most messages that one proxy was sent lately, and the
// traffic for each part of weight, too. Messages older than so much have left the channel without an answer.
func (s *Balancer) countAssignments(over, oldest float64) (bound, unbound, most int, fair float64) {
	shared, traffic, weight := make([]int, s.deployment.Zones+1), 0.0, 1e-9
	for i := range s.proxies {
		if p := &s.proxies[i]; p.connected {
			for len(p.messageTimesMs) > 0 && p.messageTimesMs[0] < s.nowMs-over {
				p.messageTimesMs = p.messageTimesMs[1:]
			}
			for len(p.unacknowledged) > 0 && p.unacknowledged[0].sentAtMs < s.nowMs-oldest {
				s.releaseMessages(p, 1)
			}
			most = max(most, len(p.messageTimesMs))
			traffic += p.requestRate
			if !p.assigned {
				unbound++
			} else if bound++; !p.ownsTable {
				shared[s.sharedTable(p.zone)]++
			}
		}
	}
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		v.publication.holders, v.publication.subsetRate, weight = shared[s.sharedTable(v.endpoint.zone)], 0, weight+v.publication.weight
	}
	for i := range s.proxies {
		p := &s.proxies[i]
		p.subsetWeight = 0
		for k := 0; p.connected && p.ownsTable && k < len(p.subset); k++ {
			v := &s.hosts[p.subset[k]]
			v.publication.holders, v.publication.subsetRate, p.subsetWeight = v.publication.holders+1, v.publication.subsetRate+p.requestRate/float64(len(p.subset)), p.subsetWeight+v.publication.weight
		}
	}
	return bound, unbound, most, traffic / weight
}

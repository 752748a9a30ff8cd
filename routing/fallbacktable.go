package routing

// noFallbackTable is proxyRecord.fallbackTable of a proxy that routes all classes by one table. Zones have their own
// tables wherever proxies have a fallback, so that the number of the table for all zones is free.
const noFallbackTable = 0

// crossZoneClasses returns the bit set of the classes that may leave their zone, where another class must not; else 0.
func crossZoneClasses(classes []RequestClass) int {
	crossZone, zoneLocal := 0, false
	for i, class := range classes {
		if class.ZoneLocal {
			zoneLocal = true
		} else {
			crossZone |= 1 << i
		}
	}
	if !zoneLocal {
		return 0
	}
	return crossZone
}

// assignFallbackTables makes proxies whose own zone's table holds no warm host route the classes that may leave the
// zone by the table of another zone, until it holds one again.
func (b *Balancer) assignFallbackTables(round *publishRound) {
	if b.crossZoneClasses == 0 {
		return
	}
	for index := range b.proxies {
		proxy := &b.proxies[index]
		if !proxy.connected || !proxy.assigned {
			continue
		}
		fallback := b.chooseFallbackTable(round, index)
		if fallback != proxy.fallbackTable {
			b.assignFallbackTable(round, index, fallback)
		}
	}
}

// chooseFallbackTable returns the fallback table that a proxy should have. It stays the same while that table holds a
// warm host; the proxies of a zone are spread over the tables of the others.
func (b *Balancer) chooseFallbackTable(round *publishRound, index int) int {
	proxy := &b.proxies[index]
	own := b.sharedTable(proxy.zone)
	if !round.tables[own].withoutWarmEntry {
		return noFallbackTable
	}
	current := proxy.fallbackTable
	if current != noFallbackTable && !round.tables[current].withoutWarmEntry {
		return current
	}
	var candidates []int
	for zone := range b.deployment.Zones {
		if table := b.sharedTable(zone); table != own && !round.tables[table].withoutWarmEntry {
			candidates = append(candidates, table)
		}
	}
	if len(candidates) == 0 {
		return current
	}
	return candidates[index%len(candidates)]
}

// assignFallbackTable gives a proxy another fallback table, or none: then its own table for all classes. It does
// nothing where the channel has no capacity left, or where removals that follow might be late behind it.
func (b *Balancer) assignFallbackTable(round *publishRound, index, fallback int) {
	proxy := &b.proxies[index]
	table, classes := fallback, b.crossZoneClasses
	entries := float64(round.tables[table].entries)
	if fallback == noFallbackTable {
		table, classes = b.routedTable(index), 0
		entries = float64(b.countTableEntries(round, index))
	}
	cost := entries + tableAssignmentEntries
	cost += round.batch.messageOverhead
	leavesInTime := round.batch.backlog == 0 || round.batch.backlog+cost <= b.removalCapacity()
	if !leavesInTime || !b.maySendMessage(proxy) || !round.batch.hasCapacity(cost, removalFill) {
		return
	}
	round.batch.addEntries(index, cost-round.batch.messageOverhead)
	round.writer.AssignTable(index, table, classes)
	proxy.fallbackTable = fallback
}

// routedTable returns the number of the table by which a proxy routes all classes without a fallback.
func (b *Balancer) routedTable(index int) int {
	proxy := &b.proxies[index]
	if proxy.ownsTable {
		return b.subsetTable(index)
	}
	return b.sharedTable(proxy.zone)
}

// countTableEntries returns the number of entries of a proxy's routedTable.
func (b *Balancer) countTableEntries(round *publishRound, index int) int {
	proxy := &b.proxies[index]
	if proxy.ownsTable {
		return len(proxy.subset)
	}
	return round.tables[b.sharedTable(proxy.zone)].entries
}

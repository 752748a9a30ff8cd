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

// fallbackGraceShare is the fraction of SafetyLimits.EmptyTableMs within which all fallback tables must leave the
// channel, or proxies get subsets for them.
const fallbackGraceShare = 0.3

// usesOwnTable reports whether a proxy routes by its own table, for all classes or as its fallback.
func (b *Balancer) usesOwnTable(index int) bool {
	proxy := &b.proxies[index]
	return proxy.ownsTable || proxy.fallbackTable == b.subsetTable(index)
}

// isOwnFallback reports whether a proxy's fallback table is its own, with hosts of other zones.
func (b *Balancer) isOwnFallback(index int) bool {
	return b.proxies[index].fallbackTable == b.subsetTable(index)
}

// countFallbackTable counts a proxy in the shared tables whose updates reach it by its fallback table.
func (b *Balancer) countFallbackTable(tables []sharedTableState, index int) {
	proxy := &b.proxies[index]
	if proxy.fallbackTable == noFallbackTable {
		return
	}
	for zone := range b.deployment.Zones {
		number := b.sharedTable(zone)
		if proxy.fallbackTable == number {
			tables[number].proxies++
		}
		if proxy.fallbackTable == number || b.isOwnFallback(index) {
			tables[number].messagesSent = max(tables[number].messagesSent, len(proxy.messageTimesMs))
		}
	}
}

// assignFallbackTables makes proxies whose own zone's table holds no warm host route the classes that may leave the
// zone by the table of another zone, until it holds one again. Where the channel cannot send these tables to all such
// proxies in time, a proxy gets a subset of the other zones' hosts in its own table instead.
func (b *Balancer) assignFallbackTables(round *publishRound) {
	if b.crossZoneClasses == 0 {
		return
	}
	changed := map[int]int{} // fallback table by proxy
	entries := round.batch.backlog
	for index := range b.proxies {
		proxy := &b.proxies[index]
		if !proxy.connected || !proxy.assigned {
			continue
		}
		fallback := b.chooseFallbackTable(round, index)
		if fallback != proxy.fallbackTable {
			changed[index] = fallback
			entries += b.fallbackCost(round, index, fallback)
		}
	}
	late := b.exceedsFallbackGrace(entries)
	for index := range b.proxies {
		proxy := &b.proxies[index]
		fallback, isChanged := changed[index]
		switch {
		case isChanged && fallback != noFallbackTable && late && !proxy.ownsTable:
			b.assignFallbackSubset(round, index)
		case isChanged:
			b.assignFallbackTable(round, index, fallback)
		case proxy.connected && b.isOwnFallback(index) && proxy.subsetLacksHosts(round.assignments.ratePerWeight):
			b.assignFallbackSubset(round, index)
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
	if b.isOwnFallback(index) || current != noFallbackTable && !round.tables[current].withoutWarmEntry {
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

// fallbackCost returns the number of entries, with the message overhead, that it costs to give a proxy another fallback
// table, or none: then its own table for all classes.
func (b *Balancer) fallbackCost(round *publishRound, index, fallback int) float64 {
	entries := b.countTableEntries(round, index)
	if fallback != noFallbackTable {
		entries = round.tables[fallback].entries
	}
	return float64(entries) + tableAssignmentEntries + round.batch.messageOverhead
}

// exceedsFallbackGrace reports whether sending the given number of entries takes too long for proxies without a host.
func (b *Balancer) exceedsFallbackGrace(entries float64) bool {
	transitMs := entries / (b.channel.EntriesPerSecond * assumedThroughputRatio) * msPerSecond
	return transitMs > b.limits.EmptyTableMs*fallbackGraceShare
}

// maySendFallback reports whether the channel has capacity for a fallback table of the given cost, in entries, and
// removals that follow would not be late behind it.
func (b *Balancer) maySendFallback(round *publishRound, proxy *proxyRecord, cost float64) bool {
	leavesInTime := round.batch.backlog == 0 || round.batch.backlog+cost <= b.removalCapacity()
	return leavesInTime && b.maySendMessage(proxy) && round.batch.hasCapacity(cost, removalFill)
}

// assignFallbackTable gives a proxy another fallback table, or none: then its own table for all classes. It does
// nothing where the channel has no capacity left, or where removals that follow might be late behind it.
func (b *Balancer) assignFallbackTable(round *publishRound, index, fallback int) {
	proxy := &b.proxies[index]
	cost := b.fallbackCost(round, index, fallback)
	if !b.maySendFallback(round, proxy, cost) {
		return
	}
	table, classes := fallback, b.crossZoneClasses
	if fallback == noFallbackTable {
		table, classes = b.routedTable(index), 0
	}
	round.batch.addEntries(index, cost-round.batch.messageOverhead)
	round.writer.AssignTable(index, table, classes)
	proxy.fallbackTable = fallback
}

// assignFallbackSubset gives a proxy a subset of other zones' hosts as its fallback table, or refills it. It does
// nothing where assignFallbackTable would not, or where there are no hosts to add.
func (b *Balancer) assignFallbackSubset(round *publishRound, index int) {
	proxy := &b.proxies[index]
	cost := minSubsetSize + tableAssignmentEntries + round.batch.messageOverhead
	if !b.maySendFallback(round, proxy, cost) {
		return
	}
	isNew := !b.isOwnFallback(index)
	if isNew {
		b.clearSubset(round.writer, index)
	}
	added := b.fillSubset(round, index, true)
	if added == 0 {
		return
	}
	round.batch.addEntries(index, float64(added))
	if isNew {
		round.batch.addEntries(index, tableAssignmentEntries)
		round.writer.AssignTable(index, b.subsetTable(index), b.crossZoneClasses)
		proxy.fallbackTable = b.subsetTable(index)
	}
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

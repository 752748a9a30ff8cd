package guard

// MinimalUpdate returns the published row with only the changes that must not wait, for use while the control channel
// has no capacity for the decided row. It removes the hosts that are not ready or have no weight in the decided row,
// and gives a host that is warming up the lower of its two weights. It reports whether a warm host is left.
func MinimalUpdate(hosts []Host, published, decided []float64) (row []float64, warmHostLeft bool) {
	row = make([]float64, len(decided))
	for i, weight := range published {
		stays := weight > 0 && isPositiveWeight(decided[i]) && hosts[i].Ready
		if !stays {
			continue
		}
		if hosts[i].isWarmingUp() {
			row[i] = min(weight, decided[i])
			continue
		}
		row[i] = weight
		warmHostLeft = true
	}
	return row, warmHostLeft
}

// CountChanges returns the number of weight entries that differ between two rows, and whether one of them is a removal.
// A host beyond the end of a row has no weight in it.
func CountChanges(published, decided []float64) (entries int, removal bool) {
	for i := range max(len(published), len(decided)) {
		before := weightAt(published, i)
		after := weightAt(decided, i)
		if before == after {
			continue
		}
		entries++
		if after <= 0 {
			removal = true
		}
	}
	return entries, removal
}

// weightAt returns the weight of a host in a row, 0 beyond its end.
func weightAt(row []float64, host int) float64 {
	if host >= len(row) {
		return 0
	}
	return row[host]
}

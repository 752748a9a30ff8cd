package guard

// Parts of the channel's caps that the guard's own lines may fill: the rest is for removals and for what was decided.
const (
	maxBacklogFraction    = 0.45
	maxMessagesFraction = 0.5
)

// ChannelBudget is what the channel has in hand when the guard has lines of its own for proxies.
type ChannelBudget struct {
	Backlog, MaxBacklog       float64 // lines
	MessagesSent, MaxMessages int     // messages that the proxy which got most has had within the cap's time; 0: no cap
}

// Fits tells whether so many more lines, and a message more where it makes one, leave what removals need.
func (p ChannelBudget) Fits(lines float64, message bool) bool {
	return p.Backlog+lines <= maxBacklogFraction*p.MaxBacklog &&
		(!message || p.MaxMessages == 0 || float64(p.MessagesSent+1) <= maxMessagesFraction*float64(p.MaxMessages))
}

// MinimalUpdate gives the published row without what may not stay or was taken out of the decided one, cold hosts with no more
// than either gives them: the least change that keeps removals, for when the channel has no room for a better one.
// False where nobody would be left.
func MinimalUpdate(hosts []Host, now, next []float64) (row []float64, left bool) {
	row = make([]float64, len(next))
	for h, w := range now {
		if w > 0 && next[h] > 0 && isValidWeight(next[h]) && hosts[h].Ready {
			if row[h] = w; hosts[h].SlowStartFactor < 1 {
				row[h] = min(w, next[h])
			} else {
				left = true
			}
		}
	}
	return row, left
}

// Changed counts the lines that differ between two rows, and tells whether one of them is a removal.
func Changed(now, next []float64) (lines int, removal bool) {
	for h := range max(len(now), len(next)) {
		a, b := 0.0, 0.0
		if h < len(now) {
			a = now[h]
		}
		if h < len(next) {
			b = next[h]
		}
		if a != b {
			lines++
			removal = removal || b <= 0
		}
	}
	return lines, removal
}

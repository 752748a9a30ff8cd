package guard

// Fractions of the channel's limits that the repaired weights may fill. The rest is for removals and for the weights as
// decided.
const (
	maxBacklogFraction  = 0.45
	maxMessagesFraction = 0.5
)

// ChannelBudget is how full the update channel to the proxies is.
type ChannelBudget struct {
	Backlog, MaxBacklog float64 // weight entries that wait to be sent
	// MessagesSent are those to the proxy that got most of them within the period of the limit.
	MessagesSent int
	MaxMessages  int // to one proxy within the period; 0: no limit
}

// Fits reports whether an update of so many weight entries leaves the channel room for removals. message says that the
// update would also be a message of its own to a proxy.
func (b ChannelBudget) Fits(entries float64, message bool) bool {
	if b.Backlog+entries > maxBacklogFraction*b.MaxBacklog {
		return false
	}
	if !message || b.MaxMessages == 0 {
		return true
	}
	return float64(b.MessagesSent+1) <= maxMessagesFraction*float64(b.MaxMessages)
}

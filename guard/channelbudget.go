package guard

// Fractions of the channel's limits that repaired weights may fill. The rest is reserved for removals and for the
// weights as decided.
const (
	maxBacklogFraction  = 0.45
	maxMessagesFraction = 0.5
)

// ChannelBudget is the backlog and the limits of the control channel to the proxies.
type ChannelBudget struct {
	Backlog, MaxBacklog float64 // weight entries in the control channel, and their limit
	// MessagesSent is the number of messages to the proxy that was sent the most within the period of the limit.
	MessagesSent int
	MaxMessages  int // to one proxy within the period; 0: no limit
}

// Fits reports whether an update of the given number of weight entries leaves the channel enough capacity for
// removals. needsMessage says that the update needs a separate message to a proxy.
func (b ChannelBudget) Fits(entries float64, needsMessage bool) bool {
	if b.Backlog+entries > maxBacklogFraction*b.MaxBacklog {
		return false
	}
	if !needsMessage || b.MaxMessages == 0 {
		return true
	}
	return float64(b.MessagesSent+1) <= maxMessagesFraction*float64(b.MaxMessages)
}

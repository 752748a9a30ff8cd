package publisher

import (
	"strconv"
	"strings"
)

// OwnerVariable is the proxy's process variable that names the controller which owns the proxy's socket, as
// "INCARNATION:HEARTBEAT". The owner increments the heartbeat each cycle.
const OwnerVariable = "barleysail_owner"

// maxMissedHeartbeats is the number of cycles with an unchanged heartbeat after which the owner counts as failed.
const maxMissedHeartbeats = 3

// SocketOwner is one controller's part in the election of the controller that owns a proxy's socket. The owner keeps
// the ownership while it increments its heartbeat in a variable of the proxy; another controller takes over after
// maxMissedHeartbeats cycles without a change. Controllers that take over in the same cycle overwrite each other's
// value; in the next cycle all but the last one read another controller's value and give up.
type SocketOwner struct {
	incarnation      string // of this controller
	heartbeat        int64
	lastValue        string // value of OwnerVariable that was read in the last cycle
	missedHeartbeats int    // cycles since the value last changed
}

// NewSocketOwner returns the election state of one controller incarnation, whose id must be unique and without a
// colon.
func NewSocketOwner(incarnation string) *SocketOwner { return &SocketOwner{incarnation: incarnation} }

// Observe must be called once a cycle with the value of OwnerVariable, "" if it is not set. It reports whether this
// controller owns the socket, and returns the new value of the variable, "" to keep it.
func (o *SocketOwner) Observe(value string) (isOwner bool, newValue string) {
	isUnchanged := value == o.lastValue
	o.lastValue = value
	incarnation, _, isValid := strings.Cut(value, ":")
	switch {
	case isValid && incarnation == o.incarnation:
		o.missedHeartbeats = 0
		return true, o.nextValue()
	case value == "":
		return false, o.takeOver()
	case isUnchanged:
		o.missedHeartbeats++
	default:
		o.missedHeartbeats = 0
	}
	if o.missedHeartbeats >= maxMissedHeartbeats {
		return false, o.takeOver()
	}
	return false, ""
}

// takeOver returns a value of this controller. Its ownership begins only when the value is read back in the next
// cycle.
func (o *SocketOwner) takeOver() string {
	o.missedHeartbeats = 0
	return o.nextValue()
}

// nextValue increments the heartbeat and returns the value of OwnerVariable with it.
func (o *SocketOwner) nextValue() string {
	o.heartbeat++
	return o.incarnation + ":" + strconv.FormatInt(o.heartbeat, 10)
}

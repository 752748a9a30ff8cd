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

// SocketOwner elects the one of several controllers that owns a proxy's socket, by a heartbeat in a variable of the
// proxy. The owner stays the owner while its heartbeat increases; another controller takes over after
// maxMissedHeartbeats cycles without a change. Controllers that take over in the same cycle overwrite each other's
// mark; in the next cycle all but the last read another controller's mark and give up.
type SocketOwner struct {
	incarnation      string // of this controller
	heartbeat        int64
	lastMark         string // value of OwnerVariable that was read in the last cycle
	missedHeartbeats int    // cycles since the mark last changed
}

// NewSocketOwner returns the election state of one controller incarnation, whose id must be unique and without a
// colon.
func NewSocketOwner(incarnation string) *SocketOwner { return &SocketOwner{incarnation: incarnation} }

// Read must be called once a cycle with the value of OwnerVariable, "" if it is not set. It reports whether this
// controller owns the socket, and returns the new value of the variable, "" to keep it.
func (o *SocketOwner) Read(mark string) (isOwner bool, newMark string) {
	isUnchanged := mark == o.lastMark
	o.lastMark = mark
	incarnation, _, isMark := strings.Cut(mark, ":")
	switch {
	case isMark && incarnation == o.incarnation:
		o.missedHeartbeats = 0
		return true, o.nextMark()
	case mark == "":
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

// takeOver returns this controller's mark. Ownership begins only when the mark is read back in the next cycle.
func (o *SocketOwner) takeOver() string {
	o.missedHeartbeats = 0
	return o.nextMark()
}

// nextMark increments the heartbeat and returns the mark with it.
func (o *SocketOwner) nextMark() string {
	o.heartbeat++
	return o.incarnation + ":" + strconv.FormatInt(o.heartbeat, 10)
}

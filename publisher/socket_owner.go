package publisher

import (
	"strconv"
	"strings"
)

// OwnerVariable is the proxy's process variable that names the controller which drives the proxy, as
// "INCARNATION:HEARTBEAT". The owner counts the heartbeat up each cycle.
const OwnerVariable = "barleysail_owner"

// maxMissedHeartbeats is the number of cycles with an unchanged heartbeat after which the owner counts as gone.
const maxMissedHeartbeats = 3

// SocketOwner elects one of several controllers to drive a proxy, by a heartbeat in a variable of the proxy. The
// owner goes on while its heartbeat moves; the others watch, and take over once it stands still. Controllers that
// take over in the same cycle overwrite each other's mark, and all but the last find another one's in the next cycle
// and give up.
type SocketOwner struct {
	incarnation      string // of this controller
	heartbeat        int64
	lastMark         string // value of OwnerVariable that was read in the last cycle
	missedHeartbeats int    // cycles since the mark last changed
}

// NewSocketOwner returns the election for one controller process. The incarnation must be unique and without a colon.
func NewSocketOwner(incarnation string) *SocketOwner { return &SocketOwner{incarnation: incarnation} }

// Read takes the value of OwnerVariable, "" if it is not set, once a cycle. It reports whether this controller drives
// the proxy, and the value to set the variable to, "" to leave it.
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

// nextMark counts the heartbeat up and returns the mark with it.
func (o *SocketOwner) nextMark() string {
	o.heartbeat++
	return o.incarnation + ":" + strconv.FormatInt(o.heartbeat, 10)
}

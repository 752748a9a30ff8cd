package publisher

import (
	"strconv"
	"strings"
)

// OwnerVariable holds who drives a proxy and a figure that it raises each cycle, as life:figure.
const OwnerVariable = "barleysail_owner"

// staleCycles without a raised figure show that an owner is gone.
const staleCycles = 3

// SocketOwner settles which of several stewards drives a proxy: the one whose mark stands and is raised goes on, the others
// watch and take over once it stands still. Two that take over at once read different marks in the next cycle, and
// the one that finds another's gives up.
type SocketOwner struct {
	incarnation     string
	heartbeat       int64
	lastMark        string // mark as read last
	unchangedCycles int
	isOwner         bool
}

// NewSocketOwner makes one for a steward's life.
func NewSocketOwner(life string) *SocketOwner { return &SocketOwner{incarnation: life} }

// Read takes in the mark that stands, "" for none, and tells whether this steward drives the proxy and what mark to
// set, "" for none.
func (o *SocketOwner) Read(mark string) (mine bool, set string) {
	life, _, ok := strings.Cut(mark, ":")
	switch {
	case ok && life == o.incarnation:
		o.isOwner, o.unchangedCycles = true, 0
	case mark == "" || mark == o.lastMark:
		if o.unchangedCycles++; mark == "" || o.unchangedCycles >= staleCycles {
			o.unchangedCycles = 0
			o.heartbeat++
			o.isOwner = false // until the mark is read back
			o.lastMark = mark
			return false, o.mark()
		}
		o.isOwner = false
	default:
		o.isOwner, o.unchangedCycles = false, 0
	}
	o.lastMark = mark
	if !o.isOwner {
		return false, ""
	}
	o.heartbeat++
	return true, o.mark()
}

func (o *SocketOwner) mark() string { return o.incarnation + ":" + strconv.FormatInt(o.heartbeat, 10) }

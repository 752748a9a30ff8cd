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
	life  string
	beat  int64
	last  string // mark as read last
	still int
	mine  bool
}

// NewSocketOwner makes one for a steward's life.
func NewSocketOwner(life string) *SocketOwner { return &SocketOwner{life: life} }

// Read takes in the mark that stands, "" for none, and tells whether this steward drives the proxy and what mark to
// set, "" for none.
func (o *SocketOwner) Read(mark string) (mine bool, set string) {
	life, _, ok := strings.Cut(mark, ":")
	switch {
	case ok && life == o.life:
		o.mine, o.still = true, 0
	case mark == "" || mark == o.last:
		if o.still++; mark == "" || o.still >= staleCycles {
			o.still = 0
			o.beat++
			o.mine = false // until the mark is read back
			o.last = mark
			return false, o.mark()
		}
		o.mine = false
	default:
		o.mine, o.still = false, 0
	}
	o.last = mark
	if !o.mine {
		return false, ""
	}
	o.beat++
	return true, o.mark()
}

func (o *SocketOwner) mark() string { return o.life + ":" + strconv.FormatInt(o.beat, 10) }

package publisher

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// ownerTest runs the owners a and b on the mark of one proxy.
type ownerTest struct {
	mark string
	a, b *SocketOwner
	out  strings.Builder
}

func (o *ownerTest) cycle(name string, owner *SocketOwner) {
	isOwner, newMark := owner.Read(o.mark)
	if newMark != "" {
		o.mark = newMark
	}
	fmt.Fprintf(&o.out, "%s drives %v, the mark is %s\n", name, isOwner, o.mark)
}

func (o *ownerTest) cycleBoth(cycles int) {
	for range cycles {
		o.cycle("a", o.a)
		o.cycle("b", o.b)
	}
}

// One of two controllers owns a proxy's socket. The other takes over when it has failed, and if both take over at
// once one gives up.
func TestSocketOwner(t *testing.T) {
	test := &ownerTest{a: NewSocketOwner("A"), b: NewSocketOwner("B")}
	test.cycleBoth(3)
	fmt.Fprintln(&test.out, "a is gone")
	for range 6 {
		test.cycle("b", test.b)
	}
	fmt.Fprintln(&test.out, "a is back")
	test.cycleBoth(3)
	fmt.Fprintln(&test.out, "both read an empty mark, and both set theirs")
	if _, newMark := test.a.Read(""); newMark == "" {
		t.Error("a sets no mark where there is none")
	}
	_, test.mark = test.b.Read("")
	test.cycleBoth(3)
	golden.Compare(t, "socket_owner", test.out.String())
}

// A controller whose mark was not stored counts on from the mark that still stands, and takes over once more after as
// many cycles as before.
func TestSocketOwnerRepeatsTakeOver(t *testing.T) {
	owner := NewSocketOwner("A")
	var takeOvers []int
	for cycle := range 8 {
		isOwner, newMark := owner.Read("B:7")
		if isOwner {
			t.Fatalf("cycle %d: owner by the mark of another", cycle)
		}
		if newMark != "" {
			takeOvers = append(takeOvers, cycle)
		}
	}
	if want := []int{3, 6}; !slices.Equal(takeOvers, want) {
		t.Errorf("takes over in the cycles %v, want %v", takeOvers, want)
	}
}

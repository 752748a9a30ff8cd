package publisher

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// ownerTest runs the controllers a and b on the OwnerVariable of one proxy.
type ownerTest struct {
	value string // of OwnerVariable
	a, b  *SocketOwner
	out   strings.Builder
}

func (o *ownerTest) cycle(name string, owner *SocketOwner) {
	isOwner, newValue := owner.Observe(o.value)
	if newValue != "" {
		o.value = newValue
	}
	fmt.Fprintf(&o.out, "%s is owner %v, value %s\n", name, isOwner, o.value)
}

func (o *ownerTest) cycleBoth(cycles int) {
	for range cycles {
		o.cycle("a", o.a)
		o.cycle("b", o.b)
	}
}

// One of two controllers owns a proxy's socket. The other takes over when the owner has failed, and if both take over
// in the same cycle, one of them gives up.
func TestSocketOwner(t *testing.T) {
	test := &ownerTest{a: NewSocketOwner("A"), b: NewSocketOwner("B")}
	test.cycleBoth(3)
	fmt.Fprintln(&test.out, "a has failed")
	for range 6 {
		test.cycle("b", test.b)
	}
	fmt.Fprintln(&test.out, "a is back")
	test.cycleBoth(3)
	fmt.Fprintln(&test.out, "both read an empty value, and both set theirs")
	if _, newValue := test.a.Observe(""); newValue == "" {
		t.Error("Observe(\"\") of a returns no new value, want one since the variable is not set")
	}
	_, test.value = test.b.Observe("")
	test.cycleBoth(3)
	golden.Compare(t, "socket_owner", test.out.String())
}

// A controller whose value was not stored reads the failed owner's value again, and repeats the take-over after
// maxMissedHeartbeats further cycles.
func TestSocketOwnerRepeatsTakeOver(t *testing.T) {
	owner := NewSocketOwner("A")
	var takeOvers []int
	for cycle := range 8 {
		isOwner, newValue := owner.Observe("B:7")
		if isOwner {
			t.Fatalf("cycle %d: got owner by the value of another controller, want not owner", cycle)
		}
		if newValue != "" {
			takeOvers = append(takeOvers, cycle)
		}
	}
	if want := []int{3, 6}; !slices.Equal(takeOvers, want) {
		t.Errorf("took over in cycles %v, want %v", takeOvers, want)
	}
}

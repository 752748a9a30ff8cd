package publisher

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// Of two stewards one drives a proxy; when it is gone the other does, and if both take over at once one gives up.
func TestOwner(t *testing.T) {
	mark := ""
	a, b := NewSocketOwner("A"), NewSocketOwner("B")
	var out strings.Builder
	turn := func(name string, o *SocketOwner) {
		mine, set := o.Read(mark)
		if set != "" {
			mark = set
		}
		fmt.Fprintf(&out, "%s drives %v, the mark is %s\n", name, mine, mark)
	}
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	fmt.Fprintln(&out, "a is gone")
	for range 6 {
		turn("b", b)
	}
	fmt.Fprintln(&out, "a is back")
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	fmt.Fprintln(&out, "both read an empty mark, and both set theirs")
	mark = ""
	_, x := a.Read(mark)
	_, y := b.Read(mark)
	mark = x
	mark = y
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	golden.Compare(t, "owner", out.String())
}

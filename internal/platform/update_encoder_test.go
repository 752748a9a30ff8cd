package platform

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// One message a proxy and round, the same bytes for those told the same; a whole table brings the levels again, since
// a proxy forgets them with it; what an ended stream was told is forgotten.
func TestOrders(t *testing.T) {
	joined := []int{1, 2, 3}
	o := newUpdateEncoder([]string{"read", "sign"}, func(h int) string { return fmt.Sprintf("s-%d", h) },
		func() iter.Seq[int] { return slices.Values(joined) })
	var now strings.Builder
	flush := func(what string) {
		fmt.Fprintf(&now, "%s\n", what)
		o.flush(func(p int, m []byte, mark int) {
			fmt.Fprintf(&now, "    proxy %d, mark %d: %s\n", p, mark, strings.ReplaceAll(string(m), "\r\n", " "))
		})
	}
	o.SetWeight(0, 1, 1)
	o.SetWeight(0, 2, 0.123456789)
	o.AssignTable(1, 0, 0)
	o.AssignTable(2, 0, 0)
	o.StampVersion(1)
	flush("two get the table, the third nothing")
	flush("nothing new")
	o.SetWeight(0, 2, 0)
	o.SetWeight(0, 3, 1234567)
	o.SetWeight(0, 3, 1e-7)
	o.StampVersion(2)
	flush("changes, the last of a line counts")
	o.SetAdmission(0, 1, 0.5, 0)
	o.SetAdmission(0, 2, 1, 1)
	flush("levels for all, by class")
	o.SetAdmission(0, 0, 1e6, 1)
	o.SetWeight(0, 1, 2)
	o.AssignTable(3, 0, 0)
	flush("levels for all alike, a change, and the third joins")
	o.forgetProxy(1)
	o.SetWeight(0, 1, 3)
	flush("a stream has ended")
	o.SetWeight(9, 1, 1)
	o.AssignTable(2, 9, 0)
	o.SetWeight(0, 1, 4)
	flush("one goes to a table of its own")
	golden.Trace(t, now.String())
}

package platform

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// Each proxy gets at most one update a round, the same bytes for the same content. A snapshot brings the admission
// policies again, since a proxy drops them with its table; what was sent on an ended session is forgotten.
func TestUpdates(t *testing.T) {
	connected := []int{1, 2, 3}
	encoder := newUpdateEncoder([]string{"read", "sign"}, func(host int) string { return fmt.Sprintf("s-%d", host) },
		func() iter.Seq[int] { return slices.Values(connected) })
	var trace strings.Builder
	flush := func(title string) {
		fmt.Fprintf(&trace, "%s\n", title)
		encoder.flush(func(proxy int, message []byte, stamp int) {
			words := strings.ReplaceAll(string(message), "\r\n", " ")
			fmt.Fprintf(&trace, "    proxy %d, mark %d: %s\n", proxy, stamp, words)
		})
	}
	const allClasses, readOnly, signOnly = 0, 1, 2 // bit sets of request classes
	encoder.SetWeight(0, 1, 1)
	encoder.SetWeight(0, 2, 0.123456789)
	encoder.AssignTable(1, 0, allClasses)
	encoder.AssignTable(2, 0, allClasses)
	encoder.StampVersion(1)
	flush("two get the table, the third nothing")
	flush("nothing new")
	encoder.SetWeight(0, 2, 0)
	encoder.SetWeight(0, 3, 1234567)
	encoder.SetWeight(0, 3, 1e-7)
	encoder.StampVersion(2)
	flush("changes, the last of a line counts")
	encoder.SetAdmission(0, readOnly, 0.5, 0)
	encoder.SetAdmission(0, signOnly, 1, 1)
	flush("levels for all, by class")
	encoder.SetAdmission(0, allClasses, 1e6, 1)
	encoder.SetWeight(0, 1, 2)
	encoder.AssignTable(3, 0, allClasses)
	flush("levels for all alike, a change, and the third joins")
	encoder.forgetProxy(1)
	encoder.SetWeight(0, 1, 3)
	flush("a stream has ended")
	encoder.SetWeight(9, 1, 1)
	encoder.AssignTable(2, 9, allClasses)
	encoder.SetWeight(0, 1, 4)
	flush("one goes to a table of its own")
	golden.CompareForTest(t, trace.String())
}

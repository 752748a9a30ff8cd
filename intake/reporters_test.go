package intake

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// A report with a repeated sequence number is not new, one of a restarted reporter is, and two reporters that alternate
// are duplicates.
func TestReporters(t *testing.T) {
	var out strings.Builder
	var reporters Reporters
	for _, report := range []struct {
		atMs     float64
		id       string
		sequence int64
	}{
		{0, "a", 1},
		{1000, "a", 2},
		{1100, "a", 2}, // repeated
		{2000, "b", 1}, // restarted
		{3000, "b", 2},
		{4000, "a", 3}, // a second reporter
		{4500, "b", 3},
		{4600, "b", 3},
		{20000, "b", 4},
		{21000, "b", 5},
		{22000, "c", 1}, // from here on, more reporters than are remembered
		{23000, "d", 1},
		{24000, "e", 1},
		{25000, "f", 1},
		{60000, "c", 1},
	} {
		isNew, duplicate := reporters.Accept(report.atMs, report.id, report.sequence)
		fmt.Fprintf(&out, "%5.0f %s %d: new %v, duplicate %v\n",
			report.atMs, report.id, report.sequence, isNew, duplicate)
	}
	golden.Compare(t, "reporters", out.String())
}

package intake

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// A steward that falls behind sheds half of the reports, then more, and then lengthens its rounds; it comes back by steps.
func TestPace(t *testing.T) {
	var out strings.Builder
	var p IngestPacer
	for i := range 200 {
		late := 0.0
		if i >= 10 && i < 25 {
			late = 180
		}
		if p.ObserveRound(late) {
			fmt.Fprintf(&out, "round %3d: level %d, %.3f of the intake, %d of 20000 lines, rounds %.0f times as long\n", i, p.SheddingLevel(), p.Ratio(), p.MaxReports(20000), p.IntervalFactor())
		}
	}
	golden.Compare(t, "pace", out.String())
}

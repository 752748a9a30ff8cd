package intake

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// While rounds start late, the pacer sheds more reports with each level and slows the rounds from level 2 on. Once they
// start on time, it returns to level 0, one level after the other.
func TestIngestPacer(t *testing.T) {
	var out strings.Builder
	var pacer IngestPacer
	for round := range 200 {
		latenessMs := 0.0
		if round >= 10 && round < 25 {
			latenessMs = 180
		}
		if !pacer.ObserveRound(latenessMs) {
			continue
		}
		fmt.Fprintf(&out, "round %3d: level %d, ratio %.3f, %d of 20000 reports, interval factor %.0f\n",
			round, pacer.SheddingLevel(), pacer.Ratio(), pacer.MaxReports(20000), pacer.IntervalFactor())
	}
	golden.Compare(t, "ingest_pacer", out.String())
}

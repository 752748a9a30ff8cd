package replay

import (
	"math"
	"math/rand/v2"
	"testing"
)

// outcome is a day of so many windows whose service is drawn about a mean.
func randomOutcome(windows int, meanShare, deviation float64, seed uint64) *Outcome {
	random, outcome := rand.New(rand.NewPCG(seed, 2)), &Outcome{Classes: []string{"sheet", "finish"}}
	for range windows {
		window := Window{Offered: []float64{300, 900}}
		for _, offered := range window.Offered {
			served := offered * math.Min(1, meanShare+deviation*random.NormFloat64())
			window.Recorded, window.Replayed = append(window.Recorded, served), append(window.Replayed, served)
		}
		outcome.Windows = append(outcome.Windows, window)
	}
	return outcome
}

// A difference within its interval is called none, one beyond it is not; a day too short says nothing.
func TestCompare(t *testing.T) {
	baseline := randomOutcome(60, 0.9, 0.02, 1)
	if comparison := Compare(baseline, randomOutcome(60, 0.9, 0.02, 5), 1); comparison.Overall.Difference.Significant() {
		t.Errorf("two draws of one day: %+v", comparison.Overall)
	}
	comparison := Compare(baseline, randomOutcome(60, 0.8, 0.02, 2), 1)
	if difference := comparison.Overall.Difference; !difference.Significant() || difference.Value > -0.08 || difference.Low > difference.Value || difference.High < difference.Value || len(comparison.Classes) != 2 || len(comparison.DifferingWindows) < 50 {
		t.Errorf("a tenth less: %+v, %d parted", difference, len(comparison.DifferingWindows))
	}
	if comparison := Compare(randomOutcome(4, 0.9, 0, 1), randomOutcome(4, 0.5, 0, 1), 1); comparison.Overall.Difference.Significant() {
		t.Errorf("a day of 20 s: %+v", comparison.Overall.Difference)
	}
	// Of a hundred pairs without a difference about five are called one.
	falsePositives := 0
	for i := range 100 {
		if Compare(randomOutcome(60, 0.9, 0.02, uint64(100+i)), randomOutcome(60, 0.9, 0.02, uint64(900+i)), 1).Overall.Difference.Significant() {
			falsePositives++
		}
	}
	if falsePositives > 15 {
		t.Errorf("%d of 100 pairs of draws are called different", falsePositives)
	}
}

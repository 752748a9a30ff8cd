package replay

import (
	"math"
	"math/rand/v2"
	"testing"
)

// randomOutcome returns an outcome with a random service in each window.
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

// A difference within its confidence interval is not significant, a larger one is. Too few windows show nothing.
func TestCompare(t *testing.T) {
	baseline := randomOutcome(60, 0.9, 0.02, 1)
	comparison := Compare(baseline, randomOutcome(60, 0.9, 0.02, 5), 1)
	if comparison.Overall.Difference.Significant() {
		t.Errorf("equal mean service: got %+v, want no significant difference", comparison.Overall)
	}
	comparison = Compare(baseline, randomOutcome(60, 0.8, 0.02, 2), 1)
	difference := comparison.Overall.Difference
	if !difference.Significant() || difference.Value > -0.08 || difference.Low > difference.Value ||
		difference.High < difference.Value {
		t.Errorf("service that is lower by 0.1: got the difference %+v, want a significant one of at most -0.08", difference)
	}
	if len(comparison.Classes) != 2 || len(comparison.DifferingWindows) < 50 {
		t.Errorf("got %d classes and %d differing windows, want 2 and at least 50",
			len(comparison.Classes), len(comparison.DifferingWindows))
	}
	comparison = Compare(randomOutcome(4, 0.9, 0, 1), randomOutcome(4, 0.5, 0, 1), 1)
	if comparison.Overall.Difference.Significant() {
		t.Errorf("four windows: got the difference %+v, want no significant one", comparison.Overall.Difference)
	}
	// About five of a hundred pairs of equal mean service are expected to differ significantly.
	falsePositives := 0
	for i := range 100 {
		first := randomOutcome(60, 0.9, 0.02, uint64(100+i))
		second := randomOutcome(60, 0.9, 0.02, uint64(900+i))
		if Compare(first, second, 1).Overall.Difference.Significant() {
			falsePositives++
		}
	}
	if falsePositives > 15 {
		t.Errorf("got %d of 100 pairs of equal mean service with a significant difference, want at most 15",
			falsePositives)
	}
}

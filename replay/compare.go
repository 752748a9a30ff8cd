package replay

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Estimate is a figure with the interval in which it lies in 95 of 100 days like this one.
type Estimate struct {
	Value float64 `json:"Value"`
	Low   float64 `json:"Low"`
	High  float64 `json:"High"`
}

// Sure tells whether the figure differs from nothing.
func (e Estimate) Significant() bool { return e.Low > 0 || e.High < 0 }

// ClassDifference is the service of a class in two replays of a day, as shares of the earnings asked for, and
// what was recorded.
type ClassDifference struct {
	Class      string   `json:"Class"`
	Recorded   float64  `json:"Recorded"`
	Baseline   float64  `json:"One"`
	Variant    float64  `json:"Other"`
	Difference Estimate `json:"Difference"` // other less one
}

// Comparison of two replays of a day.
type Comparison struct {
	Overall          ClassDifference   `json:"All"`
	Classes          []ClassDifference `json:"Classes"`
	ModelError       Estimate          `json:"Model"` // the first replay less the record: how far the model is off
	DifferingWindows []DifferingWindow `json:"Parted"`
	Messages         [2]int            `json:"Messages"`
}

// Parting is a window in which two replays differ.
type DifferingWindow struct {
	FromMs   float64 `json:"From"`
	Baseline float64 `json:"One"`
	Variant  float64 `json:"Other"`
}

// Bootstrap: blocks of so many windows, since what happens in one lasts into the next, drawn so many times.
const (
	bootstrapBlockWindows = 3
	bootstrapSamples      = 2000
)

// pairs are earnings of two replays and what was asked for, by window.
type windowSeries struct{ offered, baseline, variant []float64 }

func (s *windowSeries) add(offered, baseline, variant float64) {
	s.offered, s.baseline, s.variant = append(s.offered, offered), append(s.baseline, baseline), append(s.variant, variant)
}

func servedShare(served, offered []float64) float64 {
	servedSum, offeredSum := 0.0, 0.0
	for i := range offered {
		servedSum, offeredSum = servedSum+served[i], offeredSum+offered[i]
	}
	if offeredSum == 0 {
		return 1
	}
	return servedSum / offeredSum
}

// difference is other's service less one's, with an interval by a moving-block bootstrap (Kuensch 1989): blocks of
// windows are drawn with repeats, the same for both, so that what befell both cancels.
func (s *windowSeries) difference(seed uint64) Estimate {
	windows := len(s.offered)
	estimate := Estimate{Value: servedShare(s.variant, s.offered) - servedShare(s.baseline, s.offered)}
	estimate.Low, estimate.High = math.Inf(-1), math.Inf(1)
	if windows < 2*bootstrapBlockWindows {
		return estimate // too short a day to tell
	}
	random, differences := rand.New(rand.NewPCG(seed, 1)), make([]float64, bootstrapSamples)
	for sample := range differences {
		offered, gain := 0.0, 0.0
		for drawn := 0; drawn < windows; drawn += bootstrapBlockWindows {
			start := random.IntN(windows - bootstrapBlockWindows + 1)
			for i := start; i < start+min(bootstrapBlockWindows, windows-drawn); i++ {
				offered, gain = offered+s.offered[i], gain+s.variant[i]-s.baseline[i]
			}
		}
		if offered > 0 {
			differences[sample] = gain / offered
		}
	}
	sort.Float64s(differences)
	estimate.Low, estimate.High = stat.Quantile(0.025, stat.Empirical, differences, nil), stat.Quantile(0.975, stat.Empirical, differences, nil)
	return estimate
}

// Compare sets two replays of one day beside each other. They are told apart by seed alone where it matters.
func Compare(baseline, variant *Outcome, seed uint64) *Comparison {
	comparison := &Comparison{Messages: [2]int{baseline.Messages, variant.Messages}}
	var overall, model windowSeries
	windows := min(len(baseline.Windows), len(variant.Windows))
	recorded := make([]float64, windows)
	for i := range windows {
		baselineWindow, variantWindow := baseline.Windows[i], variant.Windows[i]
		offered, baselineServed, variantServed := sum(baselineWindow.Offered), sum(baselineWindow.Replayed), sum(variantWindow.Replayed)
		recorded[i] = sum(baselineWindow.Recorded)
		overall.add(offered, baselineServed, variantServed)
		model.add(offered, recorded[i], baselineServed)
		if offered > 0 && math.Abs(baselineServed-variantServed) > minReportedDifference*offered {
			comparison.DifferingWindows = append(comparison.DifferingWindows, DifferingWindow{baseline.FromMs + float64(i)*windowMs, baselineServed / offered, variantServed / offered})
		}
	}
	comparison.Overall = ClassDifference{"all", servedShare(recorded, overall.offered), servedShare(overall.baseline, overall.offered), servedShare(overall.variant, overall.offered), overall.difference(seed)}
	comparison.ModelError = model.difference(seed)
	for class, name := range baseline.Classes {
		var series windowSeries
		recordedByClass := make([]float64, windows)
		for i := range windows {
			series.add(baseline.Windows[i].Offered[class], baseline.Windows[i].Replayed[class], variant.Windows[i].Replayed[class])
			recordedByClass[i] = baseline.Windows[i].Recorded[class]
		}
		comparison.Classes = append(comparison.Classes, ClassDifference{name, servedShare(recordedByClass, series.offered), servedShare(series.baseline, series.offered), servedShare(series.variant, series.offered), series.difference(seed)})
	}
	return comparison
}

// partedLeast is a difference in a window's service that is worth telling.
const minReportedDifference = 0.02

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

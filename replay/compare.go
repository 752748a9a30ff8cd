package replay

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Estimate is a value with its 95% confidence interval.
type Estimate struct {
	Value float64 `json:"Value"`
	Low   float64 `json:"Low"`
	High  float64 `json:"High"`
}

// Significant reports whether the confidence interval excludes 0.
func (e Estimate) Significant() bool { return e.Low > 0 || e.High < 0 }

// ClassDifference is the service of a request class as recorded and in two replays of the same recordings: the share
// of the offered priority weight that was served.
type ClassDifference struct {
	Class      string   `json:"Class"`
	Recorded   float64  `json:"Recorded"`
	Baseline   float64  `json:"One"`
	Variant    float64  `json:"Other"`
	Difference Estimate `json:"Difference"` // variant minus baseline
}

// Comparison is the comparison of two replays of the same recordings.
type Comparison struct {
	Overall          ClassDifference   `json:"All"`
	Classes          []ClassDifference `json:"Classes"`
	ModelError       Estimate          `json:"Model"` // baseline minus recorded: the error of the response-time model
	DifferingWindows []DifferingWindow `json:"Parted"`
	Messages         [2]int            `json:"Messages"`
}

// DifferingWindow is a window in which the service of two replays differs.
type DifferingWindow struct {
	FromMs   float64 `json:"From"`
	Baseline float64 `json:"One"`
	Variant  float64 `json:"Other"`
}

// Parameters of the block bootstrap. A block spans several windows because load and faults last from one window into
// the next.
const (
	bootstrapBlockWindows = 3
	bootstrapSamples      = 2000
)

// windowSeries holds the offered priority weight and that served in two replays, by window.
type windowSeries struct{ offered, baseline, variant []float64 }

func (s *windowSeries) add(offered, baseline, variant float64) {
	s.offered = append(s.offered, offered)
	s.baseline = append(s.baseline, baseline)
	s.variant = append(s.variant, variant)
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

// difference returns the variant's service minus the baseline's, with a confidence interval by a moving-block
// bootstrap (Kuensch 1989). Blocks of windows are drawn with replacement, and each sample takes the same blocks from
// both replays, so that events which affect both equally cancel out.
func (s *windowSeries) difference(seed uint64) Estimate {
	windows := len(s.offered)
	estimate := Estimate{Value: servedShare(s.variant, s.offered) - servedShare(s.baseline, s.offered)}
	estimate.Low, estimate.High = math.Inf(-1), math.Inf(1)
	if windows < 2*bootstrapBlockWindows {
		return estimate // too few windows for an interval
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
	estimate.Low = stat.Quantile(0.025, stat.Empirical, differences, nil)
	estimate.High = stat.Quantile(0.975, stat.Empirical, differences, nil)
	return estimate
}

// Compare compares two replays of the same recordings. The seed determines the samples of the bootstrap, which is the
// only use of random numbers.
func Compare(baseline, variant *Outcome, seed uint64) *Comparison {
	comparison := &Comparison{Messages: [2]int{baseline.Messages, variant.Messages}}
	var overall, model windowSeries
	windows := min(len(baseline.Windows), len(variant.Windows))
	recorded := make([]float64, windows)
	for i := range windows {
		baselineWindow, variantWindow := baseline.Windows[i], variant.Windows[i]
		offered := sum(baselineWindow.Offered)
		baselineServed, variantServed := sum(baselineWindow.Replayed), sum(variantWindow.Replayed)
		recorded[i] = sum(baselineWindow.Recorded)
		overall.add(offered, baselineServed, variantServed)
		model.add(offered, recorded[i], baselineServed)
		if offered > 0 && math.Abs(baselineServed-variantServed) > minReportedDifference*offered {
			comparison.DifferingWindows = append(comparison.DifferingWindows, DifferingWindow{
				FromMs:   baseline.FromMs + float64(i)*windowMs,
				Baseline: baselineServed / offered,
				Variant:  variantServed / offered,
			})
		}
	}
	comparison.Overall = ClassDifference{
		Class:      "all",
		Recorded:   servedShare(recorded, overall.offered),
		Baseline:   servedShare(overall.baseline, overall.offered),
		Variant:    servedShare(overall.variant, overall.offered),
		Difference: overall.difference(seed),
	}
	comparison.ModelError = model.difference(seed)
	for class, name := range baseline.Classes {
		var series windowSeries
		recordedByClass := make([]float64, windows)
		for i := range windows {
			series.add(baseline.Windows[i].Offered[class], baseline.Windows[i].Replayed[class],
				variant.Windows[i].Replayed[class])
			recordedByClass[i] = baseline.Windows[i].Recorded[class]
		}
		comparison.Classes = append(comparison.Classes, ClassDifference{
			Class:      name,
			Recorded:   servedShare(recordedByClass, series.offered),
			Baseline:   servedShare(series.baseline, series.offered),
			Variant:    servedShare(series.variant, series.offered),
			Difference: series.difference(seed),
		})
	}
	return comparison
}

// minReportedDifference is the least difference in a window's service that is reported.
const minReportedDifference = 0.02

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

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
func (x Estimate) Significant() bool { return x.Low > 0 || x.High < 0 }

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
	blockWindows = 3
	draws        = 2000
)

// pairs are earnings of two replays and what was asked for, by window.
type pairs struct{ asked, one, other []float64 }

func (p *pairs) add(asked, one, other float64) {
	p.asked, p.one, p.other = append(p.asked, asked), append(p.one, one), append(p.other, other)
}

func share(earned, asked []float64) float64 {
	e, a := 0.0, 0.0
	for i := range asked {
		e, a = e+earned[i], a+asked[i]
	}
	if a == 0 {
		return 1
	}
	return e / a
}

// difference is other's service less one's, with an interval by a moving-block bootstrap (Kuensch 1989): blocks of
// windows are drawn with repeats, the same for both, so that what befell both cancels.
func (p *pairs) difference(seed uint64) Estimate {
	n := len(p.asked)
	e := Estimate{Value: share(p.other, p.asked) - share(p.one, p.asked)}
	e.Low, e.High = math.Inf(-1), math.Inf(1)
	if n < 2*blockWindows {
		return e // too short a day to tell
	}
	random, all := rand.New(rand.NewPCG(seed, 1)), make([]float64, draws)
	for d := range all {
		asked, gain := 0.0, 0.0
		for k := 0; k < n; k += blockWindows {
			at := random.IntN(n - blockWindows + 1)
			for i := at; i < at+min(blockWindows, n-k); i++ {
				asked, gain = asked+p.asked[i], gain+p.other[i]-p.one[i]
			}
		}
		if asked > 0 {
			all[d] = gain / asked
		}
	}
	sort.Float64s(all)
	e.Low, e.High = stat.Quantile(0.025, stat.Empirical, all, nil), stat.Quantile(0.975, stat.Empirical, all, nil)
	return e
}

// Compare sets two replays of one day beside each other. They are told apart by seed alone where it matters.
func Compare(one, other *Outcome, seed uint64) *Comparison {
	c := &Comparison{Messages: [2]int{one.Messages, other.Messages}}
	var all, model pairs
	windows := min(len(one.Windows), len(other.Windows))
	recorded := make([]float64, windows)
	for i := range windows {
		a, b := one.Windows[i], other.Windows[i]
		asked, x, y := sum(a.Offered), sum(a.Replayed), sum(b.Replayed)
		recorded[i] = sum(a.Recorded)
		all.add(asked, x, y)
		model.add(asked, recorded[i], x)
		if asked > 0 && math.Abs(x-y) > partedLeast*asked {
			c.DifferingWindows = append(c.DifferingWindows, DifferingWindow{one.FromMs + float64(i)*windowLength, x / asked, y / asked})
		}
	}
	c.Overall = ClassDifference{"all", share(recorded, all.asked), share(all.one, all.asked), share(all.other, all.asked), all.difference(seed)}
	c.ModelError = model.difference(seed)
	for k, name := range one.Classes {
		var p pairs
		was := make([]float64, windows)
		for i := range windows {
			p.add(one.Windows[i].Offered[k], one.Windows[i].Replayed[k], other.Windows[i].Replayed[k])
			was[i] = one.Windows[i].Recorded[k]
		}
		c.Classes = append(c.Classes, ClassDifference{name, share(was, p.asked), share(p.one, p.asked), share(p.other, p.asked), p.difference(seed)})
	}
	return c
}

// partedLeast is a difference in a window's service that is worth telling.
const partedLeast = 0.02

func sum(all []float64) float64 {
	s := 0.0
	for _, x := range all {
		s += x
	}
	return s
}

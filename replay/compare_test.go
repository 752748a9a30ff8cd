package replay

import (
	"math"
	"math/rand/v2"
	"testing"
)

// outcome is a day of so many windows whose service is drawn about a mean.
func outcome(windows int, mean, spread float64, seed uint64) *Outcome {
	random, o := rand.New(rand.NewPCG(seed, 2)), &Outcome{Classes: []string{"sheet", "finish"}}
	for range windows {
		w := Window{Offered: []float64{300, 900}}
		for _, asked := range w.Offered {
			x := asked * math.Min(1, mean+spread*random.NormFloat64())
			w.Recorded, w.Replayed = append(w.Recorded, x), append(w.Replayed, x)
		}
		o.Windows = append(o.Windows, w)
	}
	return o
}

// A difference within its interval is called none, one beyond it is not; a day too short says nothing.
func TestCompare(t *testing.T) {
	one := outcome(60, 0.9, 0.02, 1)
	if c := Compare(one, outcome(60, 0.9, 0.02, 5), 1); c.Overall.Difference.Significant() {
		t.Errorf("two draws of one day: %+v", c.Overall)
	}
	c := Compare(one, outcome(60, 0.8, 0.02, 2), 1)
	if d := c.Overall.Difference; !d.Significant() || d.Value > -0.08 || d.Low > d.Value || d.High < d.Value || len(c.Classes) != 2 || len(c.DifferingWindows) < 50 {
		t.Errorf("a tenth less: %+v, %d parted", d, len(c.DifferingWindows))
	}
	if c := Compare(outcome(4, 0.9, 0, 1), outcome(4, 0.5, 0, 1), 1); c.Overall.Difference.Significant() {
		t.Errorf("a day of 20 s: %+v", c.Overall.Difference)
	}
	// Of a hundred pairs without a difference about five are called one.
	wrong := 0
	for i := range 100 {
		if Compare(outcome(60, 0.9, 0.02, uint64(100+i)), outcome(60, 0.9, 0.02, uint64(900+i)), 1).Overall.Difference.Significant() {
			wrong++
		}
	}
	if wrong > 15 {
		t.Errorf("%d of 100 pairs of draws are called different", wrong)
	}
}

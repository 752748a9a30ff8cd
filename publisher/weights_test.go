package publisher

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A host's share by quantised weights is off by less than one part in their sum, and none that has a weight falls to 0.
func TestQuantise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-6, 1e6), 1, 500).Draw(t, "weights")
		scale := rapid.Float64Range(0, 1000).Draw(t, "scale")
		all, by := quantizeWeights(weights, scale)
		sum, total, raised := 0.0, 0.0, 0.0
		for i, w := range weights {
			sum, total = sum+w, total+float64(all[i])
			if w*by < 0.5 {
				raised++
			}
		}
		for i, w := range weights {
			if all[i] < 1 || all[i] > 256 {
				t.Fatalf("%g is %d", w, all[i])
			}
			// off by rounding of its own, and by what the rounding of the others moves the sum
			bound := (0.5 + raised + float64(len(weights))*0.5*w/sum) / total * 1.0001
			if off := math.Abs(float64(all[i])/total - w/sum); raised == 0 && off > bound {
				t.Fatalf("share of %g: %g off, bound %g", w, off, bound)
			}
		}
	})
}

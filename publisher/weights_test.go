package publisher

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// No positive weight becomes 0. Where no weight is raised to 1, the error of a host's share is within the bound that
// quantizeWeights documents.
func TestQuantizeWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-6, 1e6), 1, 500).Draw(t, "weights")
		previousScale := rapid.Float64Range(0, 1000).Draw(t, "previousScale")
		quantized, scale := quantizeWeights(weights, previousScale)
		sum := 0.0
		quantizedSum := 0.0
		raised := 0.0 // number of weights that were raised to 1
		for i, weight := range weights {
			sum += weight
			quantizedSum += float64(quantized[i])
			if weight*scale < 0.5 {
				raised++
			}
		}
		for i, weight := range weights {
			if quantized[i] < 1 || quantized[i] > 256 {
				t.Fatalf("weight %g: got quantized weight %d, want one from 1 to 256", weight, quantized[i])
			}
			// The error is that of rounding this weight, and that of the sum by rounding the other weights.
			bound := (0.5 + raised + float64(len(weights))*0.5*weight/sum) / quantizedSum * 1.0001
			difference := math.Abs(float64(quantized[i])/quantizedSum - weight/sum)
			if raised == 0 && difference > bound {
				t.Fatalf("weight %g: got a share with an error of %g, want at most %g", weight, difference, bound)
			}
		}
	})
}

func TestQuantizeZeroWeights(t *testing.T) {
	for _, test := range []struct {
		name      string
		weights   []float64
		scale     float64
		want      []int
		wantScale float64
	}{
		{"all are zero", []float64{0, 0}, 3, []int{0, 0}, 3},
		{"one is zero", []float64{0, 2}, 0, []int{0, 256}, 128},
		{"the previous scale fits", []float64{0, 2}, 100, []int{0, 200}, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, scale := quantizeWeights(test.weights, test.scale)
			if !slices.Equal(got, test.want) || scale != test.wantScale {
				t.Errorf("got weights %v, scale %g, want %v, %g", got, scale, test.want, test.wantScale)
			}
		})
	}
}

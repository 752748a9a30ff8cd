package publisher

import "math"

// maxWeight is the largest weight that the runtime API accepts.
const maxWeight = 256

// quantizeWeights scales the weights of a table to integers from 1 to maxWeight, and a weight of 0 to 0. The previous
// scale is kept where it maps the largest weight into the upper half of the range, so that an unchanged weight needs
// no command; otherwise the largest weight becomes maxWeight. The error of a host's share among n hosts is at most
// (1 + n*share) / 2, divided by the sum of the quantized weights, where no weight is so small that it is raised to 1.
func quantizeWeights(weights []float64, previousScale float64) (quantized []int, scale float64) {
	largest := 0.0
	for _, weight := range weights {
		largest = math.Max(largest, weight)
	}
	if largest <= 0 {
		return make([]int, len(weights)), previousScale
	}
	scale = previousScale
	scaleFits := largest*scale <= maxWeight && largest*scale >= maxWeight/2
	if !scaleFits {
		scale = maxWeight / largest
	}
	for _, weight := range weights {
		quantized = append(quantized, quantizeWeight(weight, scale))
	}
	return quantized, scale
}

// quantizeWeight rounds a scaled weight. A positive one becomes at least 1, since a server with the weight 0 gets no
// traffic.
func quantizeWeight(weight, scale float64) int {
	if weight > 0 {
		return min(max(int(math.Round(weight*scale)), 1), maxWeight)
	}
	return 0
}

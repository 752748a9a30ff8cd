package publisher

import "math"

// maxWeight is the largest weight of the socket.
const maxWeight = 256

// quantizeWeights gives weights from 1 to 256 for a table's, the greatest at 256 or, where an earlier scale still fits, by
// that: then an unchanged line costs no command. None that is above 0 falls to 0. The share of each host is off by less
// than 1 part in the sum of the weights.
func quantizeWeights(weights []float64, scale float64) (all []int, by float64) {
	most := 0.0
	for _, w := range weights {
		most = math.Max(most, w)
	}
	if most <= 0 {
		return make([]int, len(weights)), scale
	}
	if by = scale; !(most*by <= maxWeight && most*by >= maxWeight/2) {
		by = maxWeight / most
	}
	for _, w := range weights {
		q := 0
		if w > 0 {
			q = min(max(int(math.Round(w*by)), 1), maxWeight)
		}
		all = append(all, q)
	}
	return all, by
}

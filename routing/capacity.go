package routing

import "math"

const (
	missProbability  = 0.05 // part of the transactions that may miss the deadline d
	deadlineMedians  = 3.2  // d as a multiple of the median response time: a median server has a little room
	minCapacityRatio = 0.5  // the cap is never under this part of the service rate
)

// deadlineCapacity gives the arrival rate up to which a server meets the deadline d, all but a part epsilon.
func deadlineCapacity(rate, r, median float64) float64 {
	mu := rate + 1000/r
	k := math.Abs(math.Log(missProbability) / (deadlineMedians * median) * 1000)
	return math.Max(mu-k, mu*minCapacityRatio)
}

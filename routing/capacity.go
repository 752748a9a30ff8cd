package routing

import "math"

const (
	epsilon  = 0.05 // part of the transactions that may miss the deadline d
	dMedians = 3.2  // d as a multiple of the median response time: a median server has a little room
	capLeast = 0.5  // the cap is never under this part of the service rate
)

// capOf gives the arrival rate up to which a server meets the deadline d, all but a part epsilon.
func capOf(rate, r, median float64) float64 {
	mu := rate + 1000/r
	k := math.Abs(math.Log(epsilon) / (dMedians * median) * 1000)
	return math.Max(mu-k, mu*capLeast)
}

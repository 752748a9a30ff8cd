package routing

import "math"

const (
	// missProbability is eps of the capacity formula: the fraction of the requests that may miss the deadline d.
	missProbability = 0.05

	// deadlineMedians is d of the capacity formula as a multiple of the fleet's median latency. At
	// -ln(missProbability), about 3, or less, a fleet of equal hosts has no headroom at all; a slightly larger
	// multiple gives each host a little.
	deadlineMedians = 3.2

	// minCapacityRatio is the fraction of the service rate below which the capacity never falls.
	minCapacityRatio = 0.5
)

// serviceRate returns mu of an M/M/1 queue, in requests a second: mu = lambda + 1/R.
func serviceRate(arrivalRate, meanLatencyMs float64) float64 {
	return arrivalRate + msPerSecond/meanLatencyMs
}

// latencyMargin returns K = |ln eps / d|, in requests a second: an M/M/1 queue whose arrival rate stays K below its
// service rate answers all but the fraction eps of the requests within d.
func latencyMargin(medianLatencyMs float64) float64 {
	return math.Abs(math.Log(missProbability) / (deadlineMedians * medianLatencyMs) * msPerSecond)
}

// deadlineCapacity returns the arrival rate, in requests a second, up to which a host meets the deadline: mu - K, by
// section 3 of the paper named in the package comment. Latencies are in ms and above 0.
func deadlineCapacity(arrivalRate, meanLatencyMs, medianLatencyMs float64) float64 {
	mu := serviceRate(arrivalRate, meanLatencyMs)
	return math.Max(mu-latencyMargin(medianLatencyMs), mu*minCapacityRatio)
}

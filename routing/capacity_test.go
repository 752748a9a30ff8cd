package routing

import "testing"

// Calculated by hand: d = 3.2 x 250 ms, K = ln 20 / 0.8 s = 3.745/s. At 10/s and 250 ms, mu is 14 and the capacity
// 10.255; at 10/s and 1 s, mu is 11 and the capacity 7.255; at 1/s and 2 s, mu is 1.5 and the capacity its lower bound
// of mu/2, 0.75.
func TestDeadlineCapacity(t *testing.T) {
	h := &harness{}
	const medianLatencyMs = 250
	for _, host := range []struct{ arrivalRate, meanLatencyMs float64 }{{10, 250}, {10, 1000}, {1, 2000}} {
		capacity := deadlineCapacity(host.arrivalRate, host.meanLatencyMs, medianLatencyMs)
		h.tracef("arrival rate %.0f mean latency %.0f: capacity %.3f overload %.3f",
			host.arrivalRate, host.meanLatencyMs, capacity, host.arrivalRate-capacity)
	}
	h.checkTrace(t)
}

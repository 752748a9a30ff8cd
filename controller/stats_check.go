package controller

import (
	"fmt"
)

// Bounds of what sums may say: anything beyond is a fault of the sender.
const (
	maxAttempts       = 1 << 30
	maxWindowMs       = 3600e3
	maxLoad           = 1e9
	maxLatencyBuckets = 512
)

// boundedValue is a figure of the sums with what it may be.
type boundedValue struct {
	name            string
	value, min, max float64
}

// checkBounds refuses the first figure out of its bounds; the name of what it belongs to is put together only then.
func checkBounds(what, name string, all ...boundedValue) error {
	for _, b := range all {
		if !(b.value >= b.min && b.value <= b.max) {
			return invalidField(fmt.Sprintf("%s[%q].%s", what, name, b.name), "%g is not from %g to %g", b.value, b.min, b.max)
		}
	}
	return nil
}

func (s *Controller) checkStats(u ProxyStats) error {
	if u.Sequence < 1 {
		return invalidField("number", "%d is not 1 or more", u.Sequence)
	}
	if !(u.SentAtMs >= 0 && u.SentAtMs <= 1e15) {
		return invalidField("at", "%g is no time", u.SentAtMs)
	}
	if u.Sender != "" {
		if err := checkName("sender", u.Sender); err != nil {
			return err
		}
	}
	// Of several faults any one is told: going through them in order would cost more than all else.
	for host, v := range u.Hosts {
		if _, ok := s.hostIndex.IndexOf[host]; !ok {
			return invalidField(fmt.Sprintf("hosts[%q]", host), "the host is not on the list")
		}
		if err := checkBounds("hosts", host, boundedValue{"tries", float64(v.Attempts), 0, maxAttempts},
			boundedValue{"failed", float64(v.Failed), 0, float64(v.Attempts)}, boundedValue{"mean", v.MeanLatencyMs, 0, maxWindowMs},
			boundedValue{"span", v.WindowMs, 1, maxWindowMs}, boundedValue{"load.util", v.Load.Utilization, -1, maxLoad},
			boundedValue{"load.rate", v.Load.RequestRate, -1, maxLoad}, boundedValue{"load.queue", v.Load.QueueLength, -1, maxLoad}); err != nil {
			return err
		}
		if err := checkLatencies(host, v); err != nil {
			return err
		}
	}
	for name, v := range u.Demand {
		if _, ok := s.classIndex[name]; !ok {
			return invalidField(fmt.Sprintf("usage[%q]", name), "the class is not in the settings")
		}
		if err := checkBounds("usage", name, boundedValue{"came", float64(v.Arrivals), 0, maxAttempts},
			boundedValue{"unanswered", float64(v.Unanswered), 0, float64(v.Arrivals)}, boundedValue{"span", v.WindowMs, 1, maxWindowMs}); err != nil {
			return err
		}
	}
	return nil
}

// checkLatencies refuses a spread that does not count the good tries.
func checkLatencies(host string, v HostStats) error {
	if len(v.Latencies) > maxLatencyBuckets {
		return invalidField(fmt.Sprintf("hosts[%q].times", host), "%d bars, %d at most", len(v.Latencies), maxLatencyBuckets)
	}
	n := int64(0)
	for i, b := range v.Latencies {
		if !(b.Ms >= 0 && b.Ms <= maxWindowMs) || b.Count < 1 || b.Count > maxAttempts {
			return invalidField(fmt.Sprintf("hosts[%q].times[%d]", host, i), "%d tries of %g ms", b.Count, b.Ms)
		}
		n += b.Count
	}
	if n > int64(v.Attempts-v.Failed) {
		return invalidField(fmt.Sprintf("hosts[%q].times", host), "%d tries, %d were good", n, v.Attempts-v.Failed)
	}
	return nil
}

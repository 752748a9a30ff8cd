package controller

import "fmt"

// Bounds of the values in a report. A value beyond them is a fault of the sender.
const (
	maxAttempts       = 1 << 30
	maxWindowMs       = 3600e3 // one hour; also the bound of latencies
	maxLoad           = 1e9
	unknownLoadValue  = -1 // of a load report: the host does not report the value
	maxLatencyBuckets = 512
)

// boundedValue is a value of a report with its bounds.
type boundedValue struct {
	name            string
	value, min, max float64
}

// checkBounds returns a *FieldError for the first value that is out of its bounds. The name of the field is formatted
// only then, since a report has many values.
func checkBounds(collection, key string, values ...boundedValue) error {
	for _, v := range values {
		if !(v.value >= v.min && v.value <= v.max) { // fails for NaN too
			field := fmt.Sprintf("%s[%q].%s", collection, key, v.name)
			return invalidField(field, "%g is not from %g to %g", v.value, v.min, v.max)
		}
	}
	return nil
}

// checkStats returns a *FieldError for an invalid field of a report. If several hosts or classes are invalid, it may
// name any of them: sorting them would cost more than the rest of the check.
func (c *Controller) checkStats(stats ProxyStats) error {
	if stats.Sequence < 1 {
		return invalidField("number", "%d is not 1 or more", stats.Sequence)
	}
	if !(stats.SentAtMs >= 0 && stats.SentAtMs <= maxTimeMs) {
		return invalidField("at", "%g is no time", stats.SentAtMs)
	}
	if stats.Sender != "" {
		if err := checkName("sender", stats.Sender); err != nil {
			return err
		}
	}
	for host, hostStats := range stats.Hosts {
		if _, ok := c.hostIndex.IndexOf[host]; !ok {
			return invalidField(fmt.Sprintf("hosts[%q]", host), "the host is not on the list")
		}
		if err := checkHostStats(host, hostStats); err != nil {
			return err
		}
	}
	for class, demand := range stats.Demand {
		if _, ok := c.classIndex[class]; !ok {
			return invalidField(fmt.Sprintf("usage[%q]", class), "the class is not in the settings")
		}
		if err := checkDemand(class, demand); err != nil {
			return err
		}
	}
	return nil
}

func checkHostStats(host string, stats HostStats) error {
	err := checkBounds("hosts", host,
		boundedValue{"tries", float64(stats.Attempts), 0, maxAttempts},
		boundedValue{"failed", float64(stats.Failed), 0, float64(stats.Attempts)},
		boundedValue{"mean", stats.MeanLatencyMs, 0, maxWindowMs},
		boundedValue{"span", stats.WindowMs, 1, maxWindowMs},
		boundedValue{"load.util", stats.Load.Utilization, unknownLoadValue, maxLoad},
		boundedValue{"load.rate", stats.Load.RequestRate, unknownLoadValue, maxLoad},
		boundedValue{"load.queue", stats.Load.QueueLength, unknownLoadValue, maxLoad},
	)
	if err != nil {
		return err
	}
	return checkLatencies(host, stats)
}

func checkDemand(class string, demand ClassDemand) error {
	return checkBounds("usage", class,
		boundedValue{"came", float64(demand.Arrivals), 0, maxAttempts},
		boundedValue{"unanswered", float64(demand.NoResponse), 0, float64(demand.Arrivals)},
		boundedValue{"span", demand.WindowMs, 1, maxWindowMs},
	)
}

// checkLatencies returns a *FieldError for an invalid latency histogram, or one with more attempts than were
// successful.
func checkLatencies(host string, stats HostStats) error {
	field := func() string { return fmt.Sprintf("hosts[%q].times", host) }
	if len(stats.Latencies) > maxLatencyBuckets {
		return invalidField(field(), "%d bars, %d at most", len(stats.Latencies), maxLatencyBuckets)
	}
	total := int64(0)
	for i, bucket := range stats.Latencies {
		if !(bucket.Ms >= 0 && bucket.Ms <= maxWindowMs) || bucket.Count < 1 || bucket.Count > maxAttempts {
			return invalidField(fmt.Sprintf("%s[%d]", field(), i), "%d tries of %g ms", bucket.Count, bucket.Ms)
		}
		total += bucket.Count
	}
	successful := stats.Attempts - stats.Failed
	if total > int64(successful) {
		return invalidField(field(), "%d tries, %d were good", total, successful)
	}
	return nil
}

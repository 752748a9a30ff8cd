package controller

import (
	"maps"
	"slices"

	"barleysail/intake"
	"barleysail/routing"
)

// HostStats are the statistics of a proxy about a host.
type HostStats struct {
	Attempts, Failed int                    // attempts sent to the host, and those without a good answer
	MeanLatencyMs    float64                // of the successful attempts
	WindowMs         float64                // in which the attempts were counted
	Load             routing.HostLoad       // as the host last reported it
	Latencies        []intake.LatencyBucket // distribution over the successful attempts; nil: not given
}

// ClassDemand is the demand for a request class at a proxy.
type ClassDemand struct {
	Arrivals   int // requests that came, with rejected ones and those that a client repeats
	Unanswered int
	WindowMs   float64 // in which they were counted
}

// ProxyStats is a report of a proxy's statistics, numbered by its sender. A sender that starts over takes another name.
type ProxyStats struct {
	Sender   string
	Sequence int64
	SentAtMs float64 // by the sender's clock, however wrong that is; 0: not given
	Hosts    map[string]HostStats
	Demand   map[string]ClassDemand // by class
}

// ObserveProxyStats takes a report of a proxy, once for each number; the next round processes it. It reports whether
// the report was counted: a repeated one, and one that comes after a newer one, is not. The error is ErrNotConnected,
// or a *FieldError that names an invalid field; nothing is counted then.
func (c *Controller) ObserveProxyStats(nowMs float64, proxy string, stats ProxyStats) (counted bool, err error) {
	c.nowMs = nowMs
	session := c.sessions.byProxy[proxy]
	if session == nil {
		return false, ErrNotConnected
	}
	if err := c.checkStats(stats); err != nil {
		return false, err
	}
	isNew, duplicate := session.reporters.Accept(nowMs, stats.Sender, stats.Sequence)
	if duplicate && !session.duplicateReporters {
		c.recordEvent(eventIngest, "two senders send sums as "+proxy)
	}
	session.duplicateReporters = duplicate
	if !isNew {
		return false, nil
	}
	observedMs := nowMs
	if stats.SentAtMs > 0 {
		observedMs -= session.reporterClock.Age(nowMs, stats.SentAtMs)
	}
	c.queueHostStats(proxy, stats.Hosts, observedMs)
	c.queueDemand(proxy, stats.Demand, observedMs)
	return true, nil
}

// queueHostStats queues the statistics about hosts for the next round, in the order of the hosts' names.
func (c *Controller) queueHostStats(proxy string, byHost map[string]HostStats, observedMs float64) {
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		stats := byHost[host]
		c.ingest.queue.Add(intake.Report{
			Source:        proxy,
			Subject:       host,
			Attempts:      stats.Attempts,
			Failed:        stats.Failed,
			MeanLatencyMs: stats.MeanLatencyMs,
			WindowMs:      stats.WindowMs,
			Load:          stats.Load,
			Latencies:     stats.Latencies,
			ReceivedMs:    c.nowMs,
			ObservedMs:    observedMs,
		})
	}
}

// queueDemand queues the demand of the classes for the next round, in the order of the classes' names.
func (c *Controller) queueDemand(proxy string, byClass map[string]ClassDemand, observedMs float64) {
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		demand := byClass[class]
		c.ingest.queue.Add(intake.Report{
			Source:     proxy,
			Subject:    class,
			IsDemand:   true,
			Attempts:   demand.Arrivals,
			WindowMs:   demand.WindowMs,
			Load:       routing.UnknownLoad,
			ReceivedMs: c.nowMs,
			ObservedMs: observedMs,
		})
	}
}

package controller

import (
	"maps"
	"slices"

	"barleysail/intake"
	"barleysail/routing"
)

// HostStats are the request stats of a proxy for one host.
type HostStats struct {
	Attempts, Failed int                    // attempts at the host, and those of them that failed
	MeanLatencyMs    float64                // of the successful attempts
	WindowMs         float64                // time window in which the attempts were counted
	Load             routing.HostLoad       // last load report of the host
	Latencies        []intake.LatencyBucket // histogram of the successful attempts; nil: not given
}

// ClassDemand is the demand of a request class at a proxy.
type ClassDemand struct {
	Arrivals   int     // requests that arrived, including rejected ones and retries of clients
	NoResponse int     // of these, requests without a response
	WindowMs   float64 // time window in which they were counted
}

// ProxyStats is a report of a proxy's request stats.
type ProxyStats struct {
	Sender   string  // name of the sender, which has to change when the sender restarts its numbers; may be empty
	Sequence int64   // number of the report, from 1, which increases with each report of the sender
	SentAtMs float64 // on the sender's clock, which need not be synchronized; 0: not given
	Hosts    map[string]HostStats
	Demand   map[string]ClassDemand // by class
}

// ObserveProxyStats queues a report of a proxy for the next round, and returns whether the report was counted. A report
// that is repeated, or older than one that was counted, is not counted. The error is ErrNotConnected, or a *FieldError
// for an invalid field; no part of the report is counted then.
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

// queueHostStats queues request stats of hosts for the next round, in the order of the hosts' names.
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

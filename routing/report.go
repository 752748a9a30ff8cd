package routing

import (
	"math"
	"slices"
)

const (
	// windowDecay is the factor by which earlier request sums decay in one report cycle.
	windowDecay = 0.8

	// recentDecay is the same factor for the recent successes and failures, which must show a fault sooner than the
	// mean latency does.
	recentDecay = 0.5

	// priorSamples is the weight, in requests, of the fleet's median latency in the estimate of each host's mean
	// latency, so that a host with few requests counts as average and a noisy mean latency does not look like
	// overload.
	priorSamples = 4.0

	// demandSmoothing is the weight of a proxy's last report in its smoothed request rate.
	demandSmoothing = 0.3

	// successRatioSmoothing is the weight of the old value in a success ratio where the last reports show a higher one.
	// A lower one replaces it at once.
	successRatioSmoothing = 0.5

	// minReportedRateRatio is the least credible request rate in a host's load report, as a fraction of the arrival rate
	// that the proxies measured. A lower reported rate is rejected and replaced by this bound.
	minReportedRateRatio = 0.5

	// settlingCycles is the number of report cycles, in addition to the propagation delay, until a new weight shows
	// in reports.
	settlingCycles = 2

	// noReportYet is reportTiming.lastAtMs before the first reports.
	noReportYet = -1
)

// requestSums are sums over the attempts that proxies made at a host.
type requestSums struct {
	successes float64
	failures  float64
	latencyMs float64 // sum over the successes
	spanMs    float64 // the time that the sums cover
}

// requestStats are a host's request statistics.
type requestStats struct {
	pending         requestSums // reported since the last report round
	window          requestSums // of all report rounds, decaying by windowDecay
	arrivalRate     float64     // lambda, in attempts a second, from all proxies
	meanLatencyMs   float64     // R, with the prior of priorSamples
	recentSuccesses float64     // decaying by recentDecay, counted also during the cooldown after a transfer
	recentFailures  float64
	lastSuccessAtMs float64 // last report round with a success
}

// attempts returns the number of attempts in the window, decayed by windowDecay.
func (r *requestStats) attempts() float64 { return r.window.successes + r.window.failures }

// recentAttempts returns the number of recent attempts, decayed by recentDecay.
func (r *requestStats) recentAttempts() float64 { return r.recentSuccesses + r.recentFailures }

// reportTiming measures when the proxies' reports arrive and how soon they show a change.
type reportTiming struct {
	pending        bool    // reports arrived since the last report round
	lastAtMs       float64 // the last report round, or noReportYet
	delayMs        float64 // recent delay of report rounds beyond the report interval, decaying
	spanSumMs      float64 // sum of the times that the pending reports cover
	count          float64 // number of the pending reports
	cycleMs        float64 // the time in which every host is reported once
	settlingMs     float64 // the time until a new weight shows in the reports
	observableAtMs float64 // from this instant on reports show this instance's first weights
}

// fleetStats are statistics over all hosts.
type fleetStats struct {
	medianLatencyMs float64 // median of the hosts' mean latencies; 0 before the first reports
	successRatio    float64 // successes per attempt
}

// tableStats are statistics over the hosts of a shared table. Where zones have their own tables, a zone in which most
// attempts fail hardly shows in the statistics of the fleet.
type tableStats struct {
	counts       attemptCounts // of the report round in progress
	successRatio float64       // successes per attempt
	hadWarmHost  bool          // it had a host in the last round that is warm and not ejected
	lostWarmHost bool          // it has lost the last such host, as logged
}

// newTableStats returns the statistics before the first reports, for a number of tables.
func newTableStats(tables int) []tableStats {
	return slices.Repeat([]tableStats{{successRatio: 1}}, tables)
}

// attemptCounts counts the attempts that were reported in one report round. With one success added, the success ratio
// is 1 where there were no attempts.
type attemptCounts struct {
	successes float64
	attempts  float64
}

func newAttemptCounts() attemptCounts { return attemptCounts{successes: 1, attempts: 1} }

// add counts the attempts at a host.
func (c *attemptCounts) add(reported requestSums) {
	c.successes += reported.successes
	c.attempts = c.attempts + reported.successes + reported.failures
}

// smoothedRatio returns the success ratio after the round, given the one before: see successRatioSmoothing.
func (c *attemptCounts) smoothedRatio(previous float64) float64 {
	ratio := c.successes / c.attempts
	smoothed := successRatioSmoothing*previous + (1-successRatioSmoothing)*c.successes/c.attempts
	return math.Min(ratio, smoothed)
}

// processReports runs a report round: it updates the estimates from the reports since the last one, rebalances and sets
// admission. It only runs after reports, so that without them the published tables stay unchanged.
func (b *Balancer) processReports(writer UpdateWriter) {
	intervalMs := b.deployment.ReportIntervalMs
	passedMs := intervalMs
	if b.reports.lastAtMs != noReportYet {
		passedMs = b.nowMs - b.reports.lastAtMs
		b.reports.delayMs = math.Max(passedMs-intervalMs, b.reports.delayMs*windowDecay)
	}
	b.reports.lastAtMs = b.nowMs
	b.reports.pending = false
	b.updateProxyRates()
	b.updateEstimates(passedMs)
	b.rebalance()
	b.updateSubsetMode(writer)
	if b.deployment.AdmissionControl {
		b.adjustAdmission(writer)
	} else {
		b.mitigateRetryStorm(writer)
	}
}

// updateProxyRates updates each proxy's request rate from the demand that it reported.
func (b *Balancer) updateProxyRates() {
	for i := range b.proxies {
		proxy := &b.proxies[i]
		if proxy.pendingSpanMs <= 0 {
			continue
		}
		reportedRate := proxy.pendingRequests / proxy.pendingSpanMs * msPerSecond
		proxy.requestRate += demandSmoothing * (reportedRate - proxy.requestRate)
		proxy.pendingRequests = 0
		proxy.pendingSpanMs = 0
	}
}

// updateEstimates updates the report cycle, each host's arrival rate and mean latency, the success ratios, and the
// fleet's median latency. passedMs is the time since the last report round.
func (b *Balancer) updateEstimates(passedMs float64) {
	b.updateReportCycle()
	cycles := passedMs / b.reports.cycleMs
	windowKept := math.Pow(windowDecay, cycles)
	recentKept := math.Pow(recentDecay, cycles)
	connectedShare := b.connectedShare()
	b.resetAttemptCounts()
	fleetCounts := newAttemptCounts()
	var latenciesMs []float64
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		reported := host.stats.takePending(recentKept, b.nowMs)
		fleetCounts.add(reported)
		b.tableOf(host).counts.add(reported)
		if b.nowMs < host.balance.cooldownUntilMs-b.reports.cycleMs { // these reports do not show the last transfer yet
			host.stats.window = requestSums{}
			continue
		}
		host.stats.extendWindow(reported, windowKept, passedMs)
		b.estimateHost(host, connectedShare)
		if b.isRebalanced(host) && host.stats.window.successes >= priorSamples {
			latenciesMs = append(latenciesMs, host.stats.window.latencyMs/host.stats.window.successes)
		}
	}
	b.fleet.successRatio = fleetCounts.smoothedRatio(b.fleet.successRatio)
	b.updateTableSuccessRatios()
	if len(latenciesMs) > 0 {
		slices.Sort(latenciesMs)
		b.fleet.medianLatencyMs = latenciesMs[len(latenciesMs)/2]
	}
}

// resetAttemptCounts begins the counts of a report round for each shared table.
func (b *Balancer) resetAttemptCounts() {
	for i := range b.tables {
		b.tables[i].counts = newAttemptCounts()
	}
}

// updateTableSuccessRatios updates the success ratio of each shared table from the counts of the report round.
func (b *Balancer) updateTableSuccessRatios() {
	for i := range b.tables {
		table := &b.tables[i]
		table.successRatio = table.counts.smoothedRatio(table.successRatio)
	}
}

// tableOf returns the statistics of the shared table that holds a host.
func (b *Balancer) tableOf(host *hostRecord) *tableStats {
	return &b.tables[b.sharedTable(host.endpoint.zone)]
}

// updateReportCycle updates the report cycle by the time that each report covers: in a large fleet each report holds
// only some of the hosts, so that a host is reported less often than once in each report interval.
func (b *Balancer) updateReportCycle() {
	reports := &b.reports
	smoothed := recentDecay*reports.cycleMs + (1-recentDecay)*reports.spanSumMs/reports.count
	reports.cycleMs = math.Max(b.deployment.ReportIntervalMs, smoothed)
	reports.settlingMs = b.channel.PropagationDelayMs + settlingCycles*reports.cycleMs
	reports.spanSumMs = 0
	reports.count = 0
}

// takePending adds what was reported since the last report round to the recent successes and failures, and returns and
// clears it.
func (r *requestStats) takePending(recentKept, nowMs float64) requestSums {
	reported := r.pending
	r.pending = requestSums{}
	r.recentSuccesses = r.recentSuccesses*recentKept + reported.successes
	r.recentFailures = r.recentFailures*recentKept + reported.failures
	if reported.successes > 0 {
		r.lastSuccessAtMs = nowMs
	}
	return reported
}

// extendWindow multiplies the window by windowKept and adds the sums reported in the last passedMs.
func (r *requestStats) extendWindow(reported requestSums, windowKept, passedMs float64) {
	window := &r.window
	window.successes = window.successes*windowKept + reported.successes
	window.failures = window.failures*windowKept + reported.failures
	window.latencyMs = window.latencyMs*windowKept + reported.latencyMs
	window.spanMs = window.spanMs*windowKept + passedMs
}

// estimateHost derives a host's arrival rate and mean latency from its window. The arrival rate is the one that the
// host reports, but at least minReportedRateRatio of the measured one, or else the rate that this instance's proxies
// measured, divided by their share of all proxies. A failed attempt counts as one that took the latency d of the
// capacity formula, so that errors never look like headroom; it does not count in the fleet's median.
func (b *Balancer) estimateHost(host *hostRecord, connectedShare float64) {
	window := &host.stats.window
	priorMs := (window.failures*deadlineMedians + priorSamples) * b.fleet.medianLatencyMs
	host.stats.meanLatencyMs = (window.latencyMs + priorMs) / (host.stats.attempts() + priorSamples)
	host.stats.arrivalRate = host.stats.attempts() / window.spanMs * msPerSecond / connectedShare
	if host.load.RequestRate >= 0 {
		host.stats.arrivalRate = math.Max(host.load.RequestRate, host.stats.arrivalRate*minReportedRateRatio)
	}
}

package routing

import (
	"math"
	"slices"
)

const (
	// windowDecay is what earlier request sums count for after one report cycle.
	windowDecay = 0.8

	// recentDecay is the same for the success ratios, which must follow a fault sooner than the mean latency does.
	recentDecay = 0.5

	// priorSamples is the number of requests of median latency that each host is taken to have answered besides its
	// own, so that a host with few requests counts as average and a noisy mean latency fakes no overload.
	priorSamples = 4.0

	// demandSmoothing is the part of a proxy's request rate that follows its last report.
	demandSmoothing = 0.3

	// successRatioSmoothing is the part of the fleet's success ratio that a better last report keeps of the old one.
	successRatioSmoothing = 0.5

	// loadReportTrust is the part of the arrival rate by the proxies' sums under which a host's own report is not
	// believed.
	loadReportTrust = 0.5

	// settlingCycles is the number of report cycles, besides the propagation delay, until a new weight shows in
	// reports.
	settlingCycles = 2

	// noReportYet is reportTiming.lastAtMs before the first reports.
	noReportYet = -1
)

// requestSums sum up the attempts that proxies made at a host.
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
	arrivalRate     float64     // lambda, in attempts a second, from the whole fleet of proxies
	meanLatencyMs   float64     // R, with the prior of priorSamples
	recentSuccesses float64     // decaying by recentDecay, counted also while a weight transfer has yet to show
	recentFailures  float64
	lastSuccessAtMs float64 // when a report last showed a success
}

// attempts is the decayed number of attempts in the window.
func (r *requestStats) attempts() float64 { return r.window.successes + r.window.failures }

// recentAttempts is the number of attempts that decays by recentDecay.
func (r *requestStats) recentAttempts() float64 { return r.recentSuccesses + r.recentFailures }

// reportTiming tells when the proxies' reports come and how soon they show a change.
type reportTiming struct {
	pending        bool    // some came since the last report round
	lastAtMs       float64 // the last report round, or noReportYet
	delayMs        float64 // how much later than usual report rounds lately came
	spanSumMs      float64 // sum of the times that the pending reports cover
	count          float64 // number of the pending reports
	cycleMs        float64 // the time in which reports come round all hosts
	settlingMs     float64 // the time until a new weight shows in the reports
	observableAtMs float64 // from then on reports show this instance's own first weights
}

// fleetStats are statistics over all hosts.
type fleetStats struct {
	medianLatencyMs float64 // median of the hosts' mean latencies; 0 before the first reports
	successRatio    float64 // successes per attempt
}

// processReports takes in the reports since the last report round. Without reports none of this happens, and the
// published tables stay as they are.
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
		b.relieveRetryStorm(writer)
	}
}

// updateProxyRates brings each proxy's request rate up to date by the demand that it reported.
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

// updateEstimates brings the report cycle, each host's arrival rate and mean latency, and the fleet's success ratio and
// median latency up to date. passedMs is the time since the last report round.
func (b *Balancer) updateEstimates(passedMs float64) {
	b.updateReportCycle()
	cycles := passedMs / b.reports.cycleMs
	windowKept := math.Pow(windowDecay, cycles)
	recentKept := math.Pow(recentDecay, cycles)
	connectedShare := b.connectedShare()
	successes, attempts := 1.0, 1.0
	var latenciesMs []float64
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		reported := host.stats.takePending(recentKept, b.nowMs)
		successes += reported.successes
		attempts = attempts + reported.successes + reported.failures
		if b.nowMs < host.balance.cooldownUntilMs-b.reports.cycleMs { // from before the last weight transfer showed
			host.stats.window = requestSums{}
			continue
		}
		host.stats.extendWindow(reported, windowKept, passedMs)
		b.estimateHost(host, connectedShare)
		if b.participates(host) && host.stats.window.successes >= priorSamples {
			latenciesMs = append(latenciesMs, host.stats.window.latencyMs/host.stats.window.successes)
		}
	}
	successRatio := successes / attempts
	smoothed := successRatioSmoothing*b.fleet.successRatio + (1-successRatioSmoothing)*successes/attempts
	b.fleet.successRatio = math.Min(successRatio, smoothed)
	if len(latenciesMs) > 0 {
		slices.Sort(latenciesMs)
		b.fleet.medianLatencyMs = latenciesMs[len(latenciesMs)/2]
	}
}

// updateReportCycle follows the time that each report covers: a large fleet is reported in turns, so that reports come
// round all hosts less often than one report interval.
func (b *Balancer) updateReportCycle() {
	reports := &b.reports
	smoothed := recentDecay*reports.cycleMs + (1-recentDecay)*reports.spanSumMs/reports.count
	reports.cycleMs = math.Max(b.deployment.ReportIntervalMs, smoothed)
	reports.settlingMs = b.channel.PropagationDelayMs + settlingCycles*reports.cycleMs
	reports.spanSumMs = 0
	reports.count = 0
}

// takePending moves what was reported since the last report round into the recent successes and failures.
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

// extendWindow lets the window decay to windowKept of it and adds what was reported in the time passedMs.
func (r *requestStats) extendWindow(reported requestSums, windowKept, passedMs float64) {
	window := &r.window
	window.successes = window.successes*windowKept + reported.successes
	window.failures = window.failures*windowKept + reported.failures
	window.latencyMs = window.latencyMs*windowKept + reported.latencyMs
	window.spanMs = window.spanMs*windowKept + passedMs
}

// estimateHost derives a host's arrival rate and mean latency from its window. The arrival rate is the one that the
// host reports, else this instance's own sums over its share of all proxies. A failed attempt counts as one that took
// the latency d of the capacity formula, so that errors never read as headroom; it stays out of the fleet's median.
func (b *Balancer) estimateHost(host *hostRecord, connectedShare float64) {
	window := &host.stats.window
	priorMs := (window.failures*deadlineMedians + priorSamples) * b.fleet.medianLatencyMs
	host.stats.meanLatencyMs = (window.latencyMs + priorMs) / (host.stats.attempts() + priorSamples)
	host.stats.arrivalRate = host.stats.attempts() / window.spanMs * msPerSecond / connectedShare
	if host.load.RequestRate >= 0 {
		host.stats.arrivalRate = math.Max(host.load.RequestRate, host.stats.arrivalRate*loadReportTrust)
	}
}

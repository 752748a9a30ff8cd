package routing

import (
	"math"
	"sort"
)

const (
	windowDecay     = 0.8 // what earlier sums count for after a report round
	recentDecay     = 0.5 // the same for the share of tries fulfilled
	priorSamples    = 4.0 // answers of median time that each server is taken to have given besides
	demandSmoothing = 0.3 // of a proxy's rate follows its last sums
)

// settlingCycles is the number of report cycles, besides the propagation delay, until a new weight shows in reports.
const settlingCycles = 2

// noReportYet is reportTiming.lastAtMs before the first reports.
const noReportYet = -1

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
	window          requestSums // of earlier rounds, decaying by windowDecay
	arrivalRate     float64     // lambda, in attempts a second, of the whole fleet of proxies
	meanLatencyMs   float64     // R, with the prior of priorSamples
	recentSuccesses float64     // decaying by recentDecay, counted also while a transfer has yet to show
	recentFailures  float64
	lastSuccessAtMs float64 // when a report last showed a success
}

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

// processReports takes in a round of sums. Without sums nothing of this happens and the tables stay.
func (s *Balancer) processReports(w UpdateWriter) {
	period := s.deployment.ReportIntervalMs
	passed := period
	if s.reports.lastAtMs >= 0 {
		passed = s.nowMs - s.reports.lastAtMs
		s.reports.delayMs = math.Max(passed-period, s.reports.delayMs*windowDecay)
	}
	s.reports.lastAtMs, s.reports.pending = s.nowMs, false
	for i := range s.proxies {
		if p := &s.proxies[i]; p.pendingSpanMs > 0 {
			p.requestRate += demandSmoothing * (p.pendingRequests/p.pendingSpanMs*1000 - p.requestRate)
			p.pendingRequests, p.pendingSpanMs = 0, 0
		}
	}
	s.updateEstimates(s.connectedShare(), period, passed)
	s.rebalance()
	s.updateSubsetMode(w)
	if s.deployment.AdmissionControl {
		s.adjustAdmission(w, s.classes, s.objective)
	} else {
		s.relieveRetryStorm(w, s.classes, s.limits.EmptyTableMs/2)
	}
}

// updateEstimates brings λ, the whole rate (as reported, else our own sums over our share of the proxies), and R up
// to date. A failed try counts as one that took d, so that errors and few answers never read as room; it
// stays out of the median. Average answers keep a noisy R from faking overload.
func (s *Balancer) updateEstimates(share, period, passed float64) {
	var heard []float64
	good, all := 1.0, 1.0
	s.reports.cycleMs = math.Max(period, recentDecay*s.reports.cycleMs+(1-recentDecay)*s.reports.spanSumMs/s.reports.count)
	s.reports.settlingMs, s.reports.spanSumMs, s.reports.count = s.channel.PropagationDelayMs+2*s.reports.cycleMs, 0, 0
	keep, soon := math.Pow(windowDecay, passed/s.reports.cycleMs), math.Pow(recentDecay, passed/s.reports.cycleMs)
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		f, p := v.stats.pending, &v.stats.window
		v.stats.pending = requestSums{}
		good, all = good+f.successes, all+f.successes+f.failures
		v.stats.recentSuccesses, v.stats.recentFailures = v.stats.recentSuccesses*soon+f.successes, v.stats.recentFailures*soon+f.failures
		if f.successes > 0 {
			v.stats.lastSuccessAtMs = s.nowMs
		}
		if s.nowMs < v.balance.cooldownUntilMs-s.reports.cycleMs { // from before the last move showed
			*p = requestSums{}
			continue
		}
		p.successes, p.failures, p.latencyMs = p.successes*keep+f.successes, p.failures*keep+f.failures, p.latencyMs*keep+f.latencyMs
		p.spanMs = p.spanMs*keep + passed
		v.stats.meanLatencyMs = (p.latencyMs + (p.failures*deadlineMedians+priorSamples)*s.fleet.medianLatencyMs) / (p.successes + p.failures + priorSamples)
		v.stats.arrivalRate = (p.successes + p.failures) / p.spanMs * 1000 / share
		if v.load.RequestRate >= 0 {
			v.stats.arrivalRate = math.Max(v.load.RequestRate, v.stats.arrivalRate/2)
		}
		if s.rebalances(v) && p.successes >= priorSamples {
			heard = append(heard, p.latencyMs/p.successes)
		}
	}
	s.fleet.successRatio = math.Min(good/all, 0.5*s.fleet.successRatio+0.5*good/all)
	if len(heard) > 0 {
		sort.Float64s(heard)
		s.fleet.medianLatencyMs = heard[len(heard)/2]
	}
}

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

// processReports takes in a round of sums. Without sums nothing of this happens and the tables stay.
func (s *Balancer) processReports(w UpdateWriter, period float64) {
	passed := period
	if s.reportAtMs >= 0 {
		passed = s.nowMs - s.reportAtMs
		s.reportDelayMs = math.Max(passed-period, s.reportDelayMs*windowDecay)
	}
	s.reportAtMs, s.reportPending = s.nowMs, false
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
	s.reportCycleMs = math.Max(period, recentDecay*s.reportCycleMs+(1-recentDecay)*s.reportSpanSumMs/s.reportCount)
	s.settlingMs, s.reportSpanSumMs, s.reportCount = s.propagationDelayMs+2*s.reportCycleMs, 0, 0
	keep, soon := math.Pow(windowDecay, passed/s.reportCycleMs), math.Pow(recentDecay, passed/s.reportCycleMs)
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		f, p := v.pending, &v.window
		v.pending = sums{}
		good, all = good+f.successes, all+f.successes+f.failures
		v.recentSuccesses, v.recentFailures = v.recentSuccesses*soon+f.successes, v.recentFailures*soon+f.failures
		if f.successes > 0 {
			v.lastSuccessAtMs = s.nowMs
		}
		if s.nowMs < v.cooldownUntilMs-s.reportCycleMs { // from before the last move showed
			*p = sums{}
			continue
		}
		p.successes, p.failures, p.latencyMs = p.successes*keep+f.successes, p.failures*keep+f.failures, p.latencyMs*keep+f.latencyMs
		p.spanMs = p.spanMs*keep + passed
		v.meanLatencyMs = (p.latencyMs + (p.failures*deadlineMedians+priorSamples)*s.medianLatencyMs) / (p.successes + p.failures + priorSamples)
		v.arrivalRate = (p.successes + p.failures) / p.spanMs * 1000 / share
		if v.load.RequestRate >= 0 {
			v.arrivalRate = math.Max(v.load.RequestRate, v.arrivalRate/2)
		}
		if s.rebalances(v) && p.successes >= priorSamples {
			heard = append(heard, p.latencyMs/p.successes)
		}
	}
	s.successRatio = math.Min(good/all, 0.5*s.successRatio+0.5*good/all)
	if len(heard) > 0 {
		sort.Float64s(heard)
		s.medianLatencyMs = heard[len(heard)/2]
	}
}

package intake

import (
	"fmt"
	"math"

	"barleysail/routing"
)

// inconsistency says why a report does not fit what the proxies met, if it does not.
func (t *Trust) inconsistency(now float64, h *hostState, load routing.HostLoad, c Capacity) string {
	h.attempts.decay(now)
	h.recentAttempts.decay(now)
	t.fleet.decay(now)
	if h.attempts.good < minGoodAttempts || now < h.attempts.startMs+minObservationMs {
		return ""
	}
	// Where traffic falls a host tells so before our figures show it: the lower one counts.
	ours := math.Min(h.attempts.perSecond(h.attempts.good), h.recentAttempts.perSecond(h.recentAttempts.good))
	mean, usual := h.attempts.meanLatencyMs(), t.fleet.meanLatencyMs()
	if odds := math.Pow(t.repeatedReports/t.sampledReports, float64(h.repeats)); h.repeats >= minStuckRepeats && odds < t.limits.StuckProbability {
		return fmt.Sprintf("the same %d times, by chance once in %.0f", h.repeats+1, 1/odds)
	}
	// Where traffic falls everywhere all hosts tell so before our figures show it: then the fleet's part counts.
	part := 1.0
	if load.RequestRate >= 0 {
		fade := math.Exp((t.rateSumsMs - now) / fastDecayMs)
		t.reportedRateSum, t.observedRateSum, t.rateSumsMs = t.reportedRateSum*fade+load.RequestRate, t.observedRateSum*fade+ours, now
		part = math.Min(1, t.reportedRateSum/math.Max(t.observedRateSum, 1e-9))
	}
	if load.RequestRate >= 0 && load.RequestRate+1 < minRateRatio*part*ours {
		return fmt.Sprintf("it tells %.3g a second, our proxies alone had %.3g fulfilled", load.RequestRate, ours)
	}
	if c.Cores > 0 && c.MeanWorkMs > 0 && load.Utilization >= 0 {
		if busy := part * ours * c.MeanWorkMs / 1000 / c.Cores; load.Utilization+0.1 < minUtilizationRatio*busy {
			return fmt.Sprintf("it tells a busy part of %.2f, our proxies' work alone makes %.2f", load.Utilization, busy)
		}
	}
	if load.Utilization >= 0 && load.Utilization < idleUtilization && load.QueueLength <= 0 && mean > maxIdleLatencyRatio*usual {
		return fmt.Sprintf("it tells a busy part of %.2f, its answers take %.0f ms where %.0f are usual", load.Utilization, mean, usual)
	}
	return ""
}

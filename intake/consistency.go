package intake

import (
	"fmt"
	"math"

	"barleysail/routing"
)

// odd says why a report does not fit what the proxies met, if it does not.
func (t *Trust) odd(now float64, h *host, load routing.HostLoad, c Capacity) string {
	h.met.fade(now)
	h.quick.fade(now)
	t.fleet.fade(now)
	if h.met.good < enough || now < h.met.from+knownFor {
		return ""
	}
	// Where traffic falls a host tells so before our figures show it: the lower one counts.
	ours := math.Min(h.met.rate(h.met.good), h.quick.rate(h.quick.good))
	mean, usual := h.met.mean(), t.fleet.mean()
	if odds := math.Pow(t.again/t.all, float64(h.run)); h.run >= runLeast && odds < t.limits.StuckProbability {
		return fmt.Sprintf("the same %d times, by chance once in %.0f", h.run+1, 1/odds)
	}
	// Where traffic falls everywhere all hosts tell so before our figures show it: then the fleet's part counts.
	part := 1.0
	if load.RequestRate >= 0 {
		fade := math.Exp((t.toldAt - now) / quickFor)
		t.told, t.ours, t.toldAt = t.told*fade+load.RequestRate, t.ours*fade+ours, now
		part = math.Min(1, t.told/math.Max(t.ours, 1e-9))
	}
	if load.RequestRate >= 0 && load.RequestRate+1 < lessThan*part*ours {
		return fmt.Sprintf("it tells %.3g a second, our proxies alone had %.3g fulfilled", load.RequestRate, ours)
	}
	if c.Cores > 0 && c.MeanWorkMs > 0 && load.Utilization >= 0 {
		if busy := part * ours * c.MeanWorkMs / 1000 / c.Cores; load.Utilization+0.1 < halfBusy*busy {
			return fmt.Sprintf("it tells a busy part of %.2f, our proxies' work alone makes %.2f", load.Utilization, busy)
		}
	}
	if load.Utilization >= 0 && load.Utilization < idleUnder && load.QueueLength <= 0 && mean > slowIdle*usual {
		return fmt.Sprintf("it tells a busy part of %.2f, its answers take %.0f ms where %.0f are usual", load.Utilization, mean, usual)
	}
	return ""
}

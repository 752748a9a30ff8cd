package intake

import "math"

// attemptStats of what proxies met lately, faded.
type attemptStats struct {
	decayMs                    float64 // ms it fades over
	good, failed, latencySumMs float64
	updatedMs, startMs         float64 // from: since when it counts; 0: it has not begun
}

// decay brings counts up to a time.
func (c *attemptStats) decay(now float64) {
	part := math.Exp((c.updatedMs - now) / c.decayMs)
	c.good, c.failed, c.latencySumMs, c.updatedMs = c.good*part, c.failed*part, c.latencySumMs*part, now
}

func (c *attemptStats) add(now float64, l *Report) {
	if c.startMs == 0 {
		c.startMs = now - l.WindowMs
	}
	c.decay(now)
	good := float64(l.Attempts - l.Failed)
	c.good, c.failed, c.latencySumMs = c.good+good, c.failed+float64(l.Failed), c.latencySumMs+good*l.MeanLatencyMs
}

// perSecond of a faded count, a second.
func (c *attemptStats) perSecond(n float64) float64 {
	return n / (c.decayMs * (1 - math.Exp(-math.Max(c.updatedMs-c.startMs, 100)/c.decayMs))) * 1000
}

func (c *attemptStats) meanLatencyMs() float64 { return c.latencySumMs / math.Max(c.good, 1e-9) }

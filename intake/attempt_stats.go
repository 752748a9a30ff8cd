package intake

import "math"

// counts of what proxies met lately, faded.
type counts struct {
	over            float64 // ms it fades over
	good, bad, time float64
	at, from        float64 // from: since when it counts; 0: it has not begun
}

// fade brings counts up to a time.
func (c *counts) fade(now float64) {
	part := math.Exp((c.at - now) / c.over)
	c.good, c.bad, c.time, c.at = c.good*part, c.bad*part, c.time*part, now
}

func (c *counts) add(now float64, l *Report) {
	if c.from == 0 {
		c.from = now - l.WindowMs
	}
	c.fade(now)
	good := float64(l.Attempts - l.Failed)
	c.good, c.bad, c.time = c.good+good, c.bad+float64(l.Failed), c.time+good*l.MeanLatencyMs
}

// rate of a faded count, a second.
func (c *counts) rate(n float64) float64 {
	return n / (c.over * (1 - math.Exp(-math.Max(c.at-c.from, 100)/c.over))) * 1000
}

func (c *counts) mean() float64 { return c.time / math.Max(c.good, 1e-9) }

package client

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"
)

// Levels keep out what is over the share; sums count all that came and what the hosts answered.
func TestLevelsAndSums(t *testing.T) {
	now := time.Unix(0, 0)
	c := made(t, Options{Now: func() time.Time { return now }}, doc)
	refused := 0
	for i := range 1000 {
		err := c.Do(context.Background(), "finish", func(context.Context, string) Try {
			now = now.Add(time.Millisecond)
			if i%10 == 0 {
				return Try{Result: Failed}
			}
			return Try{Metrics: "TEXT cpu_utilization=0.5, named_metrics.queue=3, odd=x"}
		})
		if errors.Is(err, ErrNotLetIn) {
			refused++
		}
	}
	if refused < 430 || refused > 570 {
		t.Errorf("%d of 1000 were kept out at a share of 0.5", refused)
	}
	hosts, usage := c.stats.take(now, func(string) bool { return true })
	h := hosts["a:1"]
	if h.Tries != 1000-refused || h.Failed != usage["finish"].Unanswered || usage["finish"].Came != 1000 || math.Abs(h.Mean-1) > 0.001 || *h.Load.Queue != 3 || h.Load.Rate != nil {
		text, _ := json.Marshal(hosts)
		t.Errorf("%s, %+v", text, usage["finish"])
	}
	if hosts, usage = c.stats.take(now, func(string) bool { return true }); len(hosts)+len(usage) != 0 {
		t.Errorf("counted again: %v %v", hosts, usage)
	}
}

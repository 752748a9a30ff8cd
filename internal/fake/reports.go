package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"barleysail/routing"
)

// telling is how a host reports its load: what it tells may be false, stand still, stop or flood.
type telling struct {
	part  float64 // of its true load that it tells; 0: all
	mute  bool
	times float64 // as often as usual; 0: once
	ahead time.Duration
	rate  rate
}

// rate counts transactions for the figure that a host tells.
type rate struct {
	at   float64
	n    int
	last float64
}

// Lie lets the host tell a part of its load only; 1 is the truth.
func (h *Host) Lie(part float64) { h.mu.Lock(); h.tells.part = part; h.mu.Unlock() }

// Mute stops the host's own reports, and what it tells in its answers.
func (h *Host) Mute(on bool) { h.mu.Lock(); h.tells.mute = on; h.mu.Unlock() }

// Flood lets the host report so many times as often as usual.
func (h *Host) Flood(times float64) { h.mu.Lock(); h.tells.times = times; h.mu.Unlock() }

// Ahead sets the host's clock.
func (h *Host) Ahead(d time.Duration) { h.mu.Lock(); h.tells.ahead = d; h.mu.Unlock() }

// told is the load as the host tells it. The lock is held.
func (h *Host) told() routing.HostLoad {
	t := &h.tells
	if t.mute {
		return routing.UnknownLoad
	}
	load := routing.HostLoad{Utilization: float64(h.busy) / float64(h.set.Cores), RequestRate: -1, QueueLength: float64(len(h.line))}
	if now := Now(); h.set.Rate {
		if now >= t.rate.at+1000 {
			t.rate.last, t.rate.n, t.rate.at = float64(t.rate.n)/(now-t.rate.at)*1000, 0, now
		}
		load.RequestRate = t.rate.last
	}
	if t.part > 0 {
		load.Utilization, load.QueueLength = load.Utilization*t.part, load.QueueLength*t.part
		if load.RequestRate > 0 {
			load.RequestRate *= t.part
		}
	}
	return load
}

// Report sends the host's load to stewards, by their URLs, at a period, until the context ends. While the host is down or mute it sends
// nothing. refused counts what the stewards did not let in.
func (h *Host) Report(ctx context.Context, client *http.Client, stewards []string, period time.Duration, refused *atomic.Int64) {
	for n := 1; ; n++ {
		h.mu.Lock()
		t, load, down := h.tells, h.told(), h.server == nil || h.hangs
		life := h.life
		h.mu.Unlock()
		wait := period
		if t.times > 0 {
			wait = time.Duration(float64(period) / t.times)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if down || load == routing.UnknownLoad {
			continue
		}
		own := map[string]float64{"util": load.Utilization, "queue": load.QueueLength}
		if load.RequestRate >= 0 {
			own["rate"] = load.RequestRate
		}
		body, _ := json.Marshal(map[string]any{"sender": fmt.Sprint("life-", life), "number": n, "load": own,
			"at": float64(time.Now().Add(t.ahead).UnixMicro()) / 1000})
		for _, s := range stewards {
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, s+"/v1/hosts/"+h.Address+"/load", bytes.NewReader(body))
			if err != nil {
				return
			}
			q.Header.Set("Content-Type", "application/json")
			r, err := client.Do(q)
			if err != nil {
				continue
			}
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == http.StatusTooManyRequests {
				refused.Add(1)
			}
		}
	}
}

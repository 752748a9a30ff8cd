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
type loadReporting struct {
	reportedFraction float64 // of its true load that it tells; 0: all
	silent           bool
	rateMultiple     float64 // as often as usual; 0: once
	clockOffset      time.Duration
	requestRate      rateCounter
}

// rate counts transactions for the figure that a host tells.
type rateCounter struct {
	windowStartMs float64
	count         int
	perSecond     float64
}

// Lie lets the host tell a part of its load only; 1 is the truth.
func (h *Host) SetReportedFraction(fraction float64) {
	h.mu.Lock()
	h.reporting.reportedFraction = fraction
	h.mu.Unlock()
}

// Mute stops the host's own reports, and what it tells in its answers.
func (h *Host) SetSilent(on bool) { h.mu.Lock(); h.reporting.silent = on; h.mu.Unlock() }

// Flood lets the host report so many times as often as usual.
func (h *Host) SetReportRateMultiple(multiple float64) {
	h.mu.Lock()
	h.reporting.rateMultiple = multiple
	h.mu.Unlock()
}

// Ahead sets the host's clock.
func (h *Host) SetClockOffset(offset time.Duration) {
	h.mu.Lock()
	h.reporting.clockOffset = offset
	h.mu.Unlock()
}

// told is the load as the host tells it. The lock is held.
func (h *Host) reportedLoad() routing.HostLoad {
	reporting := &h.reporting
	if reporting.silent {
		return routing.UnknownLoad
	}
	load := routing.HostLoad{Utilization: float64(h.busyCores) / float64(h.settings.Cores), RequestRate: -1, QueueLength: float64(len(h.queue))}
	if nowMs := Now(); h.settings.ReportsRequestRate {
		if nowMs >= reporting.requestRate.windowStartMs+1000 {
			reporting.requestRate.perSecond, reporting.requestRate.count, reporting.requestRate.windowStartMs = float64(reporting.requestRate.count)/(nowMs-reporting.requestRate.windowStartMs)*1000, 0, nowMs
		}
		load.RequestRate = reporting.requestRate.perSecond
	}
	if reporting.reportedFraction > 0 {
		load.Utilization, load.QueueLength = load.Utilization*reporting.reportedFraction, load.QueueLength*reporting.reportedFraction
		if load.RequestRate > 0 {
			load.RequestRate *= reporting.reportedFraction
		}
	}
	return load
}

// Report sends the host's load to stewards, by their URLs, at a period, until the context ends. While the host is down or mute it sends
// nothing. refused counts what the stewards did not let in.
func (h *Host) SendLoadReports(ctx context.Context, client *http.Client, controllers []string, period time.Duration, rejected *atomic.Int64) {
	for number := 1; ; number++ {
		h.mu.Lock()
		reporting, load, down := h.reporting, h.reportedLoad(), h.server == nil || h.hanging
		incarnation := h.incarnation
		h.mu.Unlock()
		interval := period
		if reporting.rateMultiple > 0 {
			interval = time.Duration(float64(period) / reporting.rateMultiple)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		if down || load == routing.UnknownLoad {
			continue
		}
		metrics := map[string]float64{"util": load.Utilization, "queue": load.QueueLength}
		if load.RequestRate >= 0 {
			metrics["rate"] = load.RequestRate
		}
		body, _ := json.Marshal(map[string]any{"sender": fmt.Sprint("life-", incarnation), "number": number, "load": metrics,
			"at": float64(time.Now().Add(reporting.clockOffset).UnixMicro()) / 1000})
		for _, controller := range controllers {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, controller+"/v1/hosts/"+h.Address+"/load", bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusTooManyRequests {
				rejected.Add(1)
			}
		}
	}
}

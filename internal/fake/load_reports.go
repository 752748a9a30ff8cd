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

// loadReporting holds the faults of a host's load reports, and the request rate that it reports.
type loadReporting struct {
	reportedFraction float64 // of its true load; 0: all of it
	silent           bool
	rateMultiple     float64       // of the usual rate of reports; 0: the usual rate
	clockOffset      time.Duration // added to the times in its reports
	requestRate      rateCounter
}

// rateCounter measures the request rate over windows of 1 s.
type rateCounter struct {
	windowStartMs float64
	count         int     // requests in the current window
	perSecond     float64 // rate in the last window
}

// SetReportedFraction makes the host report only a fraction of its load; 0 and 1 stand for its true load.
func (h *Host) SetReportedFraction(fraction float64) {
	h.mu.Lock()
	h.reporting.reportedFraction = fraction
	h.mu.Unlock()
}

// SetSilent stops the load reports and those in the headers of responses.
func (h *Host) SetSilent(on bool) { h.mu.Lock(); h.reporting.silent = on; h.mu.Unlock() }

// SetReportRateMultiple multiplies the rate of load reports; 0 is the usual rate.
func (h *Host) SetReportRateMultiple(multiple float64) {
	h.mu.Lock()
	h.reporting.rateMultiple = multiple
	h.mu.Unlock()
}

// SetClockOffset sets the host's clock ahead, or back if the offset is negative.
func (h *Host) SetClockOffset(offset time.Duration) {
	h.mu.Lock()
	h.reporting.clockOffset = offset
	h.mu.Unlock()
}

// reportedLoad returns the load that the host reports. h.mu must be held.
func (h *Host) reportedLoad() routing.HostLoad {
	reporting := &h.reporting
	if reporting.silent {
		return routing.UnknownLoad
	}
	load := routing.HostLoad{
		Utilization: float64(h.busyCores) / float64(h.settings.Cores),
		RequestRate: -1,
		QueueLength: float64(len(h.queue)),
	}
	if nowMs := Now(); h.settings.ReportsRequestRate {
		if nowMs >= reporting.requestRate.windowStartMs+1000 {
			rate := &reporting.requestRate
			rate.perSecond = float64(rate.count) / (nowMs - rate.windowStartMs) * 1000
			rate.count = 0
			rate.windowStartMs = nowMs
		}
		load.RequestRate = reporting.requestRate.perSecond
	}
	if reporting.reportedFraction > 0 {
		load.Utilization *= reporting.reportedFraction
		load.QueueLength *= reporting.reportedFraction
		if load.RequestRate > 0 {
			load.RequestRate *= reporting.reportedFraction
		}
	}
	return load
}

// SendLoadReports sends a load report to each controller once a period until the context ends, except while the host is
// down, hangs or is silent. controllers are the base URLs. rejected counts the reports answered with status 429.
func (h *Host) SendLoadReports(
	ctx context.Context, client *http.Client, controllers []string, period time.Duration, rejected *atomic.Int64,
) {
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
		body, _ := json.Marshal(map[string]any{
			"sender": fmt.Sprint("life-", incarnation),
			"number": number,
			"load":   metrics,
			"at":     float64(time.Now().Add(reporting.clockOffset).UnixMicro()) / 1000,
		})
		for _, controller := range controllers {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost,
				controller+"/v1/hosts/"+h.Address+"/load", bytes.NewReader(body))
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

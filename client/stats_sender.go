package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	statsTimeout      = 5 * time.Second // timeout of one report of request stats
	maxStatsRetries   = 3               // of one report; then it is dropped
	maxRejectionBytes = 4096            // of the response to a rejected report, which is logged
)

// statsReport is the wire format of the request stats. By its sequence number the controller recognizes a report that
// arrives twice, and counts it once.
type statsReport struct {
	Sender   string                  `json:"sender"`
	Sequence int64                   `json:"number"`
	SentAtMs float64                 `json:"at"` // by the proxy's clock
	Hosts    map[string]*hostStats   `json:"hosts"`
	Demand   map[string]*classDemand `json:"usage"`
}

// statsSender sends the request stats of a client, one report at a time.
type statsSender struct {
	client   *Client
	sequence int64  // of the newest report
	pending  []byte // report without a response yet; nil for none
	retries  int    // of the pending report
}

// sendStats sends request stats each period until the context ends.
func (c *Client) sendStats(ctx context.Context) {
	sender := &statsSender{client: c}
	ticker := time.NewTicker(c.options.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sender.send(ctx)
		}
	}
}

// send retries the pending report, or sends a new one. Attempts in the meantime count in the next report.
func (s *statsSender) send(ctx context.Context) {
	target, ok := s.prepare()
	if !ok {
		return
	}
	settled := s.client.post(ctx, target, s.pending)
	if settled || s.retries >= maxStatsRetries {
		s.pending = nil
		return
	}
	s.retries++
}

// prepare makes a report if none is pending, and returns the URL to send it to. While no controller answers it drops
// all stats, since old ones would mislead the next controller.
func (s *statsSender) prepare() (target string, ok bool) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		c.stats.reset(c.options.Now())
		s.pending = nil
		return "", false
	}
	if s.pending == nil {
		if err := s.newReport(); err != nil {
			c.options.Log(fmt.Sprintf("dropped request stats: %v", err))
			return "", false
		}
	}
	return c.proxyURL() + "/sums", true
}

// newReport makes the pending report of the client's request stats. The caller holds the client's lock.
func (s *statsSender) newReport() error {
	c := s.client
	s.sequence++
	s.retries = 0
	hosts, demand := c.stats.take(c.options.Now(), c.isKnownHost)
	report := statsReport{
		Sender:   c.sender,
		Sequence: s.sequence,
		SentAtMs: float64(c.options.Now().UnixMicro()) / microsecondsPerMs,
		Hosts:    hosts,
		Demand:   demand,
	}
	var err error
	s.pending, err = json.Marshal(report)
	return err
}

// isKnownHost reports whether a table holds the host; the controller rejects stats of other hosts. The caller holds
// the lock.
func (c *Client) isKnownHost(address string) bool {
	for _, table := range c.tables.byClass {
		for _, host := range table.Hosts {
			if host.Address == address {
				return true
			}
		}
	}
	return false
}

// post sends a report and returns whether it is settled: accepted, or rejected permanently. It is not settled after a
// network error, a server error, or a 429 of a controller that sheds load.
func (c *Client) post(ctx context.Context, target string, body []byte) (settled bool) {
	timeout, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeout, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return true // the URL is invalid, so a retry would fail too
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return false
	}
	defer closeBody(response)
	// The error is ignored: the text is only logged, and the status decides.
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if response.StatusCode == http.StatusTooManyRequests {
		return false
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
		c.options.Log(fmt.Sprintf("the controller rejected request stats: %s: %s", response.Status, bytes.TrimSpace(text)))
	}
	return response.StatusCode < http.StatusInternalServerError
}

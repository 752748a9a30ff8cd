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

// sendStats sends what was met, each period. A report that got no answer is sent again, under its number, before
// the next one; what was met meanwhile adds up.
func (c *Client) sendStats(ctx context.Context) {
	tick := time.NewTicker(c.options.Period)
	defer tick.Stop()
	number, body, again := int64(0), []byte(nil), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		if !c.joined {
			c.stats.reset(c.options.Now()) // nobody to tell: old figures would mislead the next steward
			body = nil
			c.mu.Unlock()
			continue
		}
		target := c.proxyURL() + "/sums"
		if body == nil {
			number++
			hosts, usage := c.stats.take(c.options.Now(), c.isKnownHost)
			body, _ = json.Marshal(statsReport{c.sender, number, float64(c.options.Now().UnixMicro()) / 1000, hosts, usage})
			again = 0
		}
		c.mu.Unlock()
		if done := c.post(ctx, target, body); done || again >= 3 {
			body = nil
		} else {
			again++
		}
	}
}

// isKnownHost tells whether the steward named a host to us; it refuses sums of others. The caller holds the lock.
func (c *Client) isKnownHost(host string) bool {
	for _, t := range c.tables.tables {
		for _, h := range t.Hosts {
			if h.Address == host {
				return true
			}
		}
	}
	return false
}

// post tells whether the steward answered, be it with a refusal; one that says it is too much now asks for it again.
func (c *Client) post(ctx context.Context, target string, body []byte) bool {
	limit, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(limit, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return true
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.options.HTTP.Do(q)
	if err != nil {
		return false
	}
	answer, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	r.Body.Close()
	if r.StatusCode == http.StatusTooManyRequests {
		return false
	}
	if r.StatusCode >= 400 && r.StatusCode < 500 {
		c.options.Log(fmt.Sprintf("the steward refused sums: %s: %s", r.Status, bytes.TrimSpace(answer)))
	}
	return r.StatusCode < 500
}

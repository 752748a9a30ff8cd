package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Run polls and sends sums until the context ends, and then leaves the steward.
func (c *Client) Run(ctx context.Context) error {
	if len(c.options.Stewards) == 0 {
		return errors.New("running a client: it has no steward")
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); c.pollControllers(ctx) }()
	go func() { defer both.Done(); c.sendStats(ctx) }()
	both.Wait()
	c.leave()
	if c.ownsHTTP {
		c.options.HTTP.CloseIdleConnections()
	}
	return ctx.Err()
}

func (c *Client) proxyURL() string {
	return strings.TrimRight(c.options.Stewards[c.current], "/") + "/v1/proxies/" + url.PathEscape(c.options.Proxy)
}

// leave tells the steward that the proxy ends.
func (c *Client) leave() {
	c.mu.Lock()
	target, joined := c.proxyURL(), c.joined
	c.mu.Unlock()
	if !joined {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return
	}
	if r, err := c.options.HTTP.Do(q); err == nil {
		r.Body.Close()
	}
}

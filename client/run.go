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

// shutdownTimeout bounds the request that notifies the controller of the proxy's shutdown.
const shutdownTimeout = time.Second

// errNoController is returned by Run without controllers in the options.
var errNoController = errors.New("Options.Controllers is empty")

// Run polls the controllers and sends request stats until the context ends, and then notifies the controller of the
// proxy's shutdown. It returns the context's error, or an error if the options name no controller.
func (c *Client) Run(ctx context.Context) error {
	if len(c.options.Controllers) == 0 {
		return errNoController
	}
	var workers sync.WaitGroup
	workers.Add(2)
	go func() {
		defer workers.Done()
		c.pollControllers(ctx)
	}()
	go func() {
		defer workers.Done()
		c.sendStats(ctx)
	}()
	workers.Wait()
	c.notifyShutdown()
	if c.ownsHTTP {
		c.options.HTTP.CloseIdleConnections()
	}
	return ctx.Err()
}

// proxyURL returns the URL of this proxy at the controller that is polled. The caller holds the lock.
func (c *Client) proxyURL() string {
	controllerURL := strings.TrimRight(c.options.Controllers[c.current], "/")
	return controllerURL + "/v1/proxies/" + url.PathEscape(c.options.Proxy)
}

// notifyShutdown notifies the controller of the proxy's shutdown. A failure is ignored: the controller then disconnects
// the proxy later, when it no longer polls.
func (c *Client) notifyShutdown() {
	c.mu.Lock()
	target := c.proxyURL()
	connected := c.connected
	c.mu.Unlock()
	if !connected {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return
	}
	closeBody(response)
}

// closeBody closes a response body. It ignores the error, since the body has been read as far as needed.
func closeBody(response *http.Response) { _ = response.Body.Close() }

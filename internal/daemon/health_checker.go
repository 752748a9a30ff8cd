package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"barleysail/internal/http1"
	"barleysail/internal/orca"
	"barleysail/routing"
)

const (
	// healthCheckBodyBytes is the largest body of a health check's response that is read; its content is ignored.
	healthCheckBodyBytes = 64 << 10

	// healthCheckIdleConnections is the number of connections to hosts that are kept open between health checks.
	healthCheckIdleConnections = 1024
)

// healthChecker checks the health of hosts by HTTP GET, a bounded number of them at once. It owns one goroutine for
// each check, for which close waits.
type healthChecker struct {
	ctx     context.Context // ends the checks in progress
	client  *http1.Client
	path    string
	timeout time.Duration
	slots   chan struct{} // holds one element for each check in progress
	report  func(host string, result routing.HealthCheckResult, load routing.HostLoad)

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// startHealthChecker creates the health checker, which ends with the context, and connects the controller loop to it.
func (d *Daemon) startHealthChecker(ctx context.Context) {
	settings := d.config.Probes
	limits := clientLimits(healthCheckBodyBytes)
	d.healthChecker = &healthChecker{
		ctx:     ctx,
		client:  &http1.Client{Limits: limits, MaxIdleConns: healthCheckIdleConnections},
		path:    settings.Path,
		timeout: milliseconds(*settings.TimeoutMs),
		slots:   make(chan struct{}, *settings.AtOnce),
		report:  d.loop.observeHealthCheck,
	}
	d.httpClients = append(d.httpClients, d.healthChecker.client)
	d.loop.startHealthCheck = d.healthChecker.start
}

// start starts a check of a host and returns at once; the check passes its result to report. After close it does
// nothing.
func (c *healthChecker) start(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.running.Go(func() { c.check(host) })
}

// check waits for a free slot, checks the host and reports the result, unless the context ends before. The timeout
// begins when the check has its slot.
func (c *healthChecker) check(host string) {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	response, err := c.client.Call(ctx, http.MethodGet, host, c.path, nil)
	timedOut := ctx.Err() != nil
	cancel()
	<-c.slots
	if c.ctx.Err() != nil {
		return
	}
	load := routing.UnknownLoad
	if err == nil {
		load = orca.Parse(response.Header.Get(orca.HeaderName))
	}
	c.report(host, classifyResult(response, err, timedOut), load)
}

// close waits until all checks have ended. The caller has to cancel the context before.
func (c *healthChecker) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
}

// classifyResult returns the result of a health check: Healthy for a response with a 2xx status, Rejected for any other
// status, TimedOut after a timeout, and Unreachable if no response came for another reason.
func classifyResult(response *http1.Response, err error, timedOut bool) routing.HealthCheckResult {
	if err == nil {
		if response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices {
			return routing.Healthy
		}
		return routing.Rejected
	}
	var networkError net.Error
	if timedOut || errors.As(err, &networkError) && networkError.Timeout() {
		return routing.TimedOut
	}
	return routing.Unreachable
}

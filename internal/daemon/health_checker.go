package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"barleysail/internal/http1"
	"barleysail/internal/orca"
	"barleysail/routing"
)

// healthChecker examines hosts by GET, a bounded number at once.
type healthChecker struct {
	client  *http1.Client
	path    string
	timeout time.Duration
	slots   chan struct{}
	ctx     context.Context
	report  func(host string, how routing.HealthCheckResult, load routing.HostLoad)
}

// check starts a probe; its time runs from when it has a connection's slot.
func (p *healthChecker) check(host string) {
	go func() {
		select {
		case p.slots <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
		r, err := p.client.Call(ctx, "GET", host, p.path, nil)
		timedOut := ctx.Err() != nil
		cancel()
		<-p.slots
		if p.ctx.Err() != nil {
			return
		}
		load := routing.UnknownLoad
		if err == nil {
			load = orca.Parse(r.Header.Get(orca.Field))
		}
		p.report(host, classifyResult(r, err, timedOut), load)
	}()
}

// classifyResult tells what a probe shows: an answer, a refusal, no answer in time, or nothing at all there.
func classifyResult(r *http1.Response, err error, timedOut bool) routing.HealthCheckResult {
	var timeout net.Error
	switch {
	case err == nil && r.Status >= 200 && r.Status < 300:
		return routing.Healthy
	case err == nil:
		return routing.Rejected
	case timedOut || errors.As(err, &timeout) && timeout.Timeout():
		return routing.TimedOut
	}
	return routing.Unreachable
}

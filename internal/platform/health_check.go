package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"barleysail/internal/http1"
	"barleysail/routing"
)

const maxHealthCheckAttempts = 3 // calls of a health check: a network that resets connections says nothing of the host

// checkHealth asks a host how it is, and notes the outcome. One that was moved, restarted or gone meanwhile is not judged by what its
// former process or address had to say: that counts as a refusal, which proves nothing.
func (n *Node) checkHealth(ctx context.Context, h int, asked hostProcess) {
	began := time.Now()
	how, load, err := healthCheck(ctx, n.healthClient, asked.address, n.config.HealthCheckTimeout)
	if err != nil {
		n.log.Debug().Int("host", h).Int("outcome", int(how)).Dur("took", time.Since(began)).Err(err).Msg("health check")
	}
	n.post(func() {
		if _, gone := n.removedHosts[h]; gone || n.hosts[h] != asked {
			how, load = routing.Rejected, routing.UnknownLoad
		}
		n.balancer.ObserveHealthCheck(h, how, load)
	})
}

// healthCheck asks a host how it is: only a refused connection proves that nothing is there. A reset one may be the network's doing,
// so it is tried again: a process that has just ended refuses then. A host refuses at once; one that does so only after it
// has held the call for long could not serve it, which is silence. The error says why a check was not fine.
func healthCheck(ctx context.Context, c *http1.Client, address string, most time.Duration) (routing.HealthCheckResult, routing.HostLoad, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var r *http1.Response
	var err error
	for range maxHealthCheckAttempts {
		r, err = c.Call(ctx, "GET", address, "/_load", http1.Header("Connection", "close"))
		if err == nil || ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return routing.Unreachable, routing.UnknownLoad, err
	case err != nil:
		return routing.TimedOut, routing.UnknownLoad, err
	case r.Status != 200 && time.Since(began) > most/2:
		return routing.TimedOut, routing.UnknownLoad, fmt.Errorf("held and then answered %d", r.Status)
	case r.Status != 200:
		return routing.Rejected, routing.UnknownLoad, fmt.Errorf("answered %d", r.Status)
	}
	var values map[string]json.RawMessage
	if json.Unmarshal(r.Body, &values) != nil {
		return routing.Healthy, routing.UnknownLoad, nil
	}
	return routing.Healthy, hostLoad(func(name string) (float64, bool) {
		v, err := strconv.ParseFloat(string(values[name]), 64)
		return v, err == nil
	}), nil
}

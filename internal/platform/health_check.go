package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"barleysail/internal/http1"
	"barleysail/routing"
)

const (
	healthCheckPath = "/_load"

	// maxHealthCheckAttempts bounds the calls of one health check: a network that resets connections proves nothing
	// about the host.
	maxHealthCheckAttempts = 3
)

// healthCheckTarget is a host as the endpoint list had it when its health check was scheduled.
type healthCheckTarget struct {
	host    int
	name    string
	process hostProcess
}

// checkHealth checks a host and passes on the outcome to the event loop. Where the host has moved, restarted or was
// removed meanwhile, what its former process or address answered proves nothing: that counts as a rejected check.
func (n *Node) checkHealth(ctx context.Context, target healthCheckTarget) {
	began := time.Now()
	result, load, err := healthCheck(ctx, n.healthClient, target.process.address, n.config.HealthCheckTimeout)
	if err != nil {
		n.log.Debug().
			Str("host", target.name).
			Str("result", healthCheckResultName(result)).
			Int64("took_ms", time.Since(began).Milliseconds()).
			Err(err).
			Msg("health check not healthy")
	}
	n.post(func() {
		if n.hosts.isRemoved(target.host) || n.hosts.processes[target.host] != target.process {
			result, load = routing.Rejected, routing.UnknownLoad
		}
		n.balancer.ObserveHealthCheck(target.host, result, load)
	})
}

// healthCheck calls a host and returns the result with the load report in the answer. Only a refused connection
// proves that nothing is there. A reset one may be the network's doing and is retried: where a process has just
// ended, the retry is refused. A host that answers with an error status rejects the check; one that does so only
// after half of the timeout could not serve it, which counts as a timeout. The error says why a check was not
// healthy.
func healthCheck(ctx context.Context, client *http1.Client, address string, timeout time.Duration) (
	routing.HealthCheckResult, routing.HostLoad, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := callWithRetries(ctx, client, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return routing.Unreachable, routing.UnknownLoad, err
	case err != nil:
		return routing.TimedOut, routing.UnknownLoad, err
	case response.Status == http.StatusOK:
		return routing.Healthy, decodeLoad(response.Body), nil
	case time.Since(began) > timeout/2:
		err = fmt.Errorf("status %d after more than half of the timeout", response.Status)
		return routing.TimedOut, routing.UnknownLoad, err
	default:
		return routing.Rejected, routing.UnknownLoad, fmt.Errorf("status %d", response.Status)
	}
}

// callWithRetries calls a host again where the connection broke.
func callWithRetries(ctx context.Context, client *http1.Client, address string) (*http1.Response, error) {
	header := http1.Header("Connection", "close")
	var response *http1.Response
	var err error
	for range maxHealthCheckAttempts {
		response, err = client.Call(ctx, http.MethodGet, address, healthCheckPath, header)
		if err == nil || ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return response, err
}

// decodeLoad decodes the load report that a host answers with, a JSON object of numbers. What it cannot use counts as
// not reported.
func decodeLoad(body []byte) routing.HostLoad {
	var values map[string]json.RawMessage
	if json.Unmarshal(body, &values) != nil {
		return routing.UnknownLoad
	}
	return newHostLoad(func(name string) (float64, bool) {
		value, err := strconv.ParseFloat(string(values[name]), 64)
		return value, err == nil
	})
}

// healthCheckResultName is the standard term for a result.
func healthCheckResultName(result routing.HealthCheckResult) string {
	switch result {
	case routing.Healthy:
		return "healthy"
	case routing.Rejected:
		return "rejected"
	case routing.TimedOut:
		return "timed out"
	default:
		return "unreachable"
	}
}

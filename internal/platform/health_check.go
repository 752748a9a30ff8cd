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

	// maxHealthCheckAttempts bounds the attempts of one health check. A connection that was reset is retried, since a
	// fault of the network says nothing about the host.
	maxHealthCheckAttempts = 3
)

// healthCheckTarget is a host with the address and process that it had when its health check was scheduled.
type healthCheckTarget struct {
	host    int // index
	name    string
	process hostProcess
}

// checkHealth checks a host and posts the result to the event loop. If the host has meanwhile changed its address,
// restarted or been removed, the response of its former process says nothing about it: the result is then Rejected.
func (n *Node) checkHealth(ctx context.Context, target healthCheckTarget) {
	began := time.Now()
	result, load, err := healthCheck(ctx, n.healthClient, target.process.address, n.config.HealthCheckTimeout)
	if err != nil {
		n.log.Debug().
			Str("host", target.name).
			Str("result", healthCheckResultName(result)).
			Int64("took_ms", time.Since(began).Milliseconds()).
			Err(err).
			Msg("health check failed")
	}
	n.post(func() {
		if n.hosts.isRemoved(target.host) || n.hosts.processes[target.host] != target.process {
			result, load = routing.Rejected, routing.UnknownLoad
		}
		n.balancer.ObserveHealthCheck(target.host, result, load)
	})
}

// healthCheck calls a host and returns the result with the load report of the response.
//
// Only a refused connection is Unreachable: nothing listens there. A reset connection may be a fault of the network and
// is retried; if the process has just ended, the retry is refused. An error status is Rejected, or TimedOut if it took
// more than half of the timeout, since the host was then too slow to serve the check. The error says why the result is
// not Healthy.
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

// callWithRetries calls a host, and retries at once if the connection broke, up to maxHealthCheckAttempts attempts.
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

// decodeLoad decodes the load report in a response, a JSON object of numbers. A value that is malformed or out of range
// counts as not reported.
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

// healthCheckResultName returns the name of a result in log lines.
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

package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"barleysail/internal/http1"
	"barleysail/routing"
)

// checkResult is what a health checker reported.
type checkResult struct {
	host   string
	result routing.HealthCheckResult
	load   routing.HostLoad
}

// startTestChecker returns a health checker that sends its reports to a channel. end cancels its checks and waits for
// them; it may be called more than once.
func startTestChecker(t *testing.T, timeout time.Duration) (checker *healthChecker, reports chan checkResult,
	end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reports = make(chan checkResult, 1)
	checker = &healthChecker{
		ctx:     ctx,
		client:  &http1.Client{Limits: clientLimits(healthCheckBodyBytes)},
		path:    "/health",
		timeout: timeout,
		slots:   make(chan struct{}, 1),
		report: func(host string, result routing.HealthCheckResult, load routing.HostLoad) {
			reports <- checkResult{host, result, load}
		},
	}
	t.Cleanup(checker.client.Close)
	end = func() {
		t.Helper()
		cancel()
		closed := inBackground(func() bool { checker.close(); return true })
		await(t, "the end of the checks", waitLimit, closed)
	}
	t.Cleanup(end)
	return checker, reports, end
}

// unusedAddress returns an address on which no program listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, listener)
	return listener.Addr().String()
}

// Each outcome of a health check is reported as its own result, a healthy one with the host's load.
func TestHealthCheckResults(t *testing.T) {
	status := func(code int) string {
		handler := func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/health" {
				http.NotFound(writer, request)
				return
			}
			writer.Header().Set("endpoint-load-metrics", "TEXT cpu_utilization=0.25")
			writer.WriteHeader(code)
			_, _ = io.WriteString(writer, "any body") // not sent with some of the statuses
		}
		return serveHTTP(t, &http.Server{Handler: http.HandlerFunc(handler)}, "127.0.0.1:0")
	}
	tests := []struct {
		name    string
		host    string
		timeout time.Duration
		want    routing.HealthCheckResult
	}{
		{"200", status(http.StatusOK), waitLimit, routing.Healthy},
		{"204", status(http.StatusNoContent), waitLimit, routing.Healthy},
		{"302", status(http.StatusFound), waitLimit, routing.Rejected},
		{"503", status(http.StatusServiceUnavailable), waitLimit, routing.Rejected},
		{"no response", acceptSilently(t), 20 * time.Millisecond, routing.TimedOut},
		{"nothing listens", unusedAddress(t), waitLimit, routing.Unreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker, reports, _ := startTestChecker(t, test.timeout)
			checker.start(test.host)
			report := await(t, "the report", waitLimit, reports)
			if report.host != test.host || report.result != test.want {
				t.Errorf("report %+v, want host %s and result %v", report, test.host, test.want)
			}
			if test.want == routing.Healthy && report.load.Utilization != 0.25 {
				t.Errorf("reported load %+v, want a utilization of 0.25", report.load)
			}
		})
	}
}

// Closing a health checker ends the check in progress and the one that waits for its slot, without a report; later
// checks do not start.
func TestHealthCheckerClose(t *testing.T) {
	host := acceptSilently(t)
	checker, reports, end := startTestChecker(t, time.Hour)
	checker.start(host)
	eventually(t, "the check in progress", func() bool { return len(checker.slots) == 1 })
	checker.start(host)
	end()
	checker.start(host)
	select {
	case report := <-reports:
		t.Errorf("got report %+v after the end, want none", report)
	default:
	}
	if len(checker.slots) != 0 {
		t.Errorf("got %d checks in progress after the end, want 0", len(checker.slots))
	}
}

package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"barleysail/internal/golden"
	"barleysail/internal/http1"
)

// lateResponseDelay is how long a host waits before a late response to a health check.
const lateResponseDelay = 150 * time.Millisecond

// Responses of a host to a health check.
const (
	healthyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\nConnection: close\r\n\r\n" +
		"{\"util\":0.5,\"qps\":\"odd\"}\n"
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// startHost runs a host that handles each connection as the next letter of its script says, and further ones as the
// last letter says:
//
//	f responds with status 200 and a load report
//	b responds with status 503
//	l responds with status 503 after lateResponseDelay
//	r resets the connection
//	s sends nothing
func startHost(t *testing.T, script string) (address string) {
	t.Helper()
	listener := listen(t)
	served := make(chan struct{})
	go func() {
		defer close(served)
		var silent []net.Conn
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			step := script[min(i, len(script)-1)]
			if step == 's' {
				silent = append(silent, conn)
			} else {
				serveStep(t, conn, step)
			}
		}
		for _, conn := range silent {
			mustClose(t, conn)
		}
	}()
	t.Cleanup(func() {
		mustClose(t, listener)
		receive(t, served)
	})
	return listener.Addr().String()
}

func serveStep(t *testing.T, conn net.Conn, step byte) {
	t.Helper()
	response := ""
	switch step {
	case 'r':
		resetConnection(t, conn)
		return
	case 'f':
		response = healthyResponse
	case 'l':
		time.Sleep(lateResponseDelay)
		response = unavailableResponse
	case 'b':
		response = unavailableResponse
	}
	if _, err := io.WriteString(conn, response); err != nil {
		t.Error(err)
	}
	mustClose(t, conn)
}

// Only a refused connection makes a host count as unreachable; connections that are reset do not.
func TestHealthCheck(t *testing.T) {
	unused := listen(t)
	refusing := unused.Addr().String()
	mustClose(t, unused)
	var trace strings.Builder
	for _, script := range []string{"f", "b", "rf", "rrf", "r", "s", "rs", "l", ""} {
		address := refusing
		if script != "" {
			address = startHost(t, script)
		}
		client := &http1.Client{MaxIdleConns: -1}
		result, load, err := healthCheck(context.Background(), client, address, 2*lateResponseDelay-lateResponseDelay/10)
		fmt.Fprintf(&trace, "%q: result %d, utilization %.2f, request rate %.0f, no error %v\n",
			script, result, load.Utilization, load.RequestRate, err == nil)
	}
	golden.CompareForTest(t, trace.String())
}

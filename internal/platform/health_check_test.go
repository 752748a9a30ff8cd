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

// lateAnswer is how long a host holds a health check that it answers late.
const lateAnswer = 150 * time.Millisecond

// Answers of a host.
const (
	healthyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\nConnection: close\r\n\r\n" +
		"{\"util\":0.5,\"qps\":\"odd\"}\n"
	unavailableAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// startHost runs a host that treats each connection by the next letter of its script, and further ones by the last: r
// resets it, s sends nothing, f answers healthy, b rejects the check, l does so after it has held the check.
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
	answer := ""
	switch step {
	case 'r':
		resetConnection(t, conn)
		return
	case 'f':
		answer = healthyAnswer
	case 'l':
		time.Sleep(lateAnswer)
		answer = unavailableAnswer
	case 'b':
		answer = unavailableAnswer
	}
	if _, err := io.WriteString(conn, answer); err != nil {
		t.Error(err)
	}
	mustClose(t, conn)
}

// Connections that the network resets must not make a host count as unreachable: only a refused connection does.
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
		result, load, err := healthCheck(context.Background(), client, address, 2*lateAnswer-lateAnswer/10)
		fmt.Fprintf(&trace, "%q: outcome %d, util %.2f, qps %.0f, fine %v\n",
			script, result, load.Utilization, load.RequestRate, err == nil)
	}
	golden.Trace(t, trace.String())
}

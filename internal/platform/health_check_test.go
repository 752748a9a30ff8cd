package platform

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"barleysail/internal/golden"
	"barleysail/internal/http1"
)

const late = 150 * time.Millisecond

// host answers each connection by the next of its ways: r resets it, s says nothing, f answers well, b refuses, l does so
// after it has held the probe for long.
func host(t *testing.T, ways string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			switch ways[min(i, len(ways)-1)] {
			case 'r':
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			case 's':
				t.Cleanup(func() { c.Close() })
			case 'f':
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 24\r\nConnection: close\r\n\r\n{\"util\":0.5,\"qps\":\"odd\"}\n"))
				c.Close()
			case 'l':
				time.Sleep(late)
				fallthrough
			case 'b':
				c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
				c.Close()
			}
		}
	}()
	return l.Addr().String()
}

// A network that resets connections now and then must not make a host count as gone: only a refused one proves that.
func TestHealthCheck(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	l.Close()
	var now strings.Builder
	for _, ways := range []string{"f", "b", "rf", "rrf", "r", "s", "rs", "l", ""} {
		address := nobody
		if ways != "" {
			address = host(t, ways)
		}
		how, load, err := healthCheck(context.Background(), &http1.Client{Idle: -1}, address, 2*late-late/10)
		fmt.Fprintf(&now, "%q: outcome %d, util %.2f, qps %.0f, fine %v\n", ways, how, load.Utilization, load.RequestRate, err == nil)
	}
	golden.Trace(t, now.String())
}

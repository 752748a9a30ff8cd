package platform

import (
	"fmt"
	"net"
	"testing"
)

// held takes a call on a connection of its own and leaves it unanswered.
func held(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	_, c := called(t, l)
	return c
}

func open(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func answer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// While a health check is out the host moves to another address, restarts, or goes and comes back: what the old address or
// process answers says nothing of the host as it is now, and the next check goes to where it is.
func TestCheckOfMovedHost(t *testing.T) {
	for name, moved := range map[string]func(n *Node, e entry){
		"moved": func(n *Node, e entry) { n.applyWatchEvent(watchEvent{Instances: []entry{e}}, false) },
		"gone and back": func(n *Node, e entry) {
			n.applyWatchEvent(watchEvent{Reset: true}, false)
			n.applyWatchEvent(watchEvent{Reset: true, Instances: []entry{e}}, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			was, is, lists := open(t), open(t), open(t)
			c := config(t, lists.Addr().String(), 0)
			c.Settings.Limits.MayProbe = true
			c.HealthCheckTimeout = most
			c.KnownEndpoints.Instances[0].HostPort = was.Addr().String()
			e := c.KnownEndpoints.Instances[0]
			e.HostPort = is.Addr().String()
			n := run(t, c)
			old := held(t, was)
			ask(n, func() bool { moved(n, e); return true })
			was.Close() // whoever tries there again is refused
			old.(*net.TCPConn).SetLinger(0)
			old.Close()
			held(t, is)
			if strikes := ask(n, func() int { e, _ := n.balancer.Explain(0); return e.ConsecutiveFailures }); strikes != 0 {
				t.Errorf("%d checks count as failed", strikes)
			}
		})
	}
}

package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// called takes a call on a connection of its own and gives its target with the connection, unanswered.
func called(t *testing.T, l net.Listener) (target string, c net.Conn) {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(most))
	return next(t, c), c
}

// next reads one more call on a kept connection.
func next(t *testing.T, c net.Conn) (target string) {
	t.Helper()
	request := ""
	for !strings.Contains(request, "\r\n\r\n") {
		part := make([]byte, 512)
		n, err := c.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		request += string(part[:n])
	}
	return strings.Fields(request)[1]
}

const (
	wholeCall = "/catalog/members"
	sTwo      = `{"instanceId":"s-2","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready","weight":1.0,"startedAtMs":0}`
)

func members(generation int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(hosts, ","))
}

// knows tells which of s-1 and s-2 the module takes for ready.
func knows(n *Node) string {
	return ask(n, func() string {
		var ready []string
		for _, id := range []string{"s-1", "s-2"} {
			if h, ok := n.balancer.LookupHost(id); ok {
				if _, gone := n.removedHosts[h]; !gone {
					ready = append(ready, id)
				}
			}
		}
		return strings.Join(ready, "+")
	})
}

// The list moves to an address whose agent has yet to catch up: its older list does not bring back what has gone since; the same or
// a newer one is taken.
func TestOlderListAfterMove(t *testing.T) {
	first, second := open(t), open(t)
	n, _ := serve(t, first.Addr().String(), 0)
	target, c := called(t, first)
	if target != wholeCall {
		t.Errorf("asked %s", target)
	}
	answer(c, members(7, true, sTwo)) // s-1 has gone
	if target := next(t, c); target != wholeCall+"?from=7&hold_ms=1500" {
		t.Errorf("asked %s", target)
	}
	n.watcher.setAddress(second.Addr().String())
	target, c = called(t, second)
	if target != wholeCall {
		t.Errorf("asked %s after the move", target)
	}
	answer(c, members(6, true, oneHost, sTwo))
	if target := next(t, c); target != wholeCall {
		t.Errorf("asked %s after an older list", target)
	}
	if got := knows(n); got != "s-2" {
		t.Errorf("after an older list it knows %s", got)
	}
	answer(c, members(7, true, sTwo))
	next(t, c)
	answer(c, members(8, false, oneHost))
	next(t, c)
	if got := knows(n); got != "s-1+s-2" {
		t.Errorf("after a newer list it knows %s", got)
	}
	answer(c, members(3, false)) // a watch that ends with nothing new, at an agent that began anew or lags behind
	if target := next(t, c); target != wholeCall {
		t.Errorf("asked %s of an agent that is behind", target)
	}
}

// An agent that stays behind for longer than a change may be on its way has begun to count anew: it is believed.
func TestListCountsAnew(t *testing.T) {
	first := open(t)
	c := config(t, first.Addr().String(), 0)
	n, err := New(c, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	n.watcher.generation, n.watcher.staleLimit = 40, 0
	start(t, n)
	_, call := called(t, first)
	answer(call, members(1, true, sTwo))
	if target := next(t, call); target != wholeCall+"?from=1&hold_ms=1500" {
		t.Errorf("asked %s", target)
	}
	if got := knows(n); got != "s-2" {
		t.Errorf("it knows %s", got)
	}
}

// Changes where the whole list is due, an answer that does not say what it is, and one that ends in the middle are refused, and
// the whole list is asked for again; the list that is held stands.
func TestNoWholeList(t *testing.T) {
	for name, body := range map[string]string{"changes": members(7, false, sTwo), "nothing": `{}`, "null": `null`,
		"no generation": `{"reset":true,"instances":[]}`, "no reset": `{"generation":7,"instances":[]}`, "below 0": members(-1, true)} {
		t.Run(name, func(t *testing.T) {
			lists := open(t)
			n, _ := serve(t, lists.Addr().String(), 0)
			_, c := called(t, lists)
			answer(c, body)
			if target := next(t, c); target != wholeCall {
				t.Errorf("asked %s", target)
			}
			if got := knows(n); got != "s-1" {
				t.Errorf("it knows %s", got)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n%s", members(8, true)[:20])
			c.Close()
			if target, _ := called(t, lists); target != wholeCall {
				t.Errorf("asked %s after half an answer", target)
			}
		})
	}
}

// The agent ends a kept connection while a call is on its way to it: the call goes again on a new one, at once and as it was.
func TestKeptConnectionEnds(t *testing.T) {
	lists := open(t)
	n, _ := serve(t, lists.Addr().String(), 0)
	_, c := called(t, lists)
	answer(c, members(7, true, sTwo))
	if target := next(t, c); target != wholeCall+"?from=7&hold_ms=1500" {
		t.Errorf("asked %s", target)
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	target, c := called(t, lists)
	if target != wholeCall+"?from=7&hold_ms=1500" {
		t.Errorf("asked %s on a new connection", target)
	}
	answer(c, members(8, false, oneHost))
	next(t, c)
	if got := knows(n); got != "s-1+s-2" {
		t.Errorf("it knows %s", got)
	}
}

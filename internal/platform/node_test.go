package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/http1"
	"barleysail/internal/resp"
)

const most = 10 * time.Second // for what must come; nothing waits so long when all is well

// listing is a list service that tells its hosts once and then lets watches wait; asked gets each call's target.
func listing(t *testing.T, hosts string) (address string, asked chan string) {
	asked = make(chan string, 100)
	m := &http1.Mux{}
	m.Handle("GET", "/catalog/members", http1.Route{Serve: func(q *http1.Request) http1.Reply {
		asked <- q.Target
		if q.Query.Get("from") != "" {
			return http1.Reply{Held: q.Hold(func() {})}
		}
		return http1.Reply{Status: 200, Body: []byte(`{"generation":7,"reset":true,"instances":[` + hosts + `]}`)}
	}})
	s := http1.NewServer(m, http1.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Cut() })
	return l.Addr().String(), asked
}

const oneHost = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready","weight":1.0,"startedAtMs":0}`

// config is a node's, with one known host, no health checks, and a port that is free now.
func config(t *testing.T, discovery string, sockets int) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1f","limits":{"cores":0.5,"memory_mb":64,"sockets":%d},
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":%s}`, discovery, sockets, oneHost, strings.Replace(settings, `"MayProbe":true`, `"MayProbe":false`, 1))
	c, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c.Listen = l.Addr().String()
	return c
}

// run runs a node on loopback until the test ends.
func run(t *testing.T, c *Config) *Node {
	t.Helper()
	n, err := New(c, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	start(t, n)
	return n
}

// start runs a node that was made.
func start(t *testing.T, n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// serve runs a node by config.
func serve(t *testing.T, discovery string, sockets int) (n *Node, address string) {
	t.Helper()
	c := config(t, discovery, sockets)
	return run(t, c), c.Listen
}

// node is one that does not run: its owner is the test.
func node(t *testing.T) *Node {
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":%s}`, settings))
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(c, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

type peer struct {
	t *testing.T
	net.Conn
	r *resp.Reader
}

func dial(t *testing.T, address, first string) *peer {
	t.Helper()
	for began := time.Now(); ; {
		c, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			c.SetDeadline(time.Now().Add(most))
			p := &peer{t, c, resp.NewReader(c)}
			p.say(first)
			return p
		}
		if time.Since(began) > most {
			t.Fatal(err)
		}
	}
}

func (p *peer) say(words string) { p.Write(resp.Append(nil, strings.Fields(words)...)) }

func (p *peer) hear() string {
	p.t.Helper()
	words, err := p.r.Read(nil, resp.Limits{Words: 50, Bytes: 1 << 20})
	if err != nil {
		return err.Error()
	}
	return strings.Join(words, " ")
}

func (p *peer) want(words string) {
	p.t.Helper()
	if got := p.hear(); got != words {
		p.t.Errorf("heard %q, not %q", got, words)
	}
}

// ended tells whether the steward closes the connection.
func (p *peer) ended() bool {
	_, err := io.Copy(io.Discard, bufio.NewReader(p.Conn))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// A proxy joins, gets the table, answers, sends PING; its next stream ends the old one. What is malformed on a
// stream is dropped alone.
func TestStream(t *testing.T) {
	address, _ := listing(t, oneHost)
	_, at := serve(t, address, 0)
	p := dial(t, at, "PING")
	p.want("PONG")
	p.say("SUBSCRIBE proxy 3 zone a weight 21.5 fresh 1")
	table := "CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1"
	p.want(table)
	for _, malformed := range []string{"ACK proxy 3 mark x took_ms 1", "ACK proxy 2 mark 1 took_ms 1", "RATE proxy 3", "NOISE", "RATE proxy 3 class read tries -1 failed 0 span_ms 5"} {
		p.say(malformed)
	}
	p.say("ACK proxy 3 mark 1 took_ms 10.5")
	p.say("PING")
	p.want("PONG")
	again := dial(t, at, "SUBSCRIBE proxy 3 zone a weight 21.5 fresh 0")
	again.want("CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 2")
	if !p.ended() {
		t.Error("the old stream goes on")
	}
	again.Write([]byte("*2\r\n$3\r\nACKS"))
	if !again.ended() {
		t.Error("a stream goes on with what can't be read")
	}
	c := dial(t, at, "SOURCE zone b")
	c.say("LOAD zone b server s-1 tries 3 failed 0 mean_ms 5 span_ms 1000 load util:0.5")
	c.say("PING")
	c.want("PONG")
}

// Who is no proxy and no collector is turned away, and more pending connections than there is room for keep no proxy from joining.
func TestStrangers(t *testing.T) {
	address, _ := listing(t, oneHost)
	n, at := serve(t, address, 10) // room for the least number of pending connections
	var mute []*peer
	for range 3 * n.connections.limit {
		mute = append(mute, dial(t, at, ""))
	}
	p := dial(t, at, "SUBSCRIBE proxy 0 zone b weight 1 fresh 1")
	p.want("CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1")
	for _, first := range []string{"GET / HTTP/1.1", "SUBSCRIBE proxy 4 zone a weight 1 fresh 1", "SUBSCRIBE proxy 1 zone c weight 1 fresh 1",
		"SOURCE zone c", "RATE proxy 0 class read tries 1 failed 0 span_ms 1000", "CONFIG drop s-1", "LOAD", "ACK proxy 0 mark 1 took_ms 1"} {
		if !dial(t, at, first).ended() {
			t.Errorf("%s: stays", first)
		}
	}
	for _, raw := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "*1000000\r\n", "*1\r\n$999999999\r\n", "PING\r\n", "*2\r\n$9\r\nSUBSC"} {
		c := dial(t, at, "")
		c.Write([]byte(raw))
		if !c.ended() {
			t.Errorf("%q: stays", raw)
		}
	}
	asks := dial(t, at, "PING")
	asks.want("PONG")
	for _, m := range append(mute, asks) { // also who only asks for a sign of life, or says nothing
		if !m.ended() {
			t.Error("a connection that has not joined stays")
		}
	}
	p.say("PING")
	p.want("PONG")
}

// A configuration that names another address for the list is followed there at once, from the whole list on.
func TestMovedList(t *testing.T) {
	first, asked := listing(t, oneHost)
	second, then := listing(t, oneHost+","+sTwo)
	n, at := serve(t, first, 0)
	p := dial(t, at, "SUBSCRIBE proxy 0 zone a weight 1 fresh 1")
	p.want("CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1")
	for _, want := range []string{"/catalog/members", "/catalog/members?from=7&hold_ms=1500"} {
		if got := <-asked; got != want {
			t.Errorf("asked %s", got)
		}
	}
	n.watcher.setAddress(first)
	n.watcher.setAddress(second)
	for _, want := range []string{"/catalog/members", "/catalog/members?from=7&hold_ms=1500"} {
		if got := <-then; got != want {
			t.Errorf("asked %s", got)
		}
	}
	heard := make(chan bool)
	n.post(func() {
		_, known := n.balancer.LookupHost("s-2")
		heard <- known
	})
	if !<-heard {
		t.Error("the host of the second list is not known")
	}
}

// A stream that leaves a mark unanswered and says nothing counts as left, and joins again as soon as it speaks.
func TestSilentStream(t *testing.T) {
	n := node(t)
	here, there := net.Pipe()
	defer there.Close()
	s := &session{Conn: here, proxy: 2}
	n.connect(s)
	s.unacknowledged = []versionStamp{{5, 1000}}
	s.lastReadMs.Store(900)
	for _, step := range []struct {
		now    float64
		joined bool
	}{{3900, true}, {4600, false}} {
		n.expireUnresponsive(step.now)
		if (n.sessions[2] == s) != step.joined {
			t.Errorf("at %.0f joined is %v", step.now, !step.joined)
		}
	}
	if err := n.handle(s, "RATE", fields{"proxy": "2", "class": "read", "tries": "1", "failed": "0", "span_ms": "1000"}); err != nil {
		t.Error(err)
	}
	if n.sessions[2] != s || len(n.unresponsive) != 0 {
		t.Error("it spoke again and is not joined")
	}
}

// lockedBuffer takes log lines from several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

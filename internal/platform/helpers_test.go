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
	"barleysail/internal/instance"
	"barleysail/internal/resp"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// testTimeout bounds each wait for an effect that takes a few seconds at most if the node works.
const testTimeout = 10 * time.Second

const testSettings = `{"Discovery":"automatic","FailureDomains":["a","b"],"Index":0,"Instances":1,"Zone":"a",
	"StepUs":5000,"FamilyInfo":{"Admission":"share","BareUs":5000000,"ChannelRate":1000,"MostWaiting":1000,
	"IntervalUs":1000000,"PerMessage":5,"DataPlaneSize":4},"Limits":{"MayProbe":true,"DialTimeoutUs":100000},
	"Rules":{"ColdFrom":0.2,"ColdUs":9000000,"StopSendingWithinUs":2000000,"FallMultiple":3,"FallUs":2000000},
	"Services":[
	{"Name":"read","AimUs":500000,"HardLimitUs":900000,"Value":1,"Effect":"idempotent"},
	{"Name":"sign","AimUs":500000,"HardLimitUs":900000,"Value":1,"Effect":"at_most_once"}]}`

// Entries of the endpoint list.
const (
	hostOne = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready","weight":1.0,"startedAtMs":0}`
	hostTwo = `{"instanceId":"s-2","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready","weight":1.0,"startedAtMs":0}`
)

// noDiscovery is an address where nothing listens.
const noDiscovery = "127.0.0.1:1"

const (
	subscribeProxy0 = "SUBSCRIBE proxy 0 zone a weight 1 fresh 1"
	firstSnapshot   = "CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1"
)

// closeAtEnd closes a closer, which may be closed already, when the test ends.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
}

// mustClose closes a closer, which must be open.
func mustClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// resetConnection closes a TCP connection with a reset.
func resetConnection(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	mustClose(t, conn)
}

// listen listens on a free port of the loopback interface until the test ends.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// receive receives an element from a channel within testTimeout.
func receive[T any](t *testing.T, channel <-chan T) T {
	t.Helper()
	select {
	case element := <-channel:
		return element
	case <-time.After(testTimeout):
		t.Fatalf("received nothing within %v", testTimeout)
		panic("unreachable")
	}
}

// callInEventLoop calls a function in the event loop, after all events that were posted before, and returns its result.
func callInEventLoop[T any](t *testing.T, node *Node, function func() T) T {
	t.Helper()
	result := make(chan T, 1)
	node.post(func() { result <- function() })
	return receive(t, result)
}

// waitUntil checks a condition in the event loop until it holds, for at most testTimeout.
func waitUntil(t *testing.T, node *Node, condition func() bool) {
	t.Helper()
	for began := time.Now(); !callInEventLoop(t, node, condition); {
		if time.Since(began) > testTimeout {
			t.Fatalf("condition not met within %v", testTimeout)
		}
	}
}

// waitForRound waits until the round that the balancer has scheduled is over, so that it has decided on all events that
// were posted before.
func waitForRound(t *testing.T, node *Node) {
	t.Helper()
	scheduledMs := callInEventLoop(t, node, func() float64 { return node.nextRoundMs })
	waitUntil(t, node, func() bool { return node.nextRoundMs != scheduledMs })
}

// startDiscovery runs a discovery service that responds to each call for a snapshot with the hosts, and never responds
// to a long poll. It sends the target of each call to targets.
func startDiscovery(t *testing.T, hosts ...string) (address string, targets chan string) {
	t.Helper()
	targets = make(chan string, 100)
	mux := &http1.Mux{}
	mux.Handle("GET", endpointListPath, http1.Route{Handler: func(request *http1.Request) http1.Reply {
		targets <- request.Target
		if request.Query.Get("from") != "" {
			return http1.Reply{Held: request.Hold(func() {})}
		}
		return http1.Reply{Status: 200, Body: []byte(endpointList(7, true, hosts...))}
	}})
	server := http1.NewServer(mux, http1.Config{})
	listener := listen(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		mustClose(t, listener)
		server.Close()
		if err := receive(t, served); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return listener.Addr().String(), targets
}

// endpointList returns the body of a response of the discovery service.
func endpointList(generation int, snapshot bool, hosts ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, snapshot, strings.Join(hosts, ","))
}

// newTestConfig returns a configuration with one known host and without health checks.
func newTestConfig(t *testing.T, discovery string, sockets int) *Config {
	t.Helper()
	settings := strings.Replace(testSettings, `"MayProbe":true`, `"MayProbe":false`, 1)
	config, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1f",
		"limits":{"cores":0.5,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`,
		discovery, sockets, endpointList(1, true, hostOne), settings))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// newIdleNode makes a node that does not run, whose methods the test calls in place of the event loop.
func newIdleNode(t testing.TB) *Node {
	t.Helper()
	config, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1f",
		"settings":%s}`, noDiscovery, testSettings))
	if err != nil {
		t.Fatal(err)
	}
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// startNode makes a node and runs it until the test ends. It returns the address that it listens on.
func startNode(t *testing.T, config *Config) (node *Node, address string) {
	t.Helper()
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return node, runNode(t, node)
}

// runNode runs a node until the test ends.
func runNode(t *testing.T, node *Node) (address string) {
	t.Helper()
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		node.serveListener(ctx, listener)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		receive(t, ended)
	})
	return listener.Addr().String()
}

// newTestBalancer makes a balancer with one host, and a decoder of messages for it.
func newTestBalancer(t testing.TB) (*instance.Instance, *messageDecoder) {
	t.Helper()
	settings, err := simwire.ReadSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := instance.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	balancer.ObserveSnapshot(true)
	balancer.ObserveEndpoint(balancer.HostIndex("s-1"), 0, routing.Ready, 1, 0)
	return balancer, newMessageDecoder(settings, balancer)
}

// peer is the test's end of a connection to a node, as a proxy or collector has it.
type peer struct {
	net.Conn
	t      *testing.T
	reader *resp.Reader
}

// dial connects to a node and sends a first message with the given words, which are separated by spaces.
func dial(t *testing.T, address, words string) *peer {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	client := &peer{Conn: conn, t: t, reader: resp.NewReader(conn, nil)}
	client.send(words)
	return client
}

// send sends a message with the given words, which are separated by spaces.
func (p *peer) send(words string) { p.sendRaw(string(resp.Append(nil, strings.Fields(words)...))) }

// sendRaw sends bytes as they are.
func (p *peer) sendRaw(text string) {
	_, _ = io.WriteString(p, text) // if the node has closed the connection, the next read of the test reports it
}

// read returns the words of the next message, or the text of the error.
func (p *peer) read() string {
	p.t.Helper()
	words, err := p.reader.Read(nil, resp.Limits{Words: 50, Bytes: 1 << 20})
	if err != nil {
		return err.Error()
	}
	return strings.Join(words, " ")
}

// expect reads a message, which must have the given words.
func (p *peer) expect(words string) {
	p.t.Helper()
	if got := p.read(); got != words {
		p.t.Errorf("read %q, want %q", got, words)
	}
}

// closedByNode reports whether the node closes the connection before the connection's deadline.
func (p *peer) closedByNode() bool {
	_, err := io.Copy(io.Discard, bufio.NewReader(p.Conn))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// lockedBuffer is a bytes.Buffer that several goroutines may use at once.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(text)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

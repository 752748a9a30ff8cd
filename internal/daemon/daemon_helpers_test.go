package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/client"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
)

const (
	// waitLimit bounds each wait for a condition that has to become true.
	waitLimit = 20 * time.Second

	// requestTimeout bounds a request, long polls of at most 30 s among them.
	requestTimeout = 60 * time.Second

	// startAttempts and startRetryDelay bound how long a start waits for the port of a daemon that was killed.
	startAttempts   = 100
	startRetryDelay = 5 * time.Millisecond
)

// baseConfig is the configuration of all test daemons; tests append to it.
const baseConfig = `zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 }
listen: "127.0.0.1:0" seed: 7 identity { plain_loopback: true }
probes { on: false } channel { lines_per_s: 1000000 most_waiting: 1000000 } `

// Endpoint lists that several tests use.
const (
	twoHosts = `hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`
	secondHostDraining = `hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.0.2:80" zone: "b" phase: DRAINING }`
	firstHostDraining = `hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING }
hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`
)

// tablesPath is where the proxy p polls.
const tablesPath = "/v1/proxies/p/tables?zone=a"

func TestMain(m *testing.M) {
	zerolog.SetGlobalLevel(zerolog.InfoLevel)
	os.Exit(m.Run())
}

// testDaemon is a daemon with its endpoint list file, its log and an HTTP client.
type testDaemon struct {
	*Daemon
	t         *testing.T
	config    *configpb.Config
	hostsFile string
	log       *lockedBuffer
	url       string
	client    *http.Client
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startDaemon starts a daemon with baseConfig and the additional configuration more. Its endpoint list is a file with
// twoHosts unless more configures a list. It is killed at the end of the test.
func startDaemon(t *testing.T, more string) *testDaemon {
	t.Helper()
	d := newTestDaemon(t, t.TempDir())
	if !strings.Contains(more, "list {") {
		more += fmt.Sprintf(" list { file: %q }", d.hostsFile)
	}
	d.configure(baseConfig + more)
	d.start()
	return d
}

// newTestDaemon returns a daemon that is neither configured nor started, with the endpoint list file in a folder.
func newTestDaemon(t *testing.T, folder string) *testDaemon {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	d := &testDaemon{
		t:         t,
		hostsFile: filepath.Join(folder, "hosts.textproto"),
		log:       &lockedBuffer{},
		client:    &http.Client{Transport: transport, Timeout: requestTimeout},
	}
	d.writeHosts(twoHosts)
	return d
}

func (d *testDaemon) configure(text string) {
	d.t.Helper()
	var err error
	if d.config, err = config.Parse("test", []byte(text)); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the daemon. After Kill or Stop it starts the daemon again, at the same address.
func (d *testDaemon) start() {
	d.t.Helper()
	var err error
	for range startAttempts {
		d.Daemon, err = Start(d.config, "test", zerolog.New(d.log))
		if err == nil {
			break
		}
		time.Sleep(startRetryDelay)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(d.Kill)
	d.config.Listen = d.Addr()
	d.url = "http://" + d.Addr()
}

// stop shuts the daemon down gracefully.
func (d *testDaemon) stop() {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		d.t.Fatal(err)
	}
}

// writeHosts replaces the endpoint list file atomically.
func (d *testDaemon) writeHosts(text string) {
	d.t.Helper()
	next := d.hostsFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		d.t.Fatal(err)
	}
	if err := os.Rename(next, d.hostsFile); err != nil {
		d.t.Fatal(err)
	}
}

// waitForReads waits until the endpoint list file was loaded count times.
func (d *testDaemon) waitForReads(count int) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("load %d of the endpoint list", count), func() bool {
		return strings.Count(d.log.String(), "endpoint list loaded") == count
	})
}

// waitForPolls waits until count long polls are pending.
func (d *testDaemon) waitForPolls(count int) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("%d pending polls", count), func() bool { return d.loop.status().PendingPolls == count })
}

// httpResult is a response. If there was none, status is 0 and body is the text of the error.
type httpResult struct {
	status int
	header http.Header
	body   string
}

func (r httpResult) tag() string { return r.header.Get("Etag") }

// sendRequest sends a request; header holds names and values of header fields in turn. It may be called from any
// goroutine.
func sendRequest(t testing.TB, client *http.Client, method, url, body string, header ...string) httpResult {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Errorf("making a request: %v", err)
		return httpResult{}
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return httpResult{body: err.Error()}
	}
	defer closeOrFail(t, response.Body)
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Logf("%s %s: reading the body: %v", method, url, err) // the caller checks the part that was read
	}
	return httpResult{response.StatusCode, response.Header, string(text)}
}

func (d *testDaemon) request(method, path, body string, header ...string) httpResult {
	d.t.Helper()
	return sendRequest(d.t, d.client, method, d.url+path, body, header...)
}

func (d *testDaemon) get(path string, header ...string) httpResult {
	d.t.Helper()
	return d.request(http.MethodGet, path, "", header...)
}

// post sends a JSON body.
func (d *testDaemon) post(path, body string, header ...string) httpResult {
	d.t.Helper()
	return d.request(http.MethodPost, path, body, append([]string{"Content-Type", "application/json"}, header...)...)
}

// pollUntilBothHosts polls until the tables have the second host of twoHosts, which is added in a later round.
func pollUntilBothHosts(t *testing.T, poll func(header ...string) httpResult) httpResult {
	t.Helper()
	const maxPolls = 100
	result := poll()
	for range maxPolls {
		if strings.Contains(result.body, "10.0.0.2:80") {
			return result
		}
		result = poll("If-None-Match", result.tag(), "Prefer", "wait=1")
	}
	t.Fatalf("the second host is missing after %d polls: %+v", maxPolls, result)
	return result
}

// pollUntilBothHosts polls as the proxy p until the tables have both hosts.
func (d *testDaemon) pollUntilBothHosts() httpResult {
	d.t.Helper()
	return pollUntilBothHosts(d.t, func(header ...string) httpResult { return d.get(tablesPath, header...) })
}

// eventually waits until a condition is true, and fails the test after waitLimit.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for: %s", waitLimit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// await receives a value from a channel, and fails the test if there is none within limit.
func await[T any](t testing.TB, what string, limit time.Duration, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(limit):
		t.Fatalf("timed out after %v waiting for: %s", limit, what)
	}
	return value
}

// awaitGroup waits for the goroutines of a group, and fails the test if they do not end within limit.
func awaitGroup(t testing.TB, what string, limit time.Duration, group *sync.WaitGroup) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	await(t, what, limit, done)
}

// inBackground calls a function in a goroutine, which ends with the function, and returns the channel of its result.
func inBackground[T any](call func() T) <-chan T {
	result := make(chan T, 1)
	go func() { result <- call() }()
	return result
}

// runClient runs the client library until stop is called or the test ends.
func runClient(t *testing.T, options client.Options) (proxy *client.Client, stop func()) {
	t.Helper()
	proxy, err := client.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := proxy.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Run() = %v, want %v", err, context.Canceled)
		}
	})
	stop = func() {
		t.Helper()
		cancel()
		awaitGroup(t, "the end of the client", waitLimit, &running)
	}
	t.Cleanup(stop)
	return proxy, stop
}

// hostWeight returns a host's weight in the client's table of the request class sheet, or 0 if it is not in the table.
func hostWeight(proxy *client.Client, address string) float64 {
	for _, host := range proxy.Tables()["sheet"].Hosts {
		if host.Address == address {
			return host.Weight
		}
	}
	return 0
}

// serveHTTP serves at an address until the end of the test, and returns the address. It waits until the port is free.
func serveHTTP(t *testing.T, server *http.Server, address string) string {
	t.Helper()
	var listener net.Listener
	eventually(t, "the port to be free", func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	serveUntilCleanup(t, server, listener)
	return listener.Addr().String()
}

// serveUntilCleanup serves on a listener until the end of the test.
func serveUntilCleanup(t *testing.T, server *http.Server, listener net.Listener) {
	t.Helper()
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve() = %v, want %v", err, http.ErrServerClosed)
		}
	})
	t.Cleanup(func() {
		closeOrFail(t, server)
		awaitGroup(t, "the end of the server", waitLimit, &serving)
	})
}

// closeOrFail closes a resource that may be closed already, and fails the test on another error.
func closeOrFail(t testing.TB, resource io.Closer) {
	t.Helper()
	if err := resource.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("closing a %T: %v", resource, err)
	}
}

// writeOrFail writes to a connection, and ends the test on an error.
func writeOrFail(t testing.TB, writer io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(writer, text); err != nil {
		t.Fatal(err)
	}
}

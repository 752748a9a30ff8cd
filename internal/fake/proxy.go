package fake

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"barleysail/client"
	"barleysail/internal/orca"
	"barleysail/internal/rules"
)

// Traffic is the traffic of a request class that arrives at a proxy.
type Traffic struct {
	Class              string
	RequestsPerSecond  float64
	MeanWorkMs         float64 // of a request; its work is uniformly distributed from 0.5 to 1.5 times the mean
	LatencyObjectiveMs float64
	DeadlineMs         float64 // client timeout
	Idempotent         bool    // may be executed twice
}

// ProxySettings are the settings of a fake proxy.
type ProxySettings struct {
	Name, Zone         string
	ProxyCount         int      // proxies in the process, which share the limit of idle connections
	Controllers        []string // base URLs, in order of preference
	FallbackHosts      []string // hosts to use until the first tables arrive
	Traffic            []Traffic
	Seed               uint64 // of the arrival times and the work of requests
	PollTimeout        time.Duration
	ReportInterval     time.Duration
	EjectAfterFailures int
	EventLog           *rules.EventLog // nil: nothing is logged

	// OnResult is called with the outcome of each request, and the time of its arrival and its duration in ms.
	OnResult func(class string, receivedMs, durationMs float64, err error) // nil: not called

	Log             func(string)         // see client.Options
	OnRequestEnd    func(client.Request) // see client.Options
	OnTablesApplied func(tag string)     // see client.Options

	TLS           *tls.Config                     // for connections to controllers; nil: plain HTTP
	VerifySigner  func([]*x509.Certificate) error // verifies the signer of tables; nil: they need no signature
	RuntimeSocket bool                            // tables are set by a runtime socket, and no controller is polled
}

// Proxy is a forwarding proxy: requests arrive at random times, and it sends them to hosts by its routing tables.
type Proxy struct {
	Client     *client.Client
	settings   ProxySettings
	hostClient *http.Client

	mu                sync.Mutex
	disconnectedUntil time.Time     // new connections to controllers fail until then
	statsDelay        time.Duration // of reports of request stats
	controllerConns   map[net.Conn]bool
	socket            *runtimeSocket // nil: it polls controllers
}

// ClientOptions returns the options of the client that the proxy is built on.
func (settings ProxySettings) ClientOptions() client.Options {
	options := client.Options{
		Controllers:        settings.Controllers,
		Proxy:              settings.Name,
		Zone:               settings.Zone,
		FallbackHosts:      settings.FallbackHosts,
		PollTimeout:        settings.PollTimeout,
		ReportInterval:     settings.ReportInterval,
		EjectAfterFailures: settings.EjectAfterFailures,
		VerifySigner:       settings.VerifySigner,
	}
	for _, traffic := range settings.Traffic {
		options.RequestRate += traffic.RequestsPerSecond
		if traffic.Idempotent {
			options.IdempotentClasses = append(options.IdempotentClasses, traffic.Class)
		}
	}
	return options
}

// NewProxy creates a proxy. Its runtime socket, if any, is served at once; Run starts its traffic.
func NewProxy(settings ProxySettings) (*Proxy, error) {
	p := &Proxy{
		settings:        settings,
		controllerConns: map[net.Conn]bool{},
		hostClient: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: settings.maxIdleConns()},
		},
	}
	controllerClient := &http.Client{Transport: &loggingTransport{p, &http.Transport{
		DialContext: p.dialController, TLSClientConfig: settings.TLS, MaxIdleConnsPerHost: 4,
	}}}
	var err error
	options := settings.ClientOptions()
	if settings.RuntimeSocket {
		options.Controllers = nil
		if p.socket, err = newRuntimeSocket(p); err != nil {
			return nil, err
		}
		onRequestEnd := settings.OnRequestEnd
		settings.OnRequestEnd = func(request client.Request) {
			p.socket.countRequest(request)
			if onRequestEnd != nil {
				onRequestEnd(request)
			}
		}
	}
	options.HTTP = controllerClient
	options.Log = settings.Log
	options.OnRequestEnd = settings.OnRequestEnd
	options.OnTablesApplied = settings.OnTablesApplied
	if p.Client, err = client.New(options); err == nil && settings.RuntimeSocket {
		p.socket.start()
	}
	return p, err
}

// Name returns the name by which controllers know the proxy.
func (p *Proxy) Name() string { return p.settings.Name }

// Zone returns the zone of the proxy.
func (p *Proxy) Zone() string { return p.settings.Zone }

// Disconnect closes the connections to controllers, and lets new ones fail for a time.
func (p *Proxy) Disconnect(duration time.Duration) {
	if p.socket != nil {
		p.socket.disconnect(duration)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnectedUntil = time.Now().Add(duration)
	for c := range p.controllerConns {
		c.Close()
	}
	clear(p.controllerConns)
}

// DelayRequestStats delays each report of request stats.
func (p *Proxy) DelayRequestStats(delay time.Duration) {
	p.mu.Lock()
	p.statsDelay = delay
	p.mu.Unlock()
}

// dialController connects to a controller unless the proxy is disconnected.
func (p *Proxy) dialController(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	disconnected := time.Now().Before(p.disconnectedUntil)
	p.mu.Unlock()
	if disconnected {
		return nil, errors.New("disconnected from the controllers by an injected fault")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err == nil {
		p.mu.Lock()
		p.controllerConns[conn] = true
		p.mu.Unlock()
	}
	return conn, err
}

// loggingTransport logs the responses to polls, and delays request stats.
type loggingTransport struct {
	proxy *Proxy
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *loggingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	log := t.proxy.settings.EventLog
	if strings.HasSuffix(request.URL.Path, "/sums") {
		t.proxy.mu.Lock()
		delay := t.proxy.statsDelay
		t.proxy.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-request.Context().Done():
			return nil, request.Context().Err()
		}
		return t.next.RoundTrip(request)
	}
	response, err := t.next.RoundTrip(request)
	if log == nil || !strings.HasSuffix(request.URL.Path, "/tables") {
		return response, err
	}
	controller := request.URL.Host
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		response.Body = io.NopCloser(bytes.NewReader(body))
		if err == nil {
			log.LogPollResponse(Now(), t.proxy.settings.Name, controller, response.StatusCode,
				response.Header.Get("ETag"), response.Header.Get("Delta-Base"), request.Header.Get("If-None-Match"), body)
			return response, nil
		}
	}
	log.LogPollResponse(Now(), t.proxy.settings.Name, controller, 0, "", "", "", nil)
	return nil, err
}

// Run polls the controllers and generates traffic until the context ends. It returns when all requests have ended.
func (p *Proxy) Run(ctx context.Context) {
	var running sync.WaitGroup
	if p.socket == nil {
		running.Add(1)
		go func() { defer running.Done(); p.Client.Run(ctx) }()
	} else {
		defer p.socket.close()
	}
	for i, traffic := range p.settings.Traffic {
		running.Add(1)
		go func() { defer running.Done(); p.generateTraffic(ctx, traffic, uint64(i), &running) }()
	}
	running.Wait()
	p.hostClient.CloseIdleConnections()
}

// generateTraffic sends the requests of a class at exponentially distributed intervals. classIndex selects the class's
// own stream of random numbers.
func (p *Proxy) generateTraffic(ctx context.Context, traffic Traffic, classIndex uint64, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(p.settings.Seed, classIndex))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / traffic.RequestsPerSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		workMs := traffic.MeanWorkMs * (0.5 + random.Float64())
		id := fmt.Sprintf("%s-%s-%d", p.settings.Name, traffic.Class, n)
		running.Add(1)
		go func() { defer running.Done(); p.sendRequest(traffic, id, workMs) }()
	}
}

// sendRequest sends a request and waits for its end, at most until its deadline.
func (p *Proxy) sendRequest(traffic Traffic, id string, workMs float64) {
	receivedMs := Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(traffic.DeadlineMs*float64(time.Millisecond)))
	defer cancel()
	err := p.Client.Do(ctx, traffic.Class, func(ctx context.Context, host string) client.Outcome {
		return p.attempt(ctx, host, traffic, id, workMs)
	})
	if p.settings.OnResult != nil {
		p.settings.OnResult(traffic.Class, receivedMs, Now()-receivedMs, err)
	}
}

// attempt sends one attempt of a request to a host.
func (p *Proxy) attempt(
	ctx context.Context, host string, traffic Traffic, id string, workMs float64,
) client.Outcome {
	// POST, since net/http retries a GET on its own when a connection breaks, and the request could be executed twice.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/t/%s?id=%s&work=%.3f", host, traffic.Class, id, workMs), nil)
	if err != nil {
		return client.Outcome{Result: client.NeverRan, Err: err}
	}
	request.Header.Set("Proxy", p.settings.Name)
	response, err := p.hostClient.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return client.Outcome{Result: client.NeverRan, Err: err}
	} else if err != nil {
		return client.Outcome{Result: client.Failed, Err: err}
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	outcome := client.Outcome{Metrics: response.Header.Get(orca.HeaderName)}
	if response.StatusCode == http.StatusServiceUnavailable {
		outcome.Result, outcome.Err = client.NeverRan, errors.New(response.Status)
	} else if response.StatusCode != http.StatusOK {
		outcome.Result, outcome.Err = client.Failed, errors.New(response.Status)
	}
	return outcome
}

// maxIdleConnsTotal limits the idle connections of all proxies to hosts, since each takes two file descriptors of the
// process.
const maxIdleConnsTotal = 6000

// maxIdleConns returns the share of maxIdleConnsTotal of one proxy.
func (settings ProxySettings) maxIdleConns() int {
	return min(4096, maxIdleConnsTotal/max(settings.ProxyCount, 1))
}

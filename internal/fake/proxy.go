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

// Traffic of a class that comes to a forwarder.
type Traffic struct {
	Class                          string
	RequestsPerSecond              float64 // a second
	MeanWorkMs                     float64 // mean, ms
	LatencyObjectiveMs, DeadlineMs float64 // ms
	Idempotent                     bool    // may run twice
}

// ForwarderSettings say what a forwarder is.
type ProxySettings struct {
	Name, Zone         string
	ProxyCount         int // forwarders of the day
	Controllers        []string
	FallbackHosts      []string
	Traffic            []Traffic
	Seed               uint64
	PollTimeout        time.Duration
	ReportInterval     time.Duration
	EjectAfterFailures int
	EventLog           *rules.EventLog
	OnResult           func(class string, came, took float64, err error) // of each transaction
	Log                func(string)
	OnRequestEnd       func(client.Request) // told to the client, for a recording; nil: none
	OnTablesApplied    func(tag string)
	TLS                *tls.Config                     // to stewards; nil: plain
	VerifySigner       func([]*x509.Certificate) error // judges who signed tables; nil: they need no signature
	RuntimeSocket      bool                            // tables come by a runtime socket, and it polls nobody
}

// Forwarder is a proxy: transactions come to it at random times, and it sends them where its tables say.
type Proxy struct {
	Client     *client.Client
	settings   ProxySettings
	hostClient *http.Client

	mu                sync.Mutex
	disconnectedUntil time.Time // no way to a steward until then
	statsDelay        time.Duration
	controllerConns   map[net.Conn]bool
	socket            *runtimeSocket // nil: it polls
}

// Options are those of the client that a forwarder is built on.
func (settings ProxySettings) ClientOptions() client.Options {
	options := client.Options{Controllers: settings.Controllers, Proxy: settings.Name, Zone: settings.Zone, FallbackHosts: settings.FallbackHosts, PollTimeout: settings.PollTimeout,
		ReportInterval: settings.ReportInterval, EjectAfterFailures: settings.EjectAfterFailures, VerifySigner: settings.VerifySigner}
	for _, traffic := range settings.Traffic {
		options.RequestRate += traffic.RequestsPerSecond
		if traffic.Idempotent {
			options.IdempotentClasses = append(options.IdempotentClasses, traffic.Class)
		}
	}
	return options
}

// NewForwarder makes one; Run starts it.
func NewProxy(settings ProxySettings) (*Proxy, error) {
	p := &Proxy{settings: settings, controllerConns: map[net.Conn]bool{},
		hostClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: settings.maxIdleConns()}}}
	controllerClient := &http.Client{Transport: &loggingTransport{p, &http.Transport{DialContext: p.dialController, TLSClientConfig: settings.TLS, MaxIdleConnsPerHost: 4}}}
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
	options.HTTP, options.Log, options.OnRequestEnd, options.OnTablesApplied = controllerClient, settings.Log, settings.OnRequestEnd, settings.OnTablesApplied
	if p.Client, err = client.New(options); err == nil && settings.RuntimeSocket {
		p.socket.start()
	}
	return p, err
}

// Name is what its steward knows it by.
func (p *Proxy) Name() string { return p.settings.Name }

// Zone is where it stands.
func (p *Proxy) Zone() string { return p.settings.Zone }

// Cut breaks the streams to stewards, and keeps them broken for a time.
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

// LateSums holds sums back for so long.
func (p *Proxy) DelayRequestStats(delay time.Duration) {
	p.mu.Lock()
	p.statsDelay = delay
	p.mu.Unlock()
}

func (p *Proxy) dialController(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	disconnected := time.Now().Before(p.disconnectedUntil)
	p.mu.Unlock()
	if disconnected {
		return nil, errors.New("the way to the steward is broken")
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

// tap notes in the journal what passes between a forwarder and its steward.
type loggingTransport struct {
	proxy *Proxy
	next  http.RoundTripper
}

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
			log.LogPollResponse(Now(), t.proxy.settings.Name, controller, response.StatusCode, response.Header.Get("ETag"), response.Header.Get("Delta-Base"),
				request.Header.Get("If-None-Match"), body)
			return response, nil
		}
	}
	log.LogPollResponse(Now(), t.proxy.settings.Name, controller, 0, "", "", "", nil)
	return nil, err
}

// Run polls the stewards and sends traffic until the context ends; what came is carried to its end.
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

func (p *Proxy) generateTraffic(ctx context.Context, traffic Traffic, class uint64, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(p.settings.Seed, class))
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

// send carries a transaction to its end; its client waits for so long as it has patience.
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

func (p *Proxy) attempt(ctx context.Context, host string, traffic Traffic, id string, workMs float64) client.Outcome {
	// POST, since net/http repeats a GET by itself when a connection breaks: the effect might come twice.
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
	outcome := client.Outcome{Metrics: response.Header.Get(orca.Field)}
	if response.StatusCode == http.StatusServiceUnavailable {
		outcome.Result, outcome.Err = client.NeverRan, errors.New(response.Status)
	} else if response.StatusCode != http.StatusOK {
		outcome.Result, outcome.Err = client.Failed, errors.New(response.Status)
	}
	return outcome
}

// mostConns are the idle connections that all forwarders of a day may keep to hosts: each takes two descriptors.
const maxIdleConnsTotal = 6000

// conns is how many of them one forwarder may keep.
func (settings ProxySettings) maxIdleConns() int {
	return min(4096, maxIdleConnsTotal/max(settings.ProxyCount, 1))
}

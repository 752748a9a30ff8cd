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
	Class         string
	Rate          float64 // a second
	Work          float64 // mean, ms
	Due, Patience float64 // ms
	Repeats       bool    // may run twice
}

// ForwarderSettings say what a forwarder is.
type ForwarderSettings struct {
	Name, Zone string
	Of         int // forwarders of the day
	Stewards   []string
	Standing   []string
	Traffic    []Traffic
	Seed       uint64
	Wait       time.Duration
	Period     time.Duration
	Ejects     int
	Journal    *rules.EventLog
	Ended      func(class string, came, took float64, err error) // of each transaction
	Log        func(string)
	Transacted func(client.Request) // told to the client, for a recording; nil: none
	Applied    func(tag string)
	TLS        *tls.Config                     // to stewards; nil: plain
	Signed     func([]*x509.Certificate) error // judges who signed tables; nil: they need no signature
	Socket     bool                            // tables come by a runtime socket, and it polls nobody
}

// Forwarder is a proxy: transactions come to it at random times, and it sends them where its tables say.
type Forwarder struct {
	Client *client.Client
	set    ForwarderSettings
	hosts  *http.Client

	mu      sync.Mutex
	cut     time.Time // no way to a steward until then
	late    time.Duration
	streams map[net.Conn]bool
	socket  *socket // nil: it polls
}

// Options are those of the client that a forwarder is built on.
func (set ForwarderSettings) Options() client.Options {
	o := client.Options{Controllers: set.Stewards, Proxy: set.Name, Zone: set.Zone, FallbackHosts: set.Standing, PollTimeout: set.Wait,
		ReportInterval: set.Period, EjectAfterFailures: set.Ejects, VerifySigner: set.Signed}
	for _, t := range set.Traffic {
		o.RequestRate += t.Rate
		if t.Repeats {
			o.IdempotentClasses = append(o.IdempotentClasses, t.Class)
		}
	}
	return o
}

// NewForwarder makes one; Run starts it.
func NewForwarder(set ForwarderSettings) (*Forwarder, error) {
	f := &Forwarder{set: set, streams: map[net.Conn]bool{},
		hosts: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: set.conns()}}}
	steward := &http.Client{Transport: &tap{f, &http.Transport{DialContext: f.dial, TLSClientConfig: set.TLS, MaxIdleConnsPerHost: 4}}}
	var err error
	o := set.Options()
	if set.Socket {
		o.Controllers = nil
		if f.socket, err = newSocket(f); err != nil {
			return nil, err
		}
		told := set.Transacted
		set.Transacted = func(t client.Request) {
			f.socket.count(t)
			if told != nil {
				told(t)
			}
		}
	}
	o.HTTP, o.Log, o.OnRequestEnd, o.OnTablesApplied = steward, set.Log, set.Transacted, set.Applied
	if f.Client, err = client.New(o); err == nil && set.Socket {
		f.socket.begin()
	}
	return f, err
}

// Name is what its steward knows it by.
func (f *Forwarder) Name() string { return f.set.Name }

// Zone is where it stands.
func (f *Forwarder) Zone() string { return f.set.Zone }

// Cut breaks the streams to stewards, and keeps them broken for a time.
func (f *Forwarder) Cut(d time.Duration) {
	if f.socket != nil {
		f.socket.cut(d)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = time.Now().Add(d)
	for c := range f.streams {
		c.Close()
	}
	clear(f.streams)
}

// LateSums holds sums back for so long.
func (f *Forwarder) LateSums(d time.Duration) { f.mu.Lock(); f.late = d; f.mu.Unlock() }

func (f *Forwarder) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	cut := time.Now().Before(f.cut)
	f.mu.Unlock()
	if cut {
		return nil, errors.New("the way to the steward is broken")
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil {
		f.mu.Lock()
		f.streams[c] = true
		f.mu.Unlock()
	}
	return c, err
}

// tap notes in the journal what passes between a forwarder and its steward.
type tap struct {
	f    *Forwarder
	next http.RoundTripper
}

func (t *tap) RoundTrip(q *http.Request) (*http.Response, error) {
	j := t.f.set.Journal
	if strings.HasSuffix(q.URL.Path, "/sums") {
		t.f.mu.Lock()
		late := t.f.late
		t.f.mu.Unlock()
		select {
		case <-time.After(late):
		case <-q.Context().Done():
			return nil, q.Context().Err()
		}
		return t.next.RoundTrip(q)
	}
	r, err := t.next.RoundTrip(q)
	if j == nil || !strings.HasSuffix(q.URL.Path, "/tables") {
		return r, err
	}
	steward := q.URL.Host
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		r.Body.Close()
		r.Body = io.NopCloser(bytes.NewReader(body))
		if err == nil {
			j.LogPollResponse(Now(), t.f.set.Name, steward, r.StatusCode, r.Header.Get("ETag"), r.Header.Get("Delta-Base"),
				q.Header.Get("If-None-Match"), body)
			return r, nil
		}
	}
	j.LogPollResponse(Now(), t.f.set.Name, steward, 0, "", "", "", nil)
	return nil, err
}

// Run polls the stewards and sends traffic until the context ends; what came is carried to its end.
func (f *Forwarder) Run(ctx context.Context) {
	var all sync.WaitGroup
	if f.socket == nil {
		all.Add(1)
		go func() { defer all.Done(); f.Client.Run(ctx) }()
	} else {
		defer f.socket.close()
	}
	for i, t := range f.set.Traffic {
		all.Add(1)
		go func() { defer all.Done(); f.traffic(ctx, t, uint64(i), &all) }()
	}
	all.Wait()
	f.hosts.CloseIdleConnections()
}

func (f *Forwarder) traffic(ctx context.Context, t Traffic, stream uint64, all *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(f.set.Seed, stream))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		work := t.Work * (0.5 + random.Float64())
		id := fmt.Sprintf("%s-%s-%d", f.set.Name, t.Class, n)
		all.Add(1)
		go func() { defer all.Done(); f.send(t, id, work) }()
	}
}

// send carries a transaction to its end; its client waits for so long as it has patience.
func (f *Forwarder) send(t Traffic, id string, work float64) {
	came := Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(t.Patience*float64(time.Millisecond)))
	defer cancel()
	err := f.Client.Do(ctx, t.Class, func(ctx context.Context, host string) client.Outcome {
		return f.try(ctx, host, t, id, work)
	})
	if f.set.Ended != nil {
		f.set.Ended(t.Class, came, Now()-came, err)
	}
}

func (f *Forwarder) try(ctx context.Context, host string, t Traffic, id string, work float64) client.Outcome {
	// POST, since net/http repeats a GET by itself when a connection breaks: the effect might come twice.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/t/%s?id=%s&work=%.3f", host, t.Class, id, work), nil)
	if err != nil {
		return client.Outcome{Result: client.NeverRan, Err: err}
	}
	q.Header.Set("Proxy", f.set.Name)
	r, err := f.hosts.Do(q)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return client.Outcome{Result: client.NeverRan, Err: err}
	} else if err != nil {
		return client.Outcome{Result: client.Failed, Err: err}
	}
	io.Copy(io.Discard, r.Body)
	r.Body.Close()
	a := client.Outcome{Metrics: r.Header.Get(orca.HeaderName)}
	if r.StatusCode == http.StatusServiceUnavailable {
		a.Result, a.Err = client.NeverRan, errors.New(r.Status)
	} else if r.StatusCode != http.StatusOK {
		a.Result, a.Err = client.Failed, errors.New(r.Status)
	}
	return a
}

// mostConns are the idle connections that all forwarders of a day may keep to hosts: each takes two descriptors.
const mostConns = 6000

// conns is how many of them one forwarder may keep.
func (set ForwarderSettings) conns() int { return min(4096, mostConns/max(set.Of, 1)) }

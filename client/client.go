// Package client is the proxy's side of the control plane. A [Client] updates the proxy's routing tables by long
// polls with deltas, picks hosts by weight, retries by the tables' retry policy, and sends request stats to the
// controller. It sends no request to a host itself: the proxy passes [Client.Do] a function that makes one attempt.
//
// That function must make exactly one attempt. Go's net/http retries a GET by itself when a reused connection breaks,
// so a request that is not idempotent must not be sent as a GET.
//
// While no controller answers, the proxy continues with its last tables, and before it has any, with the fallback
// hosts of [Options.FallbackHosts].
package client

import (
	"crypto/rand"
	"crypto/x509"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Options configure a Client. Proxy and Zone are required.
type Options struct {
	// Controllers are the base URLs of the controllers. The first one is polled, and the next ones if it does not
	// answer. Without any, tables come from Client.Load only.
	Controllers   []string
	Proxy         string   // name of this proxy, the same after each restart
	Zone          string   // zone of this proxy
	RequestRate   float64  // requests per second that the proxy usually receives; 0: unknown
	FallbackHosts []string // hosts to use until the first tables arrive

	// OfferTables sends the tables that this proxy has to a controller that takes over, so that it can continue with
	// deltas.
	OfferTables bool
	// VerifySigner verifies the certificate chain of the signer of tables. If it is not nil, only signed tables whose
	// signer it accepts are applied, and none that are older than the last ones.
	VerifySigner func(chain []*x509.Certificate) error

	HTTP           *http.Client  // nil: one of the client's own
	PollTimeout    time.Duration // time for which a controller may hold a long poll; 0: 30 s
	ReportInterval time.Duration // interval between reports of request stats; 0: 1 s
	MinBackoff     time.Duration // first backoff after a failed poll, doubled up to MaxBackoff; 0: 100 ms
	MaxBackoff     time.Duration // longest backoff; 0: 4 s

	EjectAfterFailures int           // failures in a row after which this proxy ejects a host; 0: never
	EjectionTime       time.Duration // time for which an ejected host is not picked; 0: DefaultEjectionTime
	IdempotentClasses  []string      // idempotent request classes; others are retried only after NeverRan

	OnRequestEnd    func(Request)    // called at the end of each request; nil: not called
	OnTablesApplied func(tag string) // called with the tag of each version of the tables that is applied; nil: not called

	// Log is called with a line when a controller is joined or lost, and when request stats are rejected or dropped;
	// nil: not called.
	Log func(text string)
	Now func() time.Time // nil: time.Now
}

// DefaultEjectionTime is the time for which an ejected host is not picked where Options.EjectionTime is 0.
const DefaultEjectionTime = 5 * time.Second

// Defaults of Options.
const (
	defaultPollTimeout    = 30 * time.Second
	defaultReportInterval = time.Second
	defaultMinBackoff     = 100 * time.Millisecond
	defaultMaxBackoff     = 4 * time.Second
	maxIdleConnections    = 2 // of the client's own HTTP client: one for polls, one for request stats
)

const (
	senderNameBytes = 6 // random bytes of the sender's name in request stats
	seedBytes       = 8 // random bytes of the seed of random draws
)

// Client holds a proxy's routing tables and updates them. Use [New] to create one and [Client.Run] to start it. It is
// safe for concurrent use.
type Client struct {
	options       Options
	ownsHTTP      bool   // options.HTTP was made by New
	sender        string // random name of this incarnation in request stats
	seed          uint64
	fallbackHosts []Host
	idempotent    map[string]bool // by request class

	mu        sync.Mutex // guards the fields below
	tables    appliedTables
	newestTag string // tag of the tables that were last received
	current   int    // index of the controller that is polled
	connected bool   // the current controller answered the last poll
	draws     uint64 // number of random draws so far
	ejections map[string]*ejection
	stats     requestStats
}

// New validates the options and returns a client that is idle until Run.
func New(o Options) (*Client, error) {
	if err := checkOptions(&o); err != nil {
		return nil, err
	}
	ownsHTTP := o.HTTP == nil
	setDefaults(&o)
	var random [senderNameBytes + seedBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("drawing a name for request stats: %w", err)
	}
	client := &Client{
		options:    o,
		ownsHTTP:   ownsHTTP,
		sender:     hex.EncodeToString(random[:senderNameBytes]),
		seed:       binary.LittleEndian.Uint64(random[senderNameBytes:]),
		idempotent: map[string]bool{},
		ejections:  map[string]*ejection{},
	}
	for _, address := range o.FallbackHosts {
		client.fallbackHosts = append(client.fallbackHosts, Host{Address: address, Weight: 1})
	}
	for _, class := range o.IdempotentClasses {
		client.idempotent[class] = true
	}
	client.stats.reset(o.Now())
	return client, nil
}

func checkOptions(o *Options) error {
	if o.Proxy == "" || o.Zone == "" {
		return errors.New("a client needs the proxy's name and its zone")
	}
	for _, controllerURL := range o.Controllers {
		parsed, err := url.Parse(controllerURL)
		isHTTP := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https")
		if !isHTTP || parsed.Host == "" {
			return fmt.Errorf("%q is not the URL of a controller", controllerURL)
		}
	}
	return nil
}

// setDefaults replaces zero values by the defaults.
func setDefaults(o *Options) {
	setDefault(&o.PollTimeout, defaultPollTimeout)
	setDefault(&o.ReportInterval, defaultReportInterval)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	setDefault(&o.EjectionTime, DefaultEjectionTime)
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = func(string) {}
	}
}

func setDefault(option *time.Duration, value time.Duration) {
	if *option == 0 {
		*option = value
	}
}

// table returns the routing table of a request class. The caller holds the lock.
func (c *Client) table(class string) Table {
	table, ok := c.tables.byClass[class]
	if !ok {
		table = Table{AdmissionRatio: 1, RetryPolicy: retryNeverRan}
	}
	if !table.HasHosts {
		table.Hosts = c.fallbackHosts
	}
	return table
}

// Tables returns a copy of the applied tables, by request class.
func (c *Client) Tables() map[string]Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]Table{}
	for class, table := range c.tables.byClass {
		all[class] = table
	}
	return all
}

// Load applies a snapshot of the tables that the proxy received by other means than polls.
func (c *Client) Load(tag string, doc []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables.setSnapshot("", tag, doc, func([]byte) error { return nil })
}

// Controller returns the base URL of the controller that answered the last poll, "" while none answers.
func (c *Client) Controller() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		return ""
	}
	return strings.TrimRight(c.options.Controllers[c.current], "/")
}

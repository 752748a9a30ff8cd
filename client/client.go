// Package client is the proxy's side of a steward: it keeps the proxy's tables by long polls with deltas,
// picks hosts by weight, tries again as the tables say, and sends the steward sums of what it met. It sends
// no transaction itself; the proxy gives Do a function that makes a try at a host.
//
// The function must make one try and no more. Go's net/http repeats a GET by itself when a kept connection
// breaks, so a transaction that must not run twice is not sent by GET through it.
//
// When no steward answers the proxy goes on by its last tables, and before the first ones by the standing
// hosts it was given.
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

// Options of a Client. Proxy and Zone are needed.
type Options struct {
	Stewards []string // base URLs; the first is tried first, the next ones where it does not answer; none: tables come by Load
	Proxy    string   // name of this proxy, the same at each start
	Zone     string
	Rate     float64  // transactions a second that it usually gets; 0: not told
	Standing []string // hosts to go by until tables come

	Offer  bool                                  // a steward that is new to it is told what it holds, so that it can go on from there with deltas
	Signed func(chain []*x509.Certificate) error // not nil: only tables signed by one whom it accepts are taken, none older than the last

	HTTP   *http.Client  // nil: one of its own
	Wait   time.Duration // polls ask to be held so long: 30 s
	Period time.Duration // between sums: 1 s
	Least  time.Duration // wait before dialling again, doubling with each failure up to Most: 100 ms
	Most   time.Duration // 4 s

	Ejects  int           // after so many failures of its own in a row at a host; 0: never
	Shuns   time.Duration // the host is not picked for so long: 5 s
	Repeats []string      // classes that may run twice; others are tried again only after proof of NeverRan

	Ended   func(Transaction) // told of each transaction as it ends, for a recording; nil: nobody
	Applied func(tag string)  // told of each version of the tables that the proxy goes by from then on

	Log func(text string) // a line for each change: tables lost, steward changed; nil: none
	Now func() time.Time  // nil: time.Now
}

// UsualShuns is how long a proxy shuns a host where its options do not say.
const UsualShuns = 5 * time.Second

// Client keeps a proxy's tables. Its methods may be called from any goroutine.
type Client struct {
	options       Options
	ownsHTTP      bool // the HTTP client is its own
	sender        string
	seed          uint64
	fallbackHosts []Host

	mu         sync.Mutex
	tables     appliedTables
	newestTag  string // tag of what was taken last
	current    int    // index of the one that is polled
	joined     bool
	draws      uint64
	idempotent map[string]bool
	ejections  map[string]*ejection
	stats      requestStats
}

// New checks the options and makes a client. Run starts its work.
func New(o Options) (*Client, error) {
	if o.Proxy == "" || o.Zone == "" {
		return nil, errors.New("a client needs the proxy's name and its zone")
	}
	for _, s := range o.Stewards {
		if u, err := url.Parse(s); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, fmt.Errorf("%q is no URL of a steward", s)
		}
	}
	for d, to := range map[*time.Duration]time.Duration{&o.Wait: 30 * time.Second, &o.Period: time.Second,
		&o.Least: 100 * time.Millisecond, &o.Most: 4 * time.Second, &o.Shuns: UsualShuns} {
		if *d == 0 {
			*d = to
		}
	}
	c := &Client{options: o, idempotent: map[string]bool{}, ejections: map[string]*ejection{}}
	if c.options.HTTP == nil {
		c.ownsHTTP, c.options.HTTP = true, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	if c.options.Now == nil {
		c.options.Now = time.Now
	}
	if c.options.Log == nil {
		c.options.Log = func(string) {}
	}
	for _, host := range o.Standing {
		c.fallbackHosts = append(c.fallbackHosts, Host{host, 1})
	}
	for _, class := range o.Repeats {
		c.idempotent[class] = true
	}
	var random [14]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("drawing a name for the sums: %w", err)
	}
	c.sender, c.seed = hex.EncodeToString(random[:6]), binary.LittleEndian.Uint64(random[6:])
	c.stats.reset(c.options.Now())
	return c, nil
}

// Tables gives what is held now, by class.
func (c *Client) Tables() map[string]Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]Table{}
	for class, t := range c.tables.tables {
		all[class] = t
	}
	return all
}

// Load takes in a whole document of tables, for a proxy that gets them by another way than polls.
func (c *Client) Load(tag string, doc []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables.setSnapshot("", tag, doc, func([]byte) error { return nil })
}

// Steward is the base URL of the steward whose poll was last answered, empty while none answers.
func (c *Client) Steward() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.joined {
		return ""
	}
	return strings.TrimRight(c.options.Stewards[c.current], "/")
}

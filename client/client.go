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
	"context"
	"crypto/rand"
	"crypto/x509"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Result of a try.
type Result int

// A try was fulfilled; it failed and may have run; or it failed with proof that it never ran, such as a
// connection refused or an answer that says so.
const (
	Fulfilled Result = iota
	Failed
	NeverRan
)

// Try is what became of a try. Metrics is the value of the answer's field endpoint-load-metrics, if it had one.
type Try struct {
	Result  Result
	Metrics string
	Err     error
}

// Transaction is what became of one, with its tries in order.
type Transaction struct {
	Class     string
	Came      time.Time
	LetIn     bool
	Tries     []Attempt
	Fulfilled bool
}

// Attempt is a try with its host and times.
type Attempt struct {
	Host   string
	Began  time.Time
	Took   time.Duration
	Result Result
}

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
	o        Options
	own      bool // the HTTP client is its own
	sender   string
	seed     uint64
	standing []Host

	mu      sync.Mutex
	held    held
	newest  string // tag of what was taken last
	steward int    // index of the one that is polled
	joined  bool
	counter uint64
	repeats map[string]bool
	shunned map[string]*shun
	sums    sums
}

type shun struct {
	failures int
	until    time.Time
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
	c := &Client{o: o, repeats: map[string]bool{}, shunned: map[string]*shun{}}
	if c.o.HTTP == nil {
		c.own, c.o.HTTP = true, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	if c.o.Now == nil {
		c.o.Now = time.Now
	}
	if c.o.Log == nil {
		c.o.Log = func(string) {}
	}
	for _, host := range o.Standing {
		c.standing = append(c.standing, Host{host, 1})
	}
	for _, class := range o.Repeats {
		c.repeats[class] = true
	}
	var random [14]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("drawing a name for the sums: %w", err)
	}
	c.sender, c.seed = hex.EncodeToString(random[:6]), binary.LittleEndian.Uint64(random[6:])
	c.sums.begin(c.o.Now())
	return c, nil
}

// chance gives a figure from 0 to 1. The counter is spread over all bits first: the checksum is linear, so every
// other figure of plain counters, as levels draw them, would not be even. The caller holds the lock.
func (c *Client) chance() float64 {
	c.counter++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.seed)
	binary.LittleEndian.PutUint64(b[8:], c.counter*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// table gives what holds for a class.
func (c *Client) table(class string) Table {
	t, ok := c.held.tables[class]
	if !ok {
		t = Table{Share: 1, Tries: 1}
	}
	if !t.Ordered {
		t.Hosts = c.standing
	}
	return t
}

// Tables gives what is held now, by class.
func (c *Client) Tables() map[string]Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]Table{}
	for class, t := range c.held.tables {
		all[class] = t
	}
	return all
}

// Load takes in a whole document of tables, for a proxy that gets them by another way than polls.
func (c *Client) Load(tag string, doc []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.whole("", tag, doc, func([]byte) error { return nil })
}

// Steward is the base URL of the steward whose poll was last answered, empty while none answers.
func (c *Client) Steward() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.joined {
		return ""
	}
	return strings.TrimRight(c.o.Stewards[c.steward], "/")
}

// Pick draws a host for a class by weight, none of those named and none that is shunned, unless only shunned
// ones are left.
func (c *Client) Pick(class string, not ...string) (host string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pick(class, not)
}

func (c *Client) pick(class string, not []string) (string, bool) {
	t, now, x := c.table(class), c.o.Now(), c.chance()
	named := func(address string) bool {
		for _, n := range not {
			if n == address {
				return true
			}
		}
		return false
	}
	host, ok := t.pick(x, func(address string) bool {
		s := c.shunned[address]
		return named(address) || s != nil && now.Before(s.until)
	})
	if !ok {
		host, ok = t.pick(x, named)
	}
	return host, ok
}

// ErrNotLetIn tells that the level of the class kept a transaction out, ErrNoHost that no host is left to try.
var (
	ErrNotLetIn = errors.New("not let in")
	ErrNoHost   = errors.New("no host to pick")
)

// Do carries a transaction out: it is let in or not by the class's level, sent to a host, and tried again at
// another as the table says, while the context lasts. try makes one try and tells what became of it.
func (c *Client) Do(ctx context.Context, class string, try func(ctx context.Context, host string) Try) error {
	c.mu.Lock()
	t := c.table(class)
	letIn := t.Share >= 1 || c.chance() < t.Share
	c.sums.came(class)
	c.mu.Unlock()
	x := Transaction{Class: class, Came: c.o.Now(), LetIn: letIn}
	err := error(ErrNotLetIn)
	if letIn {
		err = c.carry(ctx, class, t.Tries, &x, try)
	}
	x.Fulfilled = err == nil
	if c.o.Ended != nil {
		c.o.Ended(x)
	}
	return err
}

// carry makes the tries of a transaction that was let in.
func (c *Client) carry(ctx context.Context, class string, tries int, x *Transaction,
	try func(ctx context.Context, host string) Try) error {
	var tried []string
	for {
		c.mu.Lock()
		host, ok := c.pick(class, tried)
		c.mu.Unlock()
		if !ok {
			c.lost(class)
			return ErrNoHost
		}
		began := c.o.Now()
		r := try(ctx, host)
		took := c.o.Now().Sub(began)
		x.Tries = append(x.Tries, Attempt{host, began, took, r.Result})
		c.met(host, r, took)
		if r.Result == Fulfilled {
			return nil
		}
		tried = append(tried, host)
		if ctx.Err() != nil || !c.again(class, tries, len(tried), r.Result) {
			c.lost(class)
			if r.Err == nil {
				r.Err = errors.New("no good answer")
			}
			return fmt.Errorf("try %d at %s: %w", len(tried), host, r.Err)
		}
	}
}

// again tells whether a further try may follow so many: as the table says, and for classes that must not run
// twice only after proof that the try before never ran.
func (c *Client) again(class string, tries, made int, last Result) bool {
	most := tries
	if tries > 1 {
		most = tries - 1
	}
	if made > most {
		return false
	}
	return last == NeverRan || tries > 1 && c.repeats[class]
}

// met counts a try.
func (c *Client) met(host string, r Try, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sums.met(host, r, took)
	if c.o.Ejects == 0 {
		return
	}
	s := c.shunned[host]
	if r.Result == Fulfilled {
		delete(c.shunned, host)
		return
	} else if s == nil {
		s = &shun{}
		c.shunned[host] = s
	}
	if s.failures++; s.failures >= c.o.Ejects {
		s.failures, s.until = 0, c.o.Now().Add(c.o.Shuns)
	}
}

func (c *Client) lost(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sums.lost(class)
}

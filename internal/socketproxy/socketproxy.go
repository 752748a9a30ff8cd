// Package socketproxy drives proxies by their runtime sockets: it connects, reads their state, sends what package
// publisher decides, and polls the steward for them, so that a proxy of this front joins, is paced and acknowledges as
// any other does.
package socketproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/publisher"
)

// Controller is what a driver needs of one.
type Controller interface {
	Poll(q controller.PollRequest, to func(controller.Response)) (id int64, err error)
	CancelPoll(proxy string, id int64)
	ObserveProxyStats(proxy string, u controller.ProxyStats) (counted bool, err error)
	HasEndpoint(host string) bool
	NowMs() float64
}

// Config of a driver.
type Config struct {
	Proxy, Zone  string
	Address      string // unix:PATH or address:port
	RequestRate  float64
	Incarnation  string        // of the steward
	DrainGraceMs float64       // ms until a drained server is taken off
	CyclePeriod  time.Duration // between readings of its counters
	Timeout      time.Duration // of an answer
	Log          func(text string)
}

// readEvery cycles the servers' states are read too.
const readEvery = 5

// Driver drives one proxy.
type Driver struct {
	set     Config
	steward Controller
	proxy   *publisher.ProxyUpdater
	counts  *publisher.Counters
	owner   *publisher.SocketOwner
	tag     string // of the version that the proxy has
	last    string // line in the log
}

// New makes a driver; Run starts it.
func New(s Controller, set Config) *Driver {
	if set.Timeout == 0 {
		set.Timeout = 2 * time.Second
	}
	if set.Log == nil {
		set.Log = func(string) {}
	}
	return &Driver{set: set, steward: s, proxy: publisher.NewProxyUpdater(set.DrainGraceMs), counts: publisher.NewCounters(set.Incarnation),
		owner: publisher.NewSocketOwner(set.Incarnation)}
}

// Run drives the proxy until the context ends. After a failure it connects again, after a wait that doubles up to four
// seconds, with some chance in it: many proxies may come back at once.
func (d *Driver) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		began := time.Now()
		err := d.session(ctx)
		d.proxy.ConnectionLost()
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > 10*time.Second {
			failures = 0
		}
		d.say(fmt.Sprintf("proxy %s: its socket is lost: %v", d.set.Proxy, err))
		wait := min(100*time.Millisecond<<min(failures, 6), 4*time.Second)
		select {
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
		}
	}
}

// ParseAddress gives the network and the address of unix:PATH or address:port.
func ParseAddress(address string) (network, at string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}

// say logs a change, once.
func (d *Driver) say(text string) {
	if text != d.last {
		d.last = text
		d.set.Log(text)
	}
}

// session is a connection.
type session struct {
	*Driver
	conn    net.Conn
	in      *bufio.Reader
	answers chan controller.Response
	poll    int64 // held at the steward, 0: none
	polled  time.Time
	newest  string // tag of what is wanted
}

func (d *Driver) session(ctx context.Context) error {
	network, address := ParseAddress(d.set.Address)
	dialer := net.Dialer{Timeout: d.set.Timeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s := &session{Driver: d, conn: conn, in: bufio.NewReaderSize(conn, 64<<10), answers: make(chan controller.Response, 4)}
	defer func() {
		if s.poll != 0 {
			s.steward.CancelPoll(s.set.Proxy, s.poll)
		}
	}()
	if _, err := s.ask("prompt"); err != nil {
		return err
	}
	cycle := time.NewTicker(s.set.CyclePeriod)
	defer cycle.Stop()
	driving := false
	for n := 0; ; n++ {
		mine, err := s.own()
		if err != nil {
			return err
		}
		if mine && !driving {
			s.say(fmt.Sprintf("proxy %s: driven by its socket", s.set.Proxy))
			if err := s.read(); err != nil {
				return err
			}
			s.hear()
		} else if driving && !mine {
			s.say(fmt.Sprintf("proxy %s: another steward drives it", s.set.Proxy))
			if s.poll != 0 {
				s.steward.CancelPoll(s.set.Proxy, s.poll)
				s.poll = 0
			}
		}
		if driving = mine; driving {
			if n%readEvery == readEvery-1 {
				if err := s.read(); err != nil {
					return err
				}
			}
			if err := s.stat(); err != nil {
				return err
			}
			if err := s.drive(); err != nil {
				return err
			}
		}
		if err := s.until(ctx, cycle.C, driving); err != nil {
			return err
		}
	}
}

// until takes answers of the steward in until the next cycle.
func (s *session) until(ctx context.Context, cycle <-chan time.Time, driving bool) error {
	for {
		due := time.NewTimer(time.Hour)
		if wait := s.proxy.NextDeadlineMs() - s.steward.NowMs(); driving && !math.IsInf(wait, 1) {
			due.Reset(time.Duration(math.Max(wait, 1) * float64(time.Millisecond)))
		}
		select {
		case <-cycle:
			due.Stop()
			return nil
		case <-due.C:
		case a := <-s.answers:
			s.take(a)
		case <-ctx.Done():
			due.Stop()
			return ctx.Err()
		}
		due.Stop()
		if driving {
			if err := s.drive(); err != nil {
				return err
			}
		}
	}
}

// mostAnswer bounds an answer of the proxy.
const mostAnswer = 16 << 20

// ask sends a command and reads its answer, up to the prompt.
func (s *session) ask(command string) (string, error) {
	s.conn.SetDeadline(time.Now().Add(s.set.Timeout))
	if _, err := s.conn.Write([]byte(command + "\n")); err != nil {
		return "", fmt.Errorf("sending %.60q: %w", command, err)
	}
	var all strings.Builder
	for {
		part, err := s.in.ReadSlice('>')
		all.Write(part)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", fmt.Errorf("waiting for the answer to %.60q: %w", command, err)
		}
		if all.Len() > mostAnswer {
			return "", fmt.Errorf("the answer to %.60q has no end", command)
		}
		if text := all.String(); text == ">" || strings.HasSuffix(text, "\n>") {
			s.in.Discard(1) // the space of the prompt
			return strings.Trim(strings.TrimSuffix(text, ">"), "\n"), nil
		}
	}
}

// own settles who drives the proxy. One that keeps no variables is driven by whoever is told to.
func (s *session) own() (mine bool, err error) {
	text, err := s.ask("get var proc." + publisher.OwnerVariable)
	if err != nil {
		return false, err
	}
	mark := ""
	if _, rest, ok := strings.Cut(text, "value=<"); ok {
		mark, _, _ = strings.Cut(rest, ">")
	} else if strings.Contains(strings.ToLower(text), "unknown command") {
		return true, nil
	}
	mine, set := s.owner.Observe(mark)
	if set != "" {
		_, err = s.ask("set var proc." + publisher.OwnerVariable + " str(" + set + ")")
	}
	return mine, err
}

// read takes the servers' states in.
func (s *session) read() error {
	text, err := s.ask("show servers state")
	if err != nil {
		return err
	}
	all, err := haproxy.ParseState(text)
	if err != nil {
		return err
	}
	if n := s.proxy.ObserveServers(s.steward.NowMs(), all); n > 0 {
		s.set.Log(fmt.Sprintf("proxy %s: %d servers were changed by someone else", s.set.Proxy, n))
	}
	return nil
}

// stat sends the steward the sums of the counters.
func (s *session) stat() error {
	text, err := s.ask("show stat")
	if err != nil {
		return err
	}
	rows, err := haproxy.ParseCSV(text)
	if err != nil {
		return err
	}
	if u, ok := s.counts.Read(s.steward.NowMs(), rows, s.steward.HasEndpoint); ok {
		s.steward.ObserveProxyStats(s.set.Proxy, u) // one that has not joined yet sends the next
	}
	return nil
}

// hear polls the steward for the proxy, with the tag of what it has.
func (s *session) hear() {
	q := controller.PollRequest{Proxy: s.set.Proxy, Zone: s.set.Zone, RequestRate: s.set.RequestRate, WaitMs: 60000}
	if s.tag != "" {
		q.Tags = []string{s.tag}
	}
	id, err := s.steward.Poll(q, func(a controller.Response) {
		select {
		case s.answers <- a:
		default: // the next poll gets it
		}
	})
	if err != nil {
		s.say(fmt.Sprintf("proxy %s: the steward refuses it: %v", s.set.Proxy, err))
		return
	}
	s.poll, s.polled = id, time.Now()
}

func (s *session) take(a controller.Response) {
	s.poll, s.newest = 0, a.Tag
	if a.Kind != controller.NotModified {
		s.proxy.SetTarget(a.Tables())
	}
}

// drive sends what is due. When the proxy has what it should, that is the acknowledgement; until then the steward hears
// of the proxy and gets none.
func (s *session) drive() error {
	for {
		select {
		case a := <-s.answers:
			s.take(a)
		default:
		}
		command, ok := s.proxy.NextCommand(s.steward.NowMs())
		if !ok {
			break
		}
		answer, err := s.ask(command)
		if err != nil {
			return err
		}
		if err := s.proxy.ObserveResponse(s.steward.NowMs(), answer); err != nil {
			s.set.Log(fmt.Sprintf("proxy %s refuses: %v", s.set.Proxy, err))
		}
		if s.poll == 0 && time.Since(s.polled) > time.Second {
			s.hear()
		}
	}
	if s.newest != "" && s.proxy.Converged(s.steward.NowMs()) {
		s.tag = s.newest
	}
	if s.poll == 0 && (s.tag == s.newest || time.Since(s.polled) > time.Second) {
		s.hear()
	}
	return nil
}

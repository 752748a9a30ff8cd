package http1

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config of a Server. A zero value takes the default that stands beside it.
type Config struct {
	Limits
	HeaderTimeout time.Duration // for the rest of a header once it has begun: 10 s
	BodyTimeout   time.Duration // for a body: 20 s
	IdleTimeout   time.Duration // between requests: 2 min
	WriteTimeout  time.Duration // for a reply: 10 s
	MaxConns      int           // open at once: 20,000
	TLS           *TLSOptions   // nil: connections are plain
	Now           func() time.Time
}

// TLSOptions has connections prove who they are before anything is read.
type TLSOptions struct {
	Config           *tls.Config
	Authenticate     func(tls.ConnectionState) (Peer, error) // judges a connection whose handshake is done
	MaxHandshakes    int                                     // handshakes: 32
	HandshakeTimeout time.Duration                           // for a handshake, waiting for its turn aside: 5 s
}

// Peer is who stands at the other end. Each request is judged, not each connection: Still is asked before a request is
// served and before a held reply is written, and an error ends the connection.
type Peer interface {
	Verify() error
	Expiry() time.Time
}

func (c Config) filled() Config {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&c.HeaderTimeout, 10*time.Second)
	set(&c.BodyTimeout, 20*time.Second)
	set(&c.IdleTimeout, 2*time.Minute)
	set(&c.WriteTimeout, 10*time.Second)
	if c.MaxConns == 0 {
		c.MaxConns = 20000
	}
	if c.Limits.LineBytes == 0 {
		c.Limits.LineBytes = 8 << 10
	}
	if c.Limits.HeaderBytes == 0 {
		c.Limits.HeaderBytes = 32 << 10
	}
	if c.Limits.BodyBytes == 0 {
		c.Limits.BodyBytes = 4 << 20
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.TLS != nil {
		s := *c.TLS
		set(&s.HandshakeTimeout, 5*time.Second)
		if s.MaxHandshakes == 0 {
			s.MaxHandshakes = 32
		}
		c.TLS = &s
	}
	return c
}

// Server answers requests on the connections it is given.
type Server struct {
	config Config
	mux    *Mux

	mu      sync.Mutex
	conns   map[*conn]bool
	opened  int64
	closing bool
	done    sync.WaitGroup

	readers, writers sync.Pool
	handshakes       chan struct{} // held by those that go on
}

// NewServer makes a server of a mux.
func NewServer(m *Mux, c Config) *Server {
	s := &Server{config: c.filled(), mux: m, conns: map[*conn]bool{}}
	if x := s.config.TLS; x != nil {
		s.handshakes = make(chan struct{}, x.MaxHandshakes)
	}
	s.readers.New = func() any { return newReader(nil) }
	s.writers.New = func() any { return bufio.NewWriterSize(nil, 4096) }
	return s
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	pause := time.Duration(0)
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var again net.Error
			if errors.As(err, &again) && again.Timeout() || errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if pause = min(max(2*pause, 5*time.Millisecond), time.Second); pause == time.Second {
				return err
			}
			time.Sleep(pause) // out of descriptors, most likely: connections end meanwhile
			continue
		}
		pause = 0
		c := &conn{net: nc, server: s}
		if !s.admit(c) {
			go s.turnAway(c)
			continue
		}
		go c.serve()
	}
}

func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.config.MaxConns {
		return false
	}
	s.conns[c] = true
	s.opened++
	c.number = s.opened
	s.done.Add(1)
	return true
}

func (s *Server) turnAway(c *conn) {
	if s.config.TLS != nil { // it would take a handshake to say so
		c.net.Close()
		return
	}
	r := Problem{Status: 503, Detail: "too many connections"}.Reply("Retry-After", "1")
	r.Close = true
	c.write(nil, r)
	c.net.Close()
}

// OpenConnections counts the connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown ends idle connections and waits until the others have answered what they hold; the caller has
// closed the listener and answers what is held. When the context ends first, all connections are cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.net.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() { s.done.Wait(); close(ended) }()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		s.Close()
		<-ended
		return ctx.Err()
	}
}

// Close closes all connections at once, whatever they hold.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.net.Close()
	}
	s.mu.Unlock()
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// conn is a connection. Its goroutine reads requests and writes all replies, so replies keep their order.
type conn struct {
	net    net.Conn
	server *Server
	number int64
	reader *reader // nil while nothing is buffered
	writer *bufio.Writer
	peer   Peer      // nil: plain
	retire time.Time // from then on each reply ends the connection, so that the next request comes by a newer identity
}

// lastPart of a connection's time is left for that.
const lastPart = 0.1

// secure does the handshake of a connection, when its turn has come: so many at once, that those who hold polls are not
// kept from their processor when all come back together.
func (c *conn) secure() error {
	x := c.server.config.TLS
	c.server.handshakes <- struct{}{}
	defer func() { <-c.server.handshakes }()
	if c.server.isClosing() {
		return net.ErrClosed
	}
	t := tls.Server(c.net, x.Config)
	ctx, cancel := context.WithTimeout(context.Background(), x.HandshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return err
	}
	peer, err := x.Authenticate(t.ConnectionState())
	if err != nil {
		return err
	}
	c.server.mu.Lock()
	c.net, c.peer = t, peer
	c.retire = peer.Expiry().Add(-time.Duration(lastPart * float64(time.Until(peer.Expiry()))))
	c.server.mu.Unlock()
	return nil
}

// ConnectionRetiresAt is when the connection that a request came by wants to end, and whether it does.
func (q *Request) ConnectionRetiresAt() (at time.Time, ok bool) {
	if q.conn == nil || q.conn.peer == nil {
		return time.Time{}, false
	}
	if at = q.conn.retire; !q.CredentialExpiresAt.IsZero() && q.CredentialExpiresAt.Before(at) {
		at = q.CredentialExpiresAt
	}
	return at, true
}

// still tells whether the peer is still to be served.
func (c *conn) still() bool { return c.peer == nil || c.peer.Verify() == nil }

// Read gives the connection's bytes to the reader.
func (c *conn) Read(p []byte) (int, error) { return c.net.Read(p) }

func (c *conn) serve() {
	defer func() {
		c.net.Close()
		c.release()
		s := c.server
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.done.Done()
	}()
	if c.server.config.TLS != nil {
		if c.secure() != nil {
			return
		}
	}
	first := [1]byte{}
	for {
		if c.reader == nil {
			c.deadline(c.idle())
			if c.server.isClosing() {
				return
			}
			if n, err := c.net.Read(first[:]); n == 0 || err != nil {
				return
			}
			c.attach(first[0])
		}
		if !c.request() {
			return
		}
		if c.reader != nil && c.reader.buf.Buffered() == 0 {
			c.release()
		}
	}
}

// attach takes a reader from the pool and puts back the byte that was read without one.
func (c *conn) attach(b byte) {
	r := c.server.readers.Get().(*reader)
	r.buf.Reset(io.MultiReader(strings.NewReader(string([]byte{b})), c))
	r.buf.Peek(1) // into the buffer, so that it counts as buffered
	c.reader = r
}

func (c *conn) release() {
	if c.reader != nil {
		c.reader.buf.Reset(nil)
		c.server.readers.Put(c.reader)
		c.reader = nil
	}
}

// idle is how long the connection may wait for a request: not past the end of its identity.
func (c *conn) idle() time.Duration {
	idle := c.server.config.IdleTimeout
	if c.peer != nil {
		idle = min(idle, time.Until(c.retire))
	}
	return idle
}

func (c *conn) deadline(d time.Duration) { c.net.SetReadDeadline(time.Now().Add(d)) }

// request serves one request. It tells whether the connection can go on.
func (c *conn) request() bool {
	cfg := &c.server.config
	c.deadline(cfg.HeaderTimeout)
	q, err := c.reader.request(cfg.Limits)
	if err != nil {
		c.complain(err)
		return false
	}
	q.conn, q.RemoteAddr, q.Peer, q.ConnectionID = c, c.net.RemoteAddr().String(), c.peer, c.number
	if !c.still() {
		r := Problem{Status: 401, Detail: "the identity is over, or no longer trusted"}.Reply()
		r.Close = true
		return c.refuse(q, r)
	}
	route, refusal := c.server.mux.find(q)
	if refusal != nil {
		return c.refuse(q, *refusal)
	}
	limits := cfg.Limits
	if route.MaxBodyBytes > 0 {
		limits.BodyBytes = route.MaxBodyBytes
	}
	if q.length != 0 {
		if q.length > limits.BodyBytes {
			p := Problem{Status: 413, Detail: "the body may have " + strconv.FormatInt(limits.BodyBytes, 10) + " bytes"}
			return c.refuse(q, p.Reply())
		}
		if len(route.MediaTypes) > 0 && !slices.Contains(route.MediaTypes, mediaOf(q.Header)) {
			p := Problem{Status: 415, Detail: "the body may be " + strings.Join(route.MediaTypes, " or ")}
			return c.refuse(q, p.Reply("Accept", strings.Join(route.MediaTypes, ", ")))
		}
		if coding := q.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
			return c.refuse(q, Problem{Status: 415, Detail: "no content coding is known"}.Reply("Accept-Encoding", "identity"))
		}
		if q.expects {
			c.net.SetWriteDeadline(time.Now().Add(cfg.WriteTimeout))
			if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return false
			}
		}
		c.deadline(cfg.BodyTimeout)
		if q.Body, err = c.reader.body(q.length, limits); err != nil {
			c.complain(err)
			return false
		}
	}
	r := route.Handler(q)
	if r.Held != nil {
		if r, err = c.await(r.Held); err != nil {
			return false
		}
		if !c.still() { // what is held is not told past the end of an identity: it is asked for again
			return false
		}
	}
	if r.Build != nil {
		r = r.Build()
	}
	r.Close = r.Close || c.peer != nil && !time.Now().Before(c.retire)
	return c.write(q, r) == nil && !q.close && !r.Close && !c.server.isClosing()
}

// refuse answers a request whose body was not read; a body on its way ends the connection.
func (c *conn) refuse(q *Request, r Reply) bool {
	r.Close = r.Close || q.length != 0
	ok := c.write(q, r) == nil && !r.Close && !q.close
	if r.Close {
		c.linger()
	}
	return ok
}

// complain answers what could not be read, unless the peer said nothing or is gone.
func (c *conn) complain(err error) {
	var f *fault
	var timeout net.Error
	p := Problem{Status: 400}
	switch {
	case errors.As(err, &f):
		p.Status, p.Detail = f.status, f.text
	case errors.As(err, &timeout) && timeout.Timeout() && !c.server.isClosing():
		p.Status, p.Detail = 408, "the request did not come in time"
	default:
		return
	}
	r := p.Reply()
	r.Close = true
	c.write(nil, r)
	c.linger()
}

// linger reads on for a moment, so that the peer gets the reply before the connection is reset (RFC 9112, 9.6).
func (c *conn) linger() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.deadline(500 * time.Millisecond)
		io.CopyN(io.Discard, c.net, 256<<10)
	}
}

// write writes a reply; q is nil where the request could not be read.
func (c *conn) write(q *Request, r Reply) error {
	w := c.server.writers.Get().(*bufio.Writer)
	w.Reset(c.net)
	defer func() { w.Reset(nil); c.server.writers.Put(w) }()
	c.net.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(r.Status))
	w.WriteByte(' ')
	w.WriteString(reasons[r.Status])
	w.WriteString("\r\nDate: ")
	w.WriteString(c.server.config.Now().UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT"))
	w.WriteString("\r\n")
	var some [8]string
	names := some[:0]
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range r.Header[name] {
			w.WriteString(name)
			w.WriteString(": ")
			w.WriteString(v)
			w.WriteString("\r\n")
		}
	}
	if r.Status != 204 && r.Status != 304 {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(r.Body)))
		w.WriteString("\r\n")
	}
	if q == nil || q.close || r.Close || c.server.isClosing() {
		w.WriteString("Connection: close\r\n")
	} else if q.Minor == 0 {
		w.WriteString("Connection: keep-alive\r\n")
	}
	w.WriteString("\r\n")
	if q == nil || q.Method != "HEAD" {
		w.Write(r.Body)
	}
	return w.Flush()
}

package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	minAcceptBackoff = 5 * time.Millisecond // after a failed accept, doubled up to maxAcceptBackoff
	maxAcceptBackoff = time.Second
)

// Server serves HTTP/1.1 requests by the routes of a Mux.
type Server struct {
	config Config
	mux    *Mux

	mu               sync.Mutex
	conns            map[*conn]bool // open connections
	lastConnectionID int64
	closing          bool
	connsDone        sync.WaitGroup // counts the open connections

	readers, writers sync.Pool           // *messageReader and *bufio.Writer
	memory           *semaphore.Weighted // bytes of requests
	replyMemory      *semaphore.Weighted // bytes of large replies that are written
	handshakeSlots   chan struct{}       // holds an element for each handshake that is processed
}

// NewServer returns a server for the routes of a mux.
func NewServer(mux *Mux, config Config) *Server {
	s := &Server{config: config.withDefaults(), mux: mux, conns: map[*conn]bool{}}
	s.memory = semaphore.NewWeighted(s.config.MemoryBytes)
	s.replyMemory = semaphore.NewWeighted(s.config.MemoryBytes)
	if options := s.config.TLS; options != nil {
		s.handshakeSlots = make(chan struct{}, options.MaxHandshakes)
	}
	s.readers.New = func() any { return newMessageReader(nil) }
	s.writers.New = func() any { return bufio.NewWriterSize(nil, bufferBytes) }
	return s
}

// Serve accepts connections until the listener is closed. A failed accept is retried with a backoff: most likely there
// are no file descriptors left until connections are closed.
func (s *Server) Serve(listener net.Listener) error {
	backoff := time.Duration(0)
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if s.config.AcceptError != nil {
				s.config.AcceptError(err)
			}
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			time.Sleep(backoff)
			continue
		}
		backoff = 0
		c := &conn{netConn: netConn, server: s}
		if !s.addConn(c) {
			go s.rejectConn(c)
			continue
		}
		go c.serve()
	}
}

// addConn adds an accepted connection to the open ones. It returns false if there are too many, or if the server is
// closing.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.config.MaxConns {
		return false
	}
	s.conns[c] = true
	s.lastConnectionID++
	c.id = s.lastConnectionID
	s.connsDone.Add(1)
	return true
}

// rejectConn replies 503 Service Unavailable and closes the connection. With TLS it sends no reply, which would need a
// handshake first.
func (s *Server) rejectConn(c *conn) {
	if s.config.TLS != nil {
		c.netConn.Close()
		return
	}
	reply := Problem{Status: 503, Detail: "too many connections"}.Reply("Retry-After", "1")
	reply.Close = true
	c.write(nil, &reply)
	c.netConn.Close()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown closes idle connections and waits until the other ones have answered their requests. The caller has closed
// the listener before, and answers the held requests. If the context ends first, Shutdown closes all connections and
// returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.netConn.SetReadDeadline(pastDeadline)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.connsDone.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.Close()
		<-done
		return ctx.Err()
	}
}

// Close closes all connections at once, also those with unanswered requests.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.netConn.Close()
	}
	s.mu.Unlock()
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

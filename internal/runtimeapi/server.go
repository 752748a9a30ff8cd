// Package runtimeapi serves the runtime API of a controller: line-oriented commands over a socket, compatible with
// HAProxy's stats socket as its management guide describes it (https://docs.haproxy.org/3.0/management.html, section
// 9.3). A request class is a backend of that API, and a host is a server of every backend.
//
// The package handles the connections, the syntax of commands and the texts of answers. A command that changes a host
// is passed to the controller, which may apply, reject or queue it like a command from any other API.
package runtimeapi

import (
	"bufio"
	"errors"
	"net"
	"net/textproto"
	"sync"
	"time"

	"barleysail/controller"
	"barleysail/operator"
)

// Controller is the part of a controller that the API uses. Its methods must be safe for concurrent use.
type Controller interface {
	Hosts() []controller.HostInfo
	Host(name string) (controller.HostInfo, bool)
	Proxies() []controller.ProxyInfo
	PublishedTables(proxy string) (controller.Response, bool)
	Status() controller.Status

	// ApplyCommands applies commands, or reports that they are queued. The error of a rejection is an
	// *operator.RejectedError.
	ApplyCommands(commands ...operator.Command) (queued bool, err error)

	// Events calls notify once, with the events after a number. If there are none yet, it waits up to wait for one.
	Events(after int64, wait time.Duration, notify func([]controller.Event)) (cancel func())
}

// Level is the permission level of a socket. It determines which commands are permitted.
type Level int

// The levels of the management guide. Each also permits what the levels before it permit.
const (
	User     Level = iota // read what is not sensitive
	Operator              // read everything
	Admin                 // change servers
)

var levelNames = [...]string{User: "user", Operator: "operator", Admin: "admin"}

// ParseLevel returns the level with a name of the configuration. ok is false for an unknown name.
func ParseLevel(name string) (level Level, ok bool) {
	for level, levelName := range levelNames {
		if levelName == name {
			return Level(level), true
		}
	}
	return 0, false
}

// Defaults of Config.
const (
	defaultMaxLineBytes   = 16384
	defaultIdleTimeout    = time.Minute
	defaultWriteTimeout   = 10 * time.Second
	defaultMaxConnections = 256
)

// Config configures a Server. Zero values stand for the defaults.
type Config struct {
	Level          Level
	Version        string        // version of the program, for show info
	MaxLineBytes   int           // of a command line, and of a payload; default 16384
	IdleTimeout    time.Duration // until a connection without a command is closed; default 60 s
	WriteTimeout   time.Duration // for an answer; default 10 s
	MaxConnections int           // served at once; further ones take the place of idle ones, or wait; default 256

	// AcceptError is called for each failed accept, which is retried; nil: they are ignored.
	AcceptError func(error)
}

const (
	// minIdleTime is how long a connection may wait for a command before it may be closed for another one.
	minIdleTime = time.Second

	// slotRetryInterval is the time between two attempts to close an idle connection for one that waits.
	slotRetryInterval = 50 * time.Millisecond

	// acceptRetryDelay is the pause after a failed accept. The process has most likely run out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// withDefaults returns the configuration with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.MaxLineBytes == 0 {
		c.MaxLineBytes = defaultMaxLineBytes
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	return c
}

// Server serves the API on listeners.
type Server struct {
	controller Controller
	config     Config
	commands   []command
	slots      chan struct{} // one element for each connection that is served
	sessions   sync.WaitGroup

	mu       sync.Mutex             // guards the fields below
	conns    map[net.Conn]time.Time // open connections, and since when each has waited for a command; zero: it does not
	closed   bool
	failures []string // the last commands that failed, with their answers
}

// New returns a server that serves no listener yet.
func New(target Controller, config Config) *Server {
	config = config.withDefaults()
	return &Server{
		controller: target,
		config:     config,
		commands:   commands(),
		slots:      make(chan struct{}, config.MaxConnections),
		conns:      map[net.Conn]time.Time{},
	}
}

// Serve accepts connections until the listener is closed, and serves each in a goroutine that Close ends. It returns
// nil when the listener is closed. A failed accept is retried.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if s.config.AcceptError != nil {
				s.config.AcceptError(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.register(conn) {
			closeConn(conn)
			continue
		}
		s.takeSlot()
		go s.serveConn(conn)
	}
}

// takeSlot waits until fewer than MaxConnections are served. Meanwhile it closes the connections that have waited for a
// command for the longest time, so that clients that send nothing do not keep others out.
func (s *Server) takeSlot() {
	for {
		select {
		case s.slots <- struct{}{}:
			return
		default:
		}
		s.closeIdle()
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(slotRetryInterval):
		}
	}
}

// closeIdle closes the connection that has waited for a command for the longest time, if that is minIdleTime at least.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idlest net.Conn
	oldest := time.Now().Add(-minIdleTime)
	for conn, idleSince := range s.conns {
		if !idleSince.IsZero() && !idleSince.After(oldest) {
			idlest = conn
			oldest = idleSince
		}
	}
	if idlest != nil {
		s.conns[idlest] = time.Time{}
		closeConn(idlest)
	}
}

// setIdleSince records since when a connection has waited for a command; the zero time means that it does not.
func (s *Server) setIdleSince(conn net.Conn, idleSince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = idleSince
}

// register records a connection and reports whether it may be served. It returns false once the server is closed.
func (s *Server) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = time.Time{}
	s.sessions.Add(1)
	return true
}

func (s *Server) unregister(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	<-s.slots
	s.sessions.Done()
}

// serveConn serves one connection and closes it.
func (s *Server) serveConn(conn net.Conn) {
	defer s.unregister(conn)
	defer closeConn(conn)
	session := &session{
		server: s,
		conn:   conn,
		input:  textproto.NewReader(bufio.NewReaderSize(conn, s.config.MaxLineBytes)),
		output: bufio.NewWriter(&deadlineWriter{conn, s.config.WriteTimeout}),
	}
	session.serve()
}

// closeConn closes a connection. It ignores the error: all answers are flushed by then, and the connection is not
// used again.
func closeConn(conn net.Conn) { _ = conn.Close() }

// Close closes all connections and waits until their goroutines have ended. It does not close listeners.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		closeConn(conn)
	}
	s.mu.Unlock()
	s.sessions.Wait()
}

// Package runtimeapi is the second front of a steward: a line-oriented runtime API in the manner of HAProxy's stats
// socket, by its published management guide. A class of transactions is a backend, a host is a server. What is set
// by it is an input to the decisions, as from any other front.
package runtimeapi

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"barleysail/controller"
	"barleysail/operator"
)

// Controller is what the front needs of one.
type Controller interface {
	Hosts() []controller.HostInfo
	Host(name string) (controller.HostInfo, bool)
	Proxies() []controller.ProxyInfo
	PublishedTables(proxy string) (controller.Response, bool)
	Status() controller.Status
	Order(orders ...operator.Command) (waits bool, err error)
	Events(after int64, wait time.Duration, to func([]controller.Event)) (cancel func())
}

// Level of a socket: what may be done by it.
type Level int

// As in the guide: look at what is not sensitive, also at the rest, and change things.
const (
	User Level = iota
	OperatorLevel
	Admin
)

// ParseLevel reads the name of a level.
func ParseLevel(name string) (Level, bool) {
	for l, n := range []string{"user", "operator", "admin"} {
		if n == name {
			return Level(l), true
		}
	}
	return 0, false
}

// Config of a server. Zero values stand for the figures named.
type Config struct {
	Level          Level
	Version        string
	MaxLineBytes   int           // bytes of a command line: 16384
	IdleTimeout    time.Duration // without a command: 60 s
	WriteTimeout   time.Duration // for an answer: 10 s
	MaxConnections int           // at once: 256
}

// Server serves the front on listeners.
type Server struct {
	steward  Controller
	set      Config
	commands []command
	slots    chan struct{}

	mu      sync.Mutex
	conns   map[net.Conn]bool
	stopped bool
	all     sync.WaitGroup
	errors  []string // the last refusals, for show errors
}

// New makes a server.
func New(s Controller, set Config) *Server {
	if set.MaxLineBytes == 0 {
		set.MaxLineBytes = 16384
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = time.Minute
	}
	if set.WriteTimeout == 0 {
		set.WriteTimeout = 10 * time.Second
	}
	if set.MaxConnections == 0 {
		set.MaxConnections = 256
	}
	return &Server{steward: s, set: set, commands: commands(), slots: make(chan struct{}, set.MaxConnections), conns: map[net.Conn]bool{}}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("taking a connection: %w", err)
		}
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = true
		s.all.Add(1)
		s.mu.Unlock()
		s.slots <- struct{}{}
		go func() {
			defer func() {
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				<-s.slots
				s.all.Done()
			}()
			(&session{server: s, conn: c, text: textproto.NewReader(bufio.NewReaderSize(c, s.set.MaxLineBytes)), out: bufio.NewWriter(c)}).serve()
		}()
	}
}

// Close ends all connections and waits for what serves them.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopped = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

// errorsKept are told by show errors.
const errorsKept = 16

func (s *Server) failed(command, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = append(s.errors, command+": "+strings.TrimSpace(answer))
	s.errors = s.errors[max(len(s.errors)-errorsKept, 0):]
}

// session is a connection. It begins in the mode in which a line is carried out and the connection closed; prompt
// changes to the interactive one.
type session struct {
	server *Server
	conn   net.Conn
	text   *textproto.Reader
	out    *bufio.Writer
	prompt bool
	over   bool
}

func (s *session) serve() {
	for !s.over {
		s.conn.SetReadDeadline(time.Now().Add(s.server.set.IdleTimeout))
		line, err := s.text.R.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.answer("The command is too long.\n")
			s.out.Flush()
			return
		}
		text := strings.TrimRight(string(line), "\r\n")
		if err != nil && text == "" {
			return
		}
		s.line(text)
		if s.prompt && !s.over {
			s.out.WriteString("> ")
		}
		s.conn.SetWriteDeadline(time.Now().Add(s.server.set.WriteTimeout))
		if s.out.Flush() != nil || err != nil || !s.prompt {
			return
		}
	}
}

// line carries out the commands of a line.
func (s *session) line(text string) {
	payload, has := "", false
	if before, pattern, ok := cutPayload(text); ok {
		text, has = before, true
		var err error
		if payload, err = s.payload(pattern); err != nil {
			s.over = true
			return
		}
	}
	for _, command := range split(text) {
		words := strings.Fields(command)
		if len(words) == 0 {
			if s.prompt {
				continue
			}
		}
		if has {
			words = append(words, payload)
		}
		s.run(words, command)
		if s.over {
			return
		}
	}
}

// cutPayload takes the << and its pattern off the end of a line.
func cutPayload(text string) (before, pattern string, ok bool) {
	at := strings.LastIndex(text, "<<")
	if at < 0 || at > 0 && text[at-1] != ' ' || strings.ContainsAny(text[at+2:], " ;") {
		return text, "", false
	}
	return text[:at], text[at+2:], true
}

// payload reads lines up to an empty one, or to the pattern.
func (s *session) payload(pattern string) (string, error) {
	var all strings.Builder
	for {
		line, err := s.text.R.ReadSlice('\n')
		if err != nil || all.Len()+len(line) > s.server.set.MaxLineBytes {
			return "", errors.New("no whole payload")
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == pattern {
			return all.String(), nil
		}
		all.WriteString(text + "\n")
	}
}

// split parts a line at semicolons that are not escaped by a backslash.
func split(text string) []string {
	var all []string
	var now strings.Builder
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			now.WriteByte(text[i])
		case text[i] == ';':
			all = append(all, now.String())
			now.Reset()
		default:
			now.WriteByte(text[i])
		}
	}
	return append(all, now.String())
}

// answer writes a command's answer, ended by an empty line.
func (s *session) answer(text string) {
	s.out.WriteString(text)
	if text != "" && !strings.HasSuffix(text, "\n") {
		s.out.WriteByte('\n')
	}
	s.out.WriteByte('\n')
}

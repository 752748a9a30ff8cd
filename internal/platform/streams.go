package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"barleysail/internal/resp"
)

const (
	joinMost     = 1500 * time.Millisecond // for a connection to join: a client owes its first message within 1 s
	crowdLeast   = 150 * time.Millisecond  // that each gets, however many come
	strangerMost = 4 << 10                 // bytes of a message before the joining
	messageMost  = 1 << 20
	wordsMost    = 256
	pingsMost    = 32
	queuedMost   = 512 << 10 // bytes that may wait for a stream
	writeMost    = 5 * time.Second
)

var pong = resp.Append(nil, "PONG")

// stream is a connection that takes messages. Its queue is emptied by a goroutine that lasts as long as something waits,
// so that no slow peer holds up another.
type stream struct {
	net.Conn
	mu      sync.Mutex
	queue   net.Buffers
	queued  int
	writing bool
	closed  bool

	since time.Time    // when it was taken in
	heard atomic.Int64 // when bytes last came, in ms

	proxy  int // what follows is the owner's: -1 for a collector
	zone   int
	weight float64
	sent   []stamp // marks not yet answered
}

type stamp struct {
	number int
	at     float64
}

// send queues bytes, and ends the connection where too many wait.
func (s *stream) send(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.queued+len(b) > queuedMost {
		s.closed = true
		s.Conn.Close()
		return
	}
	s.queue, s.queued = append(s.queue, b), s.queued+len(b)
	if !s.writing {
		s.writing = true
		go s.drain()
	}
}

func (s *stream) drain() {
	for {
		s.mu.Lock()
		queue, n := s.queue, s.queued
		s.queue = nil
		if n == 0 || s.closed {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.SetWriteDeadline(time.Now().Add(writeMost))
		_, err := queue.WriteTo(s.Conn)
		s.mu.Lock()
		s.queued -= n
		s.mu.Unlock()
		if err != nil {
			s.end()
		}
	}
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.Conn.Close()
}

// door keeps the connections that have not joined, oldest first. They may take what descriptors the joined ones and our
// own calls leave; who is too many ends the oldest.
type door struct {
	mu      sync.Mutex
	waiting []*stream
	most    int
}

// admit takes in a connection, after the oldest one had its least time.
func (d *door) admit(ctx context.Context, s *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.waiting) >= d.most {
		rest := crowdLeast - time.Since(d.waiting[0].since)
		if rest > 0 {
			d.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(min(rest, 5*time.Millisecond)):
			}
			d.mu.Lock()
			if ctx.Err() != nil {
				return
			}
			continue
		}
		d.waiting[0].end()
		d.waiting = slices.Delete(d.waiting, 0, 1)
	}
	s.since = time.Now()
	d.waiting = append(d.waiting, s)
}

// leave takes a connection off the list: it has joined or ended.
func (d *door) leave(s *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.waiting, s); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
	}
}

// accept takes connections until the listener is closed.
func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely: strangers end meanwhile
			n.odd.count("accepting fails", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		s := &stream{Conn: c, proxy: -1}
		n.door.admit(ctx, s)
		go n.serve(s)
	}
}

// serve reads a connection: first its joining, then what it reports.
func (n *Node) serve(s *stream) {
	defer s.end()
	r := resp.NewReader(s.Conn)
	s.SetReadDeadline(time.Now().Add(joinMost))
	kind, f := n.greet(r, s)
	n.door.leave(s)
	switch kind {
	case "SUBSCRIBE":
		proxy, zone, weight, err := n.bounds.joining(f, n.inst)
		if err != nil {
			n.odd.count("a joining makes no sense", err)
			return
		}
		s.proxy, s.zone, s.weight = proxy, zone, weight
		n.put(func() { n.join(s) })
		defer n.put(func() { n.leave(s) })
	case "SOURCE":
		zone, ok := n.inst.Zone(f["zone"])
		if !ok {
			n.odd.count("a joining makes no sense", fmt.Errorf("zone is %.20q", f["zone"]))
			return
		}
		n.put(func() { n.collect(s, zone) })
		defer n.put(func() { n.uncollect(s, zone) })
	default:
		n.odd.count("a stranger does not join", nil)
		return
	}
	s.SetReadDeadline(time.Time{})
	var words []string
	for {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: wordsMost, Bytes: messageMost}); err != nil {
			if ill := textproto.ProtocolError(""); errors.As(err, &ill) {
				n.odd.count("a stream goes on with what can't be read", err)
			}
			n.log.Debug().Err(err).Int("proxy", s.proxy).Msg("a stream ends")
			return
		}
		s.heard.Store(int64(n.clock.Now()))
		if len(words) == 1 && words[0] == "PING" {
			s.send(pong)
			continue
		}
		if len(words) == 0 {
			continue
		}
		kind := words[0]
		f, err := fieldsOf(words)
		n.put(func() {
			if err == nil {
				err = n.take(s, kind, f)
			}
			if err != nil {
				n.odd.count(spoilt(kind), err)
			}
		})
	}
}

// greet reads until the connection joins; signs of life are given on the way. An empty kind ends the connection.
func (n *Node) greet(r *resp.Reader, s *stream) (kind string, f fields) {
	var words []string
	for range pingsMost {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: 16, Bytes: strangerMost}); err != nil || len(words) == 0 {
			return "", nil
		}
		if len(words) == 1 && words[0] == "PING" {
			s.send(pong)
			continue
		}
		if f, err = fieldsOf(words); err != nil {
			return "", nil
		}
		return words[0], f
	}
	return "", nil
}

// spoilt names the trouble of a message that was passed over.
func spoilt(kind string) string {
	switch kind {
	case "LOAD", "RATE", "ACK":
		return "a spoilt " + kind + " is passed over"
	}
	return "a message of no known kind is passed over"
}

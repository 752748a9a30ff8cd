package platform

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"barleysail/internal/resp"
)

const (
	joinTimeout   = 1500 * time.Millisecond // for a connection to join: a client owes its first message within 1 s
	pendingLeast  = 150 * time.Millisecond  // that each gets, however many come
	evictWait     = 5 * time.Millisecond    // until a connection that had to give way has let go of its descriptor
	joinBytesMost = 4 << 10                 // bytes of a message before the joining
	messageMost   = 1 << 20
	wordsMost     = 256
	pingsMost     = 32
	marksMost     = 256       // unanswered on a stream: minutes of the module's own pace of messages
	queuedMost    = 512 << 10 // bytes that may wait for a stream
	writeTimeout  = 5 * time.Second
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

	number uint64 // counts the connections accepted
	work   *sync.WaitGroup
	since  time.Time    // when it was taken in
	heard  atomic.Int64 // when bytes last came, in ms

	proxy  int // what follows is the owner's: -1 for a collector
	zone   int
	weight float64
	sent   []stamp // marks not yet answered
}

type stamp struct {
	number int
	at     float64
}

// mark notes a mark that went out; of those never answered the newest are kept.
func (s *stream) mark(number int, now float64) {
	s.sent = append(s.sent, stamp{number, now})
	s.sent = slices.Delete(s.sent, 0, max(len(s.sent)-marksMost, 0))
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
		s.work.Go(s.drain)
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
		s.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// serve reads a connection until it ends. Its descriptor is free before the event loop hears of the end.
func (n *Node) serve(s *stream) {
	left := n.read(s)
	s.end()
	n.admission.release(s)
	if left != nil {
		n.post(left)
	}
}

// read takes first a connection's joining, then what it reports; it gives what the event loop is to do when it has ended.
func (n *Node) read(s *stream) (left func()) {
	r := resp.NewReader(s.Conn)
	s.SetReadDeadline(time.Now().Add(joinTimeout))
	kind, f := n.awaitJoin(r, s)
	switch kind {
	case "SUBSCRIBE":
		proxy, zone, weight, err := n.bounds.joining(f, n.inst)
		if err != nil {
			n.faults.count("a joining makes no sense", err)
			return nil
		}
		s.proxy, s.zone, s.weight = proxy, zone, weight
		n.admission.joined(s)
		n.post(func() { n.join(s) })
		left = func() { n.leave(s) }
	case "SOURCE":
		zone, ok := n.inst.ZoneIndex(f["zone"])
		if !ok {
			n.faults.count("a joining makes no sense", fmt.Errorf("zone is %.20q", f["zone"]))
			return nil
		}
		n.admission.joined(s)
		n.post(func() { n.addCollector(s, zone) })
		left = func() { n.removeCollector(s, zone) }
	default:
		n.faults.count("a connection does not join", nil)
		return nil
	}
	s.SetReadDeadline(time.Time{})
	var words []string
	for {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: wordsMost, Bytes: messageMost}); err != nil {
			var malformed *resp.ProtocolError
			if errors.As(err, &malformed) {
				n.faults.count("a stream goes on with what can't be read", err)
			}
			n.log.Debug().Err(err).Int("proxy", s.proxy).Msg("a stream ends")
			return left
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
		n.post(func() {
			if err == nil {
				err = n.handle(s, kind, f)
			}
			if err != nil {
				n.faults.count(dropped(kind), err)
			}
		})
	}
}

// awaitJoin reads until the connection joins; signs of life are given on the way. An empty kind ends the connection.
func (n *Node) awaitJoin(r *resp.Reader, s *stream) (kind string, f fields) {
	var words []string
	for range pingsMost {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: 16, Bytes: joinBytesMost}); err != nil || len(words) == 0 {
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

// dropped names the fault of a message that was dropped.
func dropped(kind string) string {
	switch kind {
	case "LOAD", "RATE", "ACK":
		return "a malformed " + kind + " is dropped"
	}
	return "a message of no known kind is dropped"
}

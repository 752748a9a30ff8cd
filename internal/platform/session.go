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
	identifyTimeout        = 1500 * time.Millisecond // for a connection to join: a client owes its first message within 1 s
	minUnidentifiedTime    = 150 * time.Millisecond  // that each gets, however many come
	evictionWait           = 5 * time.Millisecond    // until a connection that had to give way has let go of its descriptor
	maxIdentifyBytes       = 4 << 10                 // bytes of a message before the joining
	maxMessageBytes        = 1 << 20
	maxMessageWords        = 256
	maxPingsBeforeIdentify = 32
	maxUnacknowledged      = 256       // unanswered on a stream: minutes of the module's own pace of messages
	maxQueuedBytes         = 512 << 10 // bytes that may wait for a stream
	writeTimeout           = 5 * time.Second
)

// session is a connection that takes messages. Its queue is emptied by a goroutine that lasts as long as something waits,
// so that no slow peer holds up another.
type session struct {
	net.Conn
	mu          sync.Mutex
	writeQueue  net.Buffers
	queuedBytes int
	writing     bool
	closed      bool

	acceptNumber uint64 // counts the connections accepted
	goroutines   *sync.WaitGroup
	admittedAt   time.Time    // when it was taken in
	lastReadMs   atomic.Int64 // when bytes last came, in ms

	proxy          int // what follows is the owner's: -1 for a collector
	zone           int
	weight         float64
	unacknowledged []versionStamp // marks not yet answered
}

type versionStamp struct {
	number int
	sentMs float64
}

// recordStamp notes a mark that went out; of those never answered the newest are kept.
func (s *session) recordStamp(number int, now float64) {
	s.unacknowledged = append(s.unacknowledged, versionStamp{number, now})
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, max(len(s.unacknowledged)-maxUnacknowledged, 0))
}

// enqueue queues bytes, and ends the connection where too many wait.
func (s *session) enqueue(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.queuedBytes+len(b) > maxQueuedBytes {
		s.closed = true
		s.Conn.Close()
		return
	}
	s.writeQueue, s.queuedBytes = append(s.writeQueue, b), s.queuedBytes+len(b)
	if !s.writing {
		s.writing = true
		s.goroutines.Go(s.writeQueued)
	}
}

func (s *session) writeQueued() {
	for {
		s.mu.Lock()
		queue, n := s.writeQueue, s.queuedBytes
		s.writeQueue = nil
		if n == 0 || s.closed {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := queue.WriteTo(s.Conn)
		s.mu.Lock()
		s.queuedBytes -= n
		s.mu.Unlock()
		if err != nil {
			s.terminate()
		}
	}
}

func (s *session) terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.Conn.Close()
}

// serve reads a connection until it ends. Its descriptor is free before the event loop hears of the end.
func (n *Node) serve(s *session) {
	left := n.read(s)
	s.terminate()
	n.connections.release(s)
	if left != nil {
		n.post(left)
	}
}

// read takes first a connection's joining, then what it reports; it gives what the event loop is to do when it has ended.
func (n *Node) read(s *session) (left func()) {
	r := resp.NewReader(s.Conn)
	s.SetReadDeadline(time.Now().Add(identifyTimeout))
	kind, f := n.awaitIdentification(r, s)
	switch kind {
	case "SUBSCRIBE":
		proxy, zone, weight, err := n.bounds.subscription(f, n.balancer)
		if err != nil {
			n.warnings.warn("a joining makes no sense", err)
			return nil
		}
		s.proxy, s.zone, s.weight = proxy, zone, weight
		n.connections.markActive(s)
		n.post(func() { n.connect(s) })
		left = func() { n.disconnect(s) }
	case "SOURCE":
		zone, ok := n.balancer.ZoneIndex(f["zone"])
		if !ok {
			n.warnings.warn("a joining makes no sense", fmt.Errorf("zone is %.20q", f["zone"]))
			return nil
		}
		n.connections.markActive(s)
		n.post(func() { n.addCollector(s, zone) })
		left = func() { n.removeCollector(s, zone) }
	default:
		n.warnings.warn("a connection does not join", nil)
		return nil
	}
	s.SetReadDeadline(time.Time{})
	var words []string
	for {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: maxMessageWords, Bytes: maxMessageBytes}); err != nil {
			var malformed *resp.ProtocolError
			if errors.As(err, &malformed) {
				n.warnings.warn("a stream goes on with what can't be read", err)
			}
			n.log.Debug().Err(err).Int("proxy", s.proxy).Msg("a stream ends")
			return left
		}
		s.lastReadMs.Store(int64(n.clock.Now()))
		if len(words) == 1 && words[0] == "PING" {
			s.enqueue(pongMessage)
			continue
		}
		if len(words) == 0 {
			continue
		}
		kind := words[0]
		f, err := parseFields(words)
		n.post(func() {
			if err == nil {
				err = n.handle(s, kind, f)
			}
			if err != nil {
				n.warnings.warn(droppedMessageText(kind), err)
			}
		})
	}
}

// awaitIdentification reads until the connection joins; signs of life are given on the way. An empty kind ends the connection.
func (n *Node) awaitIdentification(r *resp.Reader, s *session) (kind string, f fields) {
	var words []string
	for range maxPingsBeforeIdentify {
		var err error
		if words, err = r.Read(words, resp.Limits{Words: 16, Bytes: maxIdentifyBytes}); err != nil || len(words) == 0 {
			return "", nil
		}
		if len(words) == 1 && words[0] == "PING" {
			s.enqueue(pongMessage)
			continue
		}
		if f, err = parseFields(words); err != nil {
			return "", nil
		}
		return words[0], f
	}
	return "", nil
}

// droppedMessageText names the fault of a message that was dropped.
func droppedMessageText(kind string) string {
	switch kind {
	case "LOAD", "RATE", "ACK":
		return "a malformed " + kind + " is dropped"
	}
	return "a message of no known kind is dropped"
}

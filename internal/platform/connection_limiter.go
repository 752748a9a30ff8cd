package platform

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// connectionLimiter bounds the connections by the descriptors there are for them. Those that have not joined are pending; those that
// fell silent are kept as long as nobody needs their descriptors.
type connectionLimiter struct {
	mu           sync.Mutex
	limit        int               // of all connections
	open         map[*session]bool // accepted and not yet ended
	unidentified []*session        // oldest first
	unresponsive []*session        // likewise
	closed       bool
	released     chan struct{} // holds one when a connection has ended
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, open: map[*session]bool{}, released: make(chan struct{}, 1)}
}

// unidentifiedLimit keeps a half of the descriptors for those that have joined.
func (a *connectionLimiter) unidentifiedLimit() int { return max(a.limit/2, minUnidentified) }

// admit takes in a connection, if need be in place of a silent one, or of the oldest pending one after that had its least
// time. It answers false where all descriptors are held by streams in use: who dials again may find another steward.
func (a *connectionLimiter) admit(ctx context.Context, s *session) bool {
	for {
		a.mu.Lock()
		full := len(a.open) >= a.limit
		if a.closed || full && len(a.unidentified)+len(a.unresponsive) == 0 {
			a.mu.Unlock()
			return false
		}
		if !full && len(a.unidentified) < a.unidentifiedLimit() {
			s.admittedAt = time.Now()
			a.open[s], a.unidentified = true, append(a.unidentified, s)
			a.mu.Unlock()
			return true
		}
		var victim *session
		wait := evictionWait
		if full && len(a.unresponsive) > 0 {
			victim = a.unresponsive[0]
		} else if wait = minUnidentifiedTime - time.Since(a.unidentified[0].admittedAt); wait <= 0 {
			victim, wait = a.unidentified[0], evictionWait
		}
		if victim != nil {
			a.removeEvictable(victim)
		}
		a.mu.Unlock()
		if victim != nil {
			victim.terminate()
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.released:
		case <-time.After(wait):
		}
	}
}

// removeEvictable takes a stream off the lists of those that may have to give way.
func (a *connectionLimiter) removeEvictable(s *session) {
	for _, list := range []*[]*session{&a.unidentified, &a.unresponsive} {
		if i := slices.Index(*list, s); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// markActive notes that a connection is in use: it has joined, or speaks again.
func (a *connectionLimiter) markActive(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeEvictable(s)
}

// markUnresponsive notes that a joined stream counts as left.
func (a *connectionLimiter) markUnresponsive(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[s] {
		a.unresponsive = append(a.unresponsive, s)
	}
}

// release notes that a connection has ended.
func (a *connectionLimiter) release(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeEvictable(s)
	delete(a.open, s)
	select {
	case a.released <- struct{}{}:
	default:
	}
}

// setLimit sets another limit; what is open beyond it may stay.
func (a *connectionLimiter) setLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// close ends all connections and admits no more.
func (a *connectionLimiter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for s := range a.open {
		s.terminate()
	}
}

// acceptConnections takes connections until the listener is closed.
func (n *Node) acceptConnections(ctx context.Context, l net.Listener) {
	for number := uint64(1); ; number++ {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely: pending connections time out meanwhile
			n.warnings.warn("accepting fails", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		s := &session{Conn: c, acceptNumber: number, goroutines: &n.goroutines, proxy: -1}
		if !n.connections.admit(ctx, s) {
			s.terminate()
			n.warnings.warn("a connection is refused: streams hold all descriptors", nil)
			continue
		}
		n.goroutines.Go(func() { n.serve(s) })
	}
}

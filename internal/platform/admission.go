package platform

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// admission bounds the connections by the descriptors there are for them. Those that have not joined are pending; those that
// fell silent are kept as long as nobody needs their descriptors.
type admission struct {
	mu      sync.Mutex
	limit   int              // of all connections
	open    map[*stream]bool // accepted and not yet ended
	pending []*stream        // oldest first
	silent  []*stream        // likewise
	closed  bool
	freed   chan struct{} // holds one when a connection has ended
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, open: map[*stream]bool{}, freed: make(chan struct{}, 1)}
}

// pendingLimit keeps a half of the descriptors for those that have joined.
func (a *admission) pendingLimit() int { return max(a.limit/2, pendingMin) }

// admit takes in a connection, if need be in place of a silent one, or of the oldest pending one after that had its least
// time. It answers false where all descriptors are held by streams in use: who dials again may find another steward.
func (a *admission) admit(ctx context.Context, s *stream) bool {
	for {
		a.mu.Lock()
		full := len(a.open) >= a.limit
		if a.closed || full && len(a.pending)+len(a.silent) == 0 {
			a.mu.Unlock()
			return false
		}
		if !full && len(a.pending) < a.pendingLimit() {
			s.since = time.Now()
			a.open[s], a.pending = true, append(a.pending, s)
			a.mu.Unlock()
			return true
		}
		var victim *stream
		wait := evictWait
		if full && len(a.silent) > 0 {
			victim = a.silent[0]
		} else if wait = pendingLeast - time.Since(a.pending[0].since); wait <= 0 {
			victim, wait = a.pending[0], evictWait
		}
		if victim != nil {
			a.settle(victim)
		}
		a.mu.Unlock()
		if victim != nil {
			victim.end()
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.freed:
		case <-time.After(wait):
		}
	}
}

// settle takes a stream off the lists of those that may have to give way.
func (a *admission) settle(s *stream) {
	for _, list := range []*[]*stream{&a.pending, &a.silent} {
		if i := slices.Index(*list, s); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// joined notes that a connection is in use: it has joined, or speaks again.
func (a *admission) joined(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(s)
}

// fellSilent notes that a joined stream counts as left.
func (a *admission) fellSilent(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[s] {
		a.silent = append(a.silent, s)
	}
}

// release notes that a connection has ended.
func (a *admission) release(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(s)
	delete(a.open, s)
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// resize sets another limit; what is open beyond it may stay.
func (a *admission) resize(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// close ends all connections and admits no more.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for s := range a.open {
		s.end()
	}
}

// accept takes connections until the listener is closed.
func (n *Node) accept(ctx context.Context, l net.Listener) {
	for number := uint64(1); ; number++ {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely: pending connections time out meanwhile
			n.faults.count("accepting fails", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		s := &stream{Conn: c, number: number, work: &n.work, proxy: -1}
		if !n.admission.admit(ctx, s) {
			s.end()
			n.faults.count("a connection is refused: streams hold all descriptors", nil)
			continue
		}
		n.work.Go(func() { n.serve(s) })
	}
}

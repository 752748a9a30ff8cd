package platform

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// admission keeps the connections that have not joined, oldest first. They may take what descriptors the joined ones and our
// own calls leave; who is too many ends the oldest.
type admission struct {
	mu      sync.Mutex
	pending []*stream
	limit   int
}

// admit takes in a connection, after the oldest one had its least time.
func (a *admission) admit(ctx context.Context, s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.pending) >= a.limit {
		rest := pendingLeast - time.Since(a.pending[0].since)
		if rest > 0 {
			a.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(min(rest, 5*time.Millisecond)):
			}
			a.mu.Lock()
			if ctx.Err() != nil {
				return
			}
			continue
		}
		a.pending[0].end()
		a.pending = slices.Delete(a.pending, 0, 1)
	}
	s.since = time.Now()
	a.pending = append(a.pending, s)
}

// leave takes a connection off the list: it has joined or ended.
func (a *admission) release(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.pending, s); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
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
		s := &stream{Conn: c, number: number, proxy: -1}
		n.admission.admit(ctx, s)
		go n.serve(s)
	}
}

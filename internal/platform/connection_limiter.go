package platform

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// minUnidentifiedLimit is the lower bound of unidentifiedLimit.
	minUnidentifiedLimit = 8
	// minUnidentifiedTime is how long a connection may take to identify itself before it may be evicted for a newer
	// one.
	minUnidentifiedTime = 150 * time.Millisecond
	// evictionWait is how long admit waits for an evicted connection to release its descriptor before it tries again.
	evictionWait = 5 * time.Millisecond
)

// connectionLimiter bounds the open connections by the number of file descriptors that are available for them. When
// these run out, it evicts the oldest unresponsive connection, or else the oldest unidentified one once it has been
// open for minUnidentifiedTime. It is safe for concurrent use.
type connectionLimiter struct {
	released chan struct{} // holds an element if a connection was released since admit last received from it

	mu           sync.Mutex           // guards the fields below
	limit        int                  // of open connections
	open         map[*connection]bool // admitted and not yet released
	unidentified []*connection        // oldest first
	unresponsive []*connection        // oldest first
	closed       bool
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, open: map[*connection]bool{}, released: make(chan struct{}, 1)}
}

// unidentifiedLimit returns how many unidentified connections may be open: half of the limit, since the other half is
// reserved for connections that have identified themselves.
func (l *connectionLimiter) unidentifiedLimit() int { return max(l.limit/2, minUnidentifiedLimit) }

// admitDecision is the limiter's decision on a new connection.
type admitDecision struct {
	admitted bool
	rejected bool          // sessions in use hold all descriptors, or the limiter is closed
	evict    *connection   // to be terminated, so that a descriptor is released; nil: none
	wait     time.Duration // until the next attempt, if neither admitted nor rejected
}

// admit waits until there is a descriptor for a connection, evicts another connection if necessary, and reports whether
// the connection is admitted. It is not if sessions in use hold all descriptors, so that the peer can dial another
// controller at once, or if the context has ended or the limiter is closed.
func (l *connectionLimiter) admit(ctx context.Context, conn *connection) bool {
	for {
		decision := l.tryAdmit(conn)
		if decision.admitted || decision.rejected {
			return decision.admitted
		}
		if decision.evict != nil {
			decision.evict.terminate()
		}
		select {
		case <-ctx.Done():
			return false
		case <-l.released:
		case <-time.After(decision.wait):
		}
	}
}

// tryAdmit admits or rejects a connection, or returns what to do before the next attempt.
func (l *connectionLimiter) tryAdmit(conn *connection) admitDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := len(l.open) >= l.limit
	if l.closed || full && len(l.unidentified)+len(l.unresponsive) == 0 {
		return admitDecision{rejected: true}
	}
	if !full && len(l.unidentified) < l.unidentifiedLimit() {
		conn.admittedAt = time.Now()
		l.open[conn] = true
		l.unidentified = append(l.unidentified, conn)
		return admitDecision{admitted: true}
	}
	if full && len(l.unresponsive) > 0 {
		return l.evict(l.unresponsive[0])
	}
	oldest := l.unidentified[0]
	timeLeft := minUnidentifiedTime - time.Since(oldest.admittedAt)
	if timeLeft > 0 {
		return admitDecision{wait: timeLeft}
	}
	return l.evict(oldest)
}

// evict makes an open connection no longer evictable, and returns the decision to terminate it and then to try again.
func (l *connectionLimiter) evict(victim *connection) admitDecision {
	l.removeEvictable(victim)
	return admitDecision{evict: victim, wait: evictionWait}
}

// removeEvictable removes a connection from the lists of connections that may be evicted.
func (l *connectionLimiter) removeEvictable(conn *connection) {
	for _, list := range []*[]*connection{&l.unidentified, &l.unresponsive} {
		if i := slices.Index(*list, conn); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// markActive records that a connection is in use, so that it is not evicted: it has identified itself, or its peer has
// become responsive again.
func (l *connectionLimiter) markActive(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeEvictable(conn)
}

// markUnresponsive records that a connection may be evicted, since its session counts as disconnected.
func (l *connectionLimiter) markUnresponsive(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[conn] {
		l.unresponsive = append(l.unresponsive, conn)
	}
}

// release records that a connection has ended and its descriptor is free.
func (l *connectionLimiter) release(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeEvictable(conn)
	delete(l.open, conn)
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// setLimit changes the limit. Connections that are already open beyond a lower limit stay open.
func (l *connectionLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// close terminates all connections and admits no more.
func (l *connectionLimiter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.open {
		conn.terminate()
	}
}

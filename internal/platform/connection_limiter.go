package platform

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// minUnidentified is how many unidentified connections there may be at least.
	minUnidentified = 8
	// minUnidentifiedTime is how long a connection may take to identify itself however many others come.
	minUnidentifiedTime = 150 * time.Millisecond
	// evictionWait is how long an evicted connection has to release its descriptor before it is looked at again.
	evictionWait = 5 * time.Millisecond
)

// connectionLimiter bounds the open connections by the descriptors there are for them. When these run out, it evicts
// the oldest unresponsive connection or, when it has had its time, the oldest unidentified one. It is safe for
// concurrent use.
type connectionLimiter struct {
	released chan struct{} // holds one element when a connection has ended since admit last looked

	mu           sync.Mutex           // guards what follows
	limit        int                  // of open connections
	open         map[*connection]bool // admitted and not yet released
	unidentified []*connection        // oldest first
	unresponsive []*connection        // likewise
	closed       bool
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, open: map[*connection]bool{}, released: make(chan struct{}, 1)}
}

// unidentifiedLimit keeps half of the descriptors for connections that have identified themselves.
func (l *connectionLimiter) unidentifiedLimit() int { return max(l.limit/2, minUnidentified) }

// admitDecision is what the limiter decides on a connection.
type admitDecision struct {
	admitted bool
	rejected bool          // sessions in use hold all descriptors, or the limiter is closed
	evict    *connection   // to be terminated, so that a descriptor is released
	wait     time.Duration // until the next try, where neither admitted nor rejected
}

// admit waits until there is room for a connection, and evicts another one for it if need be. It returns false where
// sessions in use hold all descriptors, so that the peer may dial another controller at once, and when the context or
// the limiter has ended.
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

// tryAdmit admits a connection if there is room, or says what else is to be done.
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

func (l *connectionLimiter) evict(victim *connection) admitDecision {
	l.removeEvictable(victim)
	return admitDecision{evict: victim, wait: evictionWait}
}

// removeEvictable takes a connection off the lists of those that may be evicted.
func (l *connectionLimiter) removeEvictable(conn *connection) {
	for _, list := range []*[]*connection{&l.unidentified, &l.unresponsive} {
		if i := slices.Index(*list, conn); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// markActive notes that a connection is in use: it has identified itself, or its peer has spoken again.
func (l *connectionLimiter) markActive(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeEvictable(conn)
}

// markUnresponsive notes that the session of a connection counts as disconnected.
func (l *connectionLimiter) markUnresponsive(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[conn] {
		l.unresponsive = append(l.unresponsive, conn)
	}
}

// release notes that a connection has ended.
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

// setLimit sets another limit; connections that are open beyond it stay.
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

package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// newPipeConnection makes a connection in memory and returns it with the peer's end.
func newPipeConnection(t *testing.T, goroutines *sync.WaitGroup) (conn *connection, peerEnd net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() {
		mustClose(t, local)
		mustClose(t, remote)
	})
	return &connection{Conn: local, goroutines: goroutines}, remote
}

// A peer that reads nothing is disconnected once too much is queued for it, and the goroutine that writes ends.
func TestUnreadQueueOverflows(t *testing.T) {
	var goroutines sync.WaitGroup
	conn, peerEnd := newPipeConnection(t, &goroutines)
	half := make([]byte, maxQueuedBytes/2)
	conn.enqueue(half)
	conn.enqueue(half)
	if conn.closed {
		t.Error("the connection is closed before its queue is full")
	}
	conn.enqueue([]byte{0})
	if !conn.closed {
		t.Error("the connection stays open beyond its limit")
	}
	goroutines.Wait()
	if _, err := peerEnd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer reads %v", err)
	}
	conn.enqueue([]byte{0}) // after the end it is dropped
}

// A peer that does not take a write in time is disconnected.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var goroutines sync.WaitGroup
		conn, _ := newPipeConnection(t, &goroutines)
		began := time.Now()
		conn.enqueue(pongMessage)
		goroutines.Wait()
		if took := time.Since(began); took != writeTimeout {
			t.Errorf("the write ends after %v", took)
		}
		if !conn.closed {
			t.Error("the connection stays open")
		}
	})
}

// limiterRun admits connections, each of which a goroutine releases once it is closed.
type limiterRun struct {
	t          *testing.T
	limiter    *connectionLimiter
	goroutines sync.WaitGroup
	admitted   []*connection
}

// fillLimiter makes a limiter whose descriptors are all held by unidentified connections.
func fillLimiter(t *testing.T) *limiterRun {
	t.Helper()
	run := &limiterRun{t: t, limiter: newConnectionLimiter(minUnidentified)}
	for range minUnidentified {
		if !run.admit() {
			t.Fatal("a connection is rejected though there is room")
		}
	}
	return run
}

func (r *limiterRun) admit() bool {
	r.t.Helper()
	conn, _ := newPipeConnection(r.t, &r.goroutines)
	if !r.limiter.admit(context.Background(), conn) {
		return false
	}
	r.goroutines.Go(func() {
		_, _ = conn.Read(make([]byte, 1)) // any error is the end
		r.limiter.release(conn)
	})
	r.admitted = append(r.admitted, conn)
	return true
}

// close ends all connections, and waits for their goroutines.
func (r *limiterRun) close() {
	r.limiter.close()
	r.goroutines.Wait()
}

// Where unidentified connections hold all descriptors, a newcomer waits until the oldest has had its time, and takes
// its place.
func TestUnidentifiedConnectionEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		began := time.Now()
		if !run.admit() {
			t.Error("a connection is rejected though unidentified ones could give way")
		}
		if waited := time.Since(began); waited != minUnidentifiedTime {
			t.Errorf("the oldest unidentified connection is evicted after %v", waited)
		}
		if !run.admitted[0].closed || run.admitted[1].closed {
			t.Error("it is not the oldest connection that is evicted")
		}
	})
}

// Where active sessions hold all descriptors, a newcomer is rejected at once, until one becomes unresponsive.
func TestConnectionRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		for _, conn := range run.admitted {
			run.limiter.markActive(conn)
		}
		if run.admit() {
			t.Error("a connection is admitted though sessions in use hold all descriptors")
		}
		run.limiter.markUnresponsive(run.admitted[3])
		if !run.admit() || !run.admitted[3].closed {
			t.Error("an unresponsive session does not give way")
		}
		run.close()
		if run.admit() {
			t.Error("a closed limiter admits a connection")
		}
	})
}

// A newcomer that waits for room gives up with its context.
func TestAdmissionCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		const timeout = minUnidentifiedTime / 2
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		late, _ := newPipeConnection(t, &run.goroutines)
		began := time.Now()
		if run.limiter.admit(ctx, late) || time.Since(began) != timeout {
			t.Errorf("admission ends after %v", time.Since(began))
		}
	})
}

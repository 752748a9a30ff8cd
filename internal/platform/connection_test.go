package platform

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
)

// newPipeConnection makes an in-memory connection and returns it with the peer's end.
func newPipeConnection(t *testing.T, goroutines *sync.WaitGroup) (conn *connection, peerEnd net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() {
		mustClose(t, local)
		mustClose(t, remote)
	})
	budget := semaphore.NewWeighted(defaultBudgetBytes)
	return &connection{Conn: local, goroutines: goroutines, outputBudget: budget}, remote
}

// A peer that reads nothing is disconnected once more than maxQueuedBytes are queued for it, and the goroutine that
// writes to it ends.
func TestUnreadQueueOverflows(t *testing.T) {
	var goroutines sync.WaitGroup
	conn, peerEnd := newPipeConnection(t, &goroutines)
	half := make([]byte, maxQueuedBytes/2)
	conn.enqueue(half)
	conn.enqueue(half)
	if conn.closed {
		t.Error("connection closed with maxQueuedBytes queued, want it open")
	}
	conn.enqueue([]byte{0})
	if !conn.closed {
		t.Error("connection open with more than maxQueuedBytes queued, want it closed")
	}
	goroutines.Wait()
	if _, err := peerEnd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read by the peer returned error %v, want %v", err, io.EOF)
	}
	conn.enqueue([]byte{0}) // must do nothing on a closed connection
}

// A peer that does not read the written bytes within writeTimeout is disconnected.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var goroutines sync.WaitGroup
		conn, _ := newPipeConnection(t, &goroutines)
		began := time.Now()
		conn.enqueue(pongMessage)
		goroutines.Wait()
		if took := time.Since(began); took != writeTimeout {
			t.Errorf("write ended after %v, want %v", took, writeTimeout)
		}
		if !conn.closed {
			t.Error("connection open after a write timed out, want it closed")
		}
	})
}

package platform

import (
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

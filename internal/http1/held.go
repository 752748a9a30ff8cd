package http1

import (
	"errors"
	"net"
	"sync"
	"time"
)

// HeldRequest is a request, such as a long poll, whose reply comes later. While it waits, its connection has no
// buffers.
type HeldRequest struct {
	conn         *conn
	onDisconnect func()

	mu       sync.Mutex
	reply    *Reply // nil: none yet
	awaited  bool   // the connection's goroutine waits in awaitReply
	answered chan struct{}
}

// Hold defers the reply to the request until HeldRequest.Answer. If the peer disconnects before, the connection's
// goroutine calls onDisconnect.
func (r *Request) Hold(onDisconnect func()) *HeldRequest {
	return &HeldRequest{conn: r.conn, onDisconnect: onDisconnect, answered: make(chan struct{})}
}

// Answer sets the reply. It may be called from any goroutine and does not wait until the reply is written. Only the
// first call has an effect.
func (h *HeldRequest) Answer(reply Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reply != nil {
		return
	}
	h.reply = &reply
	close(h.answered)
	if h.awaited {
		h.conn.netConn.SetReadDeadline(pastDeadline) // wakes awaitReply, which reads from the connection
	}
}

// awaitReply waits for the reply to a held request and detects in the meantime that the peer disconnects. If the peer
// sends another request, its first byte is buffered, and from then on a disconnect is not detected until the reply is
// written.
func (c *conn) awaitReply(h *HeldRequest) (Reply, error) {
	h.mu.Lock()
	ready := h.reply != nil
	if !ready {
		h.awaited = true
		c.netConn.SetReadDeadline(time.Time{})
	}
	h.mu.Unlock()
	if !ready && c.reader.buf.Buffered() == 0 {
		c.releaseReader()
		var firstByte [1]byte
		n, err := c.netConn.Read(firstByte[:])
		if n > 0 {
			c.attachReader(firstByte[0])
		} else if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
			h.onDisconnect()
			return Reply{}, err
		}
	}
	<-h.answered
	h.mu.Lock()
	h.awaited = false
	h.mu.Unlock()
	return *h.reply, nil
}

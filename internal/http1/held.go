package http1

import (
	"errors"
	"net"
	"sync"
	"time"
)

// HeldRequest is a request whose reply comes later. While it waits, the connection has no buffers.
type HeldRequest struct {
	conn *conn
	gone func()

	mu       sync.Mutex
	reply    *Reply
	awaited  bool
	answered chan struct{}
}

// Hold makes the request one whose reply comes later, by Answer. If the peer goes away before, gone is called
// from the connection's goroutine.
func (q *Request) Hold(gone func()) *HeldRequest {
	return &HeldRequest{conn: q.conn, gone: gone, answered: make(chan struct{})}
}

// Answer gives the reply, from any goroutine, and does not wait for the peer. Only the first one counts.
func (h *HeldRequest) Answer(r Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reply != nil {
		return
	}
	h.reply = &r
	close(h.answered)
	if h.awaited {
		h.conn.net.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine that waits for the peer
	}
}

// await waits for the reply, and sees when the peer goes away. A byte of a further request is kept for later;
// from then on the peer's going is not seen until the reply is written.
func (c *conn) await(h *HeldRequest) (Reply, error) {
	h.mu.Lock()
	ready := h.reply != nil
	if !ready {
		h.awaited = true
		c.net.SetReadDeadline(time.Time{})
	}
	h.mu.Unlock()
	if !ready && c.reader.buf.Buffered() == 0 {
		c.release()
		var b [1]byte
		n, err := c.net.Read(b[:])
		if n > 0 {
			c.attach(b[0])
		} else if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
			h.gone()
			return Reply{}, err
		}
	}
	<-h.answered
	h.mu.Lock()
	h.awaited = false
	h.mu.Unlock()
	return *h.reply, nil
}

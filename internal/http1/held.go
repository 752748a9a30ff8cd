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

// departureCheckInterval is the time between two checks whether the peer of a held request has left, where it has sent
// so much behind the request that no more is read.
const departureCheckInterval = time.Second

// awaitReply waits for the reply to a held request and detects in the meantime that the peer disconnects. Up to a buffer
// of what the peer sends behind the request is read meanwhile.
func (c *conn) awaitReply(h *HeldRequest) (Reply, error) {
	h.mu.Lock()
	ready := h.reply != nil
	if !ready {
		h.awaited = true
		c.netConn.SetReadDeadline(time.Time{})
	}
	h.mu.Unlock()
	if !ready {
		if err := c.awaitAnswer(h); err != nil {
			h.onDisconnect()
			return Reply{}, err
		}
	}
	h.mu.Lock()
	h.awaited = false
	h.mu.Unlock()
	return *h.reply, nil
}

// awaitAnswer waits until a held request is answered, or the peer disconnects: then it returns an error.
func (c *conn) awaitAnswer(h *HeldRequest) error {
	if err := c.readWhileHeld(); err != nil {
		return err
	}
	for {
		select {
		case <-h.answered:
			return nil
		case <-time.After(departureCheckInterval):
		}
		if peerHasClosed(c.netConn) {
			return net.ErrClosed
		}
	}
}

// readWhileHeld reads until the buffer is full, or HeldRequest.Answer or Server.Shutdown ends the reads by a timeout. It
// returns an error if the peer disconnects before.
func (c *conn) readWhileHeld() error {
	if c.reader.buf.Buffered() == 0 {
		c.releaseReader()
		var firstByte [1]byte
		n, err := c.netConn.Read(firstByte[:])
		if n == 0 {
			return errUnlessTimeout(err)
		}
		c.attachReader(firstByte[0])
	}
	for buffered := c.reader.buf.Buffered(); buffered < c.reader.buf.Size(); buffered = c.reader.buf.Buffered() {
		if _, err := c.reader.buf.Peek(buffered + 1); err != nil {
			return errUnlessTimeout(err)
		}
	}
	return nil
}

// errUnlessTimeout returns the error of a read, nil for a timeout.
func errUnlessTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

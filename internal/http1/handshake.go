package http1

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// handshake does the TLS handshake and authenticates the peer. When all proxies reconnect at the same time, their
// handshakes must not take the processor time that long polls on open connections need: at most TLSOptions.MaxHandshakes
// are processed at once. A handshake that waits for its peer does not count, so that clients that stop within it keep
// no other out.
func (c *conn) handshake() error {
	options := c.server.config.TLS
	c.server.handshakeSlots <- struct{}{}
	defer func() { <-c.server.handshakeSlots }()
	if c.server.isClosing() {
		return net.ErrClosed
	}
	slow := &handshakeConn{Conn: c.netConn, server: c.server, timeLeft: options.HandshakeTimeout}
	tlsConn := tls.Server(slow, options.Config)
	c.netConn.SetWriteDeadline(time.Now().Add(options.HandshakeTimeout))
	if err := tlsConn.Handshake(); err != nil {
		return err
	}
	slow.complete = true
	peer, err := options.Authenticate(tlsConn.ConnectionState())
	if err != nil {
		return err
	}
	c.server.mu.Lock()
	c.netConn, c.peer = tlsConn, peer
	c.retireAt = peer.Expiry().Add(-time.Duration(retirementFraction * float64(time.Until(peer.Expiry()))))
	c.server.mu.Unlock()
	return nil
}

// handshakeConn is a connection whose handshake releases its slot while it waits for the peer. All of these waits
// together are bounded, the waits for a slot are not.
type handshakeConn struct {
	net.Conn
	server   *Server
	timeLeft time.Duration // for the peer
	complete bool          // the handshake is over: reads go to the connection
}

// Read reads from the connection. The caller holds a slot during the handshake.
func (h *handshakeConn) Read(buffer []byte) (int, error) {
	if h.complete {
		return h.Conn.Read(buffer)
	}
	began := time.Now()
	h.Conn.SetReadDeadline(began.Add(h.timeLeft))
	if h.server.isClosing() { // a shutdown that begins later ends the read by its own deadline
		return 0, net.ErrClosed
	}
	<-h.server.handshakeSlots
	n, err := h.Conn.Read(buffer)
	h.timeLeft -= time.Since(began)
	h.server.handshakeSlots <- struct{}{}
	return n, err
}

// SyscallConn implements syscall.Conn, for peerHasClosed.
func (h *handshakeConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := h.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return socket.SyscallConn()
}

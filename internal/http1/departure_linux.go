package http1

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedEvents are the poll events of a connection that the peer has closed, whether or not all that it sent was read.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// peerHasClosed reports whether the peer has closed its side of a connection. Bytes that the peer sent before may still
// be unread.
func peerHasClosed(conn net.Conn) bool {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: closedEvents}}
		ready, err := unix.Poll(polled, 0)
		closed = err == nil && ready > 0 && polled[0].Revents&closedEvents != 0
	})
	return closed || err != nil
}

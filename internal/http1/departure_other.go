//go:build !linux

package http1

import "net"

// peerHasClosed reports whether the peer has closed its side of a connection. Elsewhere than on Linux that is not known
// before all that the peer sent was read.
func peerHasClosed(net.Conn) bool { return false }

package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	lingerTimeout = 500 * time.Millisecond // time for which a connection is read after an error reply
	lingerBytes   = 256 << 10              // bytes that are read in that time at most

	// retirementFraction is the last part of a connection's time until the peer's credentials expire, in which each
	// reply ends the connection, so that the next request comes on a connection with newer credentials.
	retirementFraction = 0.1
)

// conn is a server's connection. Its goroutine reads the requests and writes all replies, so the replies are in the
// order of the requests.
type conn struct {
	netConn  net.Conn
	server   *Server
	id       int64
	reader   *messageReader // nil while nothing is buffered
	peer     Peer           // nil: plain connection
	retireAt time.Time      // replies from then on end the connection: see retirementFraction
}

// HoldDeadline returns the time until which the request may be held: until its connection retires, or until its own
// credential expires if that is earlier. ok is false on a plain connection, which has no such limit.
func (r *Request) HoldDeadline() (deadline time.Time, ok bool) {
	if r.conn == nil || r.conn.peer == nil {
		return time.Time{}, false
	}
	if deadline = r.conn.retireAt; !r.CredentialExpiresAt.IsZero() && r.CredentialExpiresAt.Before(deadline) {
		deadline = r.CredentialExpiresAt
	}
	return deadline, true
}

// isTrusted reports whether the peer's credentials are still valid; it is true for a plain connection.
func (c *conn) isTrusted() bool { return c.peer == nil || c.peer.Verify() == nil }

// Read implements io.Reader for the message reader.
func (c *conn) Read(p []byte) (int, error) { return c.netConn.Read(p) }

// serve serves the requests of a connection until it ends.
func (c *conn) serve() {
	defer func() {
		c.netConn.Close()
		c.releaseReader()
		s := c.server
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.connsDone.Done()
	}()
	if c.server.config.TLS != nil {
		if c.handshake() != nil {
			return
		}
	}
	firstByte := [1]byte{}
	for {
		if c.reader == nil {
			c.setReadTimeout(c.idleTimeout())
			if c.server.isClosing() {
				return
			}
			if n, err := c.netConn.Read(firstByte[:]); n == 0 || err != nil {
				return
			}
			c.attachReader(firstByte[0])
		}
		if !c.serveRequest() {
			return
		}
		if c.reader == nil {
			continue
		}
		c.reader.memory.release()
		if c.reader.buf.Buffered() == 0 {
			c.releaseReader()
		} else if peerHasClosed(c.netConn) { // requests that a client has pipelined are not handled once it has left
			return
		}
	}
}

// attachReader takes a reader from the pool. It returns firstByte, which was read from the connection without a reader,
// before the connection's further bytes.
func (c *conn) attachReader(firstByte byte) {
	reader := c.server.readers.Get().(*messageReader)
	reader.buf.Reset(io.MultiReader(strings.NewReader(string([]byte{firstByte})), c))
	reader.buf.Peek(1) // fills the buffer, so that Buffered counts the byte
	reader.memory = newRequestMemory(c.server.memory)
	c.reader = reader
}

func (c *conn) releaseReader() {
	if c.reader != nil {
		c.reader.memory.release()
		c.reader.memory = nil
		c.reader.buf.Reset(nil)
		c.server.readers.Put(c.reader)
		c.reader = nil
	}
}

// idleTimeout returns how long the connection may wait for a request: at most until it retires.
func (c *conn) idleTimeout() time.Duration {
	timeout := c.server.config.IdleTimeout
	if c.peer != nil {
		timeout = min(timeout, time.Until(c.retireAt))
	}
	return timeout
}

func (c *conn) setReadTimeout(timeout time.Duration) {
	c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// serveRequest reads and answers one request. It returns whether the connection can be used for another one.
func (c *conn) serveRequest() bool {
	config := &c.server.config
	c.setReadTimeout(config.HeaderTimeout)
	request, err := c.reader.readRequest(config.Limits)
	if err != nil {
		c.replyToReadError(err)
		return false
	}
	request.conn, request.RemoteAddr = c, c.netConn.RemoteAddr().String()
	request.Peer, request.ConnectionID = c.peer, c.id
	if !c.isTrusted() {
		reply := Problem{Status: 401, Detail: "the identity is over, or no longer trusted"}.Reply()
		reply.Close = true
		return c.rejectRequest(request, reply)
	}
	route, rejection := c.server.mux.find(request)
	if rejection == nil {
		rejection = c.checkBody(request, route)
	}
	if rejection != nil {
		return c.rejectRequest(request, *rejection)
	}
	if !c.readBody(request, route) {
		return false
	}
	return c.handle(request, route)
}

// maxBodyBytes returns the limit of a route's bodies.
func (c *conn) maxBodyBytes(route Route) int64 {
	if route.MaxBodyBytes > 0 {
		return route.MaxBodyBytes
	}
	return c.server.config.BodyBytes
}

// checkBody returns the reply that rejects a request for the length or the type of its body, nil if they are allowed.
func (c *conn) checkBody(request *Request, route Route) *Reply {
	if request.bodyLength == 0 {
		return nil
	}
	var reply Reply
	coding := request.Header.Get("Content-Encoding")
	mediaTypes := route.MediaTypes
	switch maxBytes := c.maxBodyBytes(route); {
	case request.bodyLength > maxBytes:
		detail := "the body may have " + strconv.FormatInt(maxBytes, 10) + " bytes"
		reply = Problem{Status: 413, Detail: detail}.Reply()
	case len(mediaTypes) > 0 && !slices.Contains(mediaTypes, mediaType(request.Header)):
		problem := Problem{Status: 415, Detail: "the body may be " + strings.Join(mediaTypes, " or ")}
		reply = problem.Reply("Accept", strings.Join(mediaTypes, ", "))
	case coding != "" && coding != "identity":
		problem := Problem{Status: 415, Detail: "no content coding is known"}
		reply = problem.Reply("Accept-Encoding", "identity")
	default:
		return nil
	}
	return &reply
}

// readBody reads the body of a request, and reports whether it could. If not, the sender got a reply where possible.
func (c *conn) readBody(request *Request, route Route) bool {
	if request.bodyLength == 0 {
		return true
	}
	config := &c.server.config
	if request.expectsContinue {
		c.netConn.SetWriteDeadline(time.Now().Add(config.WriteTimeout))
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	limits := config.Limits
	limits.BodyBytes = c.maxBodyBytes(route)
	c.setReadTimeout(config.BodyTimeout)
	var err error
	if request.Body, err = c.reader.readBody(request.bodyLength, limits); err != nil {
		c.replyToReadError(err)
		return false
	}
	return true
}

// handle calls the handler of a request and writes the reply. It returns whether the connection can be used for another
// request.
func (c *conn) handle(request *Request, route Route) bool {
	reply := route.Handler(request)
	request.Body = nil
	c.reader.memory.release()
	if reply.Held != nil {
		var err error
		if reply, err = c.awaitReply(reply.Held); err != nil {
			return false
		}
		if !c.isTrusted() { // the peer gets no data after its credentials have expired, and has to repeat the request
			return false
		}
	}
	if reply.Build != nil {
		reply = reply.Build()
	}
	reply.Close = reply.Close || c.peer != nil && !time.Now().Before(c.retireAt)
	return c.write(request, &reply) == nil && !request.close && !reply.Close && !c.server.isClosing()
}

// rejectRequest answers a request whose body was not read, and returns whether the connection can be used for another
// one: not if the request has a body.
func (c *conn) rejectRequest(request *Request, reply Reply) bool {
	reply.Close = reply.Close || request.bodyLength != 0
	reusable := c.write(request, &reply) == nil && !reply.Close && !request.close
	if reply.Close {
		c.linger()
	}
	return reusable
}

// replyToReadError answers a request that could not be read. It sends nothing if the peer sent nothing or disconnected.
func (c *conn) replyToReadError(err error) {
	var invalid *messageError
	var netErr net.Error
	problem := Problem{Status: 400}
	switch {
	case errors.As(err, &invalid):
		problem.Status, problem.Detail = invalid.status, invalid.text
	case errors.As(err, &netErr) && netErr.Timeout() && !c.server.isClosing():
		problem.Status, problem.Detail = 408, "the request did not come in time"
	default:
		return
	}
	reply := problem.Reply()
	if problem.Status == 503 {
		reply.Header.Set("Retry-After", "1")
	}
	reply.Close = true
	c.write(nil, &reply)
	c.linger()
}

// linger closes the connection for writing and reads on for a moment: if it were closed with unread bytes, the reset
// could reach the peer before the reply does (RFC 9112, section 9.6).
func (c *conn) linger() {
	if writeCloser, ok := c.netConn.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		c.setReadTimeout(lingerTimeout)
		io.CopyN(io.Discard, c.netConn, lingerBytes)
	}
}

// write writes a reply; request is nil if it could not be read. A large reply for which there is no memory left is
// replaced by 503 Service Unavailable.
func (c *conn) write(request *Request, reply *Reply) error {
	reserved, ok := c.server.reserveReply(reply.Body)
	if !ok {
		rejection := Problem{Status: 503, Detail: "large replies to other clients use up the memory for them"}
		closes := reply.Close
		*reply = rejection.Reply("Retry-After", "1") // the large one is not kept while this one is written
		reply.Close = closes
		return c.writeReply(request, reply)
	}
	defer c.server.replyMemory.Release(reserved)
	return c.writeReply(request, reply)
}

// writeReply writes a reply; request is nil if it could not be read.
func (c *conn) writeReply(request *Request, reply *Reply) error {
	w := c.server.writers.Get().(*bufio.Writer)
	w.Reset(c.netConn)
	defer func() { w.Reset(nil); c.server.writers.Put(w) }()
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(reply.Status))
	w.WriteByte(' ')
	w.WriteString(reasonPhrases[reply.Status])
	w.WriteString("\r\nDate: ")
	w.WriteString(c.server.config.Now().UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT"))
	w.WriteString("\r\n")
	var nameArray [8]string // usually spares an allocation
	names := nameArray[:0]
	for name := range reply.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range reply.Header[name] {
			w.WriteString(name)
			w.WriteString(": ")
			w.WriteString(value)
			w.WriteString("\r\n")
		}
	}
	if reply.Status != 204 && reply.Status != 304 {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(reply.Body)))
		w.WriteString("\r\n")
	}
	if request == nil || request.close || reply.Close || c.server.isClosing() {
		w.WriteString("Connection: close\r\n")
	} else if request.Minor == 0 {
		w.WriteString("Connection: keep-alive\r\n")
	}
	w.WriteString("\r\n")
	if request == nil || request.Method != "HEAD" {
		w.Write(reply.Body)
	}
	return w.Flush()
}

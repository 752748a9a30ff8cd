package http1

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// defaultMaxIdleConns is the limit of idle connections where Client.MaxIdleConns is 0.
const defaultMaxIdleConns = 256

// Response is the response to a request of a Client.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
}

// Client sends requests and keeps at most one idle connection to each address. It does not follow redirects. It is
// safe for concurrent use.
type Client struct {
	Limits       Limits      // of responses; 0: the defaults of Config
	MaxIdleConns int         // idle connections that are kept, to all addresses; 0: 256, below 0: none
	TLS          *tls.Config // nil: connections are plain

	mu   sync.Mutex
	idle map[string]*clientConn // by address
}

type clientConn struct {
	netConn net.Conn
	reader  *messageReader
}

// Call sends a request without a body to address and reads the response, until the context ends. If the exchange fails
// on an idle connection, which the server may have closed, it is repeated once on a new connection.
func (c *Client) Call(
	ctx context.Context, method, address, target string, header textproto.MIMEHeader,
) (*Response, error) {
	limits := Config{Limits: c.Limits}.withDefaults().Limits
	if conn := c.takeIdle(address); conn != nil {
		response, err := c.exchange(ctx, conn, method, address, target, header, limits)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
	}
	var dialer net.Dialer
	var netConn net.Conn
	var err error
	if c.TLS != nil {
		netConn, err = (&tls.Dialer{NetDialer: &dialer, Config: c.TLS}).DialContext(ctx, "tcp", address)
	} else {
		netConn, err = dialer.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, &clientConn{netConn, newMessageReader(netConn)}, method, address, target, header, limits)
}

// takeIdle returns the idle connection to an address and removes it from the idle ones; nil if there is none.
func (c *Client) takeIdle(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.idle[address]
	delete(c.idle, address)
	return conn
}

// putIdle keeps a connection for the next request, or closes it if there is one already or too many are idle.
func (c *Client) putIdle(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maxIdle := c.MaxIdleConns
	if maxIdle == 0 {
		maxIdle = defaultMaxIdleConns
	}
	if c.idle == nil {
		c.idle = map[string]*clientConn{}
	}
	if _, ok := c.idle[address]; ok || len(c.idle) >= maxIdle {
		conn.netConn.Close()
		return
	}
	c.idle[address] = conn
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.netConn.Close()
	}
	c.idle = nil
}

// exchange sends a request on a connection and reads the response. Afterwards the connection is idle or closed.
func (c *Client) exchange(ctx context.Context, conn *clientConn, method, address, target string,
	header textproto.MIMEHeader, limits Limits) (response *Response, err error) {
	stop := context.AfterFunc(ctx, func() { conn.netConn.SetDeadline(pastDeadline) })
	reusable := false
	defer func() {
		if !stop() && err == nil {
			reusable = false // the context has just ended, so the connection's deadline is in the past
		}
		// Bytes after the response would be read as the next response.
		if err == nil && reusable && conn.reader.buf.Buffered() == 0 {
			c.putIdle(address, conn)
		} else {
			conn.netConn.Close()
		}
	}()
	w := bufio.NewWriter(conn.netConn)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, address)
	for name, values := range header {
		for _, value := range values {
			fmt.Fprintf(w, "%s: %s\r\n", name, value)
		}
	}
	io.WriteString(w, "\r\n")
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("sending the request: %w", err)
	}
	response, reusable, err = conn.reader.readResponse(method, limits)
	return response, err
}

// readResponse reads a response and skips interim ones (1xx). It also returns whether the connection can be used for
// another request.
func (r *messageReader) readResponse(method string, limits Limits) (*Response, bool, error) {
	for {
		line, err := r.readLine(limits.LineBytes, 400)
		if err != nil {
			return nil, false, fmt.Errorf("reading the status line: %w", err)
		}
		version, rest, _ := strings.Cut(line, " ")
		digits, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(digits)
		if err != nil || len(digits) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
			return nil, false, fmt.Errorf("%.60q is no status line", line)
		}
		header, err := r.readHeader(limits)
		if err != nil {
			return nil, false, fmt.Errorf("reading the header: %w", err)
		}
		if status >= 100 && status < 200 {
			continue
		}
		response := &Response{Status: status, Header: header}
		reusable := version == "HTTP/1.1"
		for _, option := range listMembers(header, "Connection") {
			reusable = reusable && option != "close"
		}
		if method == "HEAD" || status == 204 || status == 304 {
			return response, reusable, nil
		}
		length, err := bodyLength(header)
		if err != nil {
			return nil, false, err
		}
		if length == 0 && header.Get("Content-Length") == "" { // the body ends with the connection
			reusable = false
			response.Body, err = io.ReadAll(io.LimitReader(r.buf, limits.BodyBytes+1))
			if int64(len(response.Body)) > limits.BodyBytes {
				return nil, false, fmt.Errorf("the body is longer than %d bytes", limits.BodyBytes)
			}
			return response, reusable, err
		}
		response.Body, err = r.readBody(length, limits)
		return response, reusable, err
	}
}

// pastDeadline is a deadline in the past: as a connection's deadline it ends pending reads and writes.
var pastDeadline = time.Unix(1, 0)

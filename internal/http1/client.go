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

// Response to a request of a Client.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
}

// Client calls servers, and keeps an idle connection to each. It follows no redirects.
type Client struct {
	Limits       Limits      // 0: 8 KiB a line, 32 KiB of header, 4 MiB of body
	MaxIdleConns int         // connections kept; 0: 256
	TLS          *tls.Config // nil: connections are plain

	mu   sync.Mutex
	idle map[string]*called
}

type called struct {
	net    net.Conn
	reader *reader
}

// Call sends a request without a body to address, and reads the response; the context's deadline holds for
// all of it. An idle connection that turns out to be closed is replaced once.
func (c *Client) Call(ctx context.Context, method, address, target string, h textproto.MIMEHeader) (*Response, error) {
	limits := Config{Limits: c.Limits}.filled().Limits
	if k := c.take(address); k != nil {
		r, err := c.exchange(ctx, k, method, address, target, h, limits)
		if err == nil || ctx.Err() != nil {
			return r, err
		}
	}
	var d net.Dialer
	var nc net.Conn
	var err error
	if c.TLS != nil {
		nc, err = (&tls.Dialer{NetDialer: &d, Config: c.TLS}).DialContext(ctx, "tcp", address)
	} else {
		nc, err = d.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, &called{nc, newReader(nc)}, method, address, target, h, limits)
}

func (c *Client) take(address string) *called {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.idle[address]
	delete(c.idle, address)
	return k
}

func (c *Client) keep(address string, k *called) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.MaxIdleConns
	if most == 0 {
		most = 256
	}
	if c.idle == nil {
		c.idle = map[string]*called{}
	}
	if _, other := c.idle[address]; other || len(c.idle) >= most {
		k.net.Close()
		return
	}
	c.idle[address] = k
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.net.Close()
	}
	c.idle = nil
}

func (c *Client) exchange(ctx context.Context, k *called, method, address, target string, h textproto.MIMEHeader,
	l Limits) (r *Response, err error) {
	stop := context.AfterFunc(ctx, func() { k.net.SetDeadline(time.Unix(1, 0)) })
	again := false
	defer func() {
		if !stop() && err == nil {
			again = false // the deadline passed just now
		}
		if err == nil && again && k.reader.buf.Buffered() == 0 { // what is left over would be taken for the next answer
			c.keep(address, k)
		} else {
			k.net.Close()
		}
	}()
	w := bufio.NewWriter(k.net)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, address)
	for name, values := range h {
		for _, v := range values {
			fmt.Fprintf(w, "%s: %s\r\n", name, v)
		}
	}
	io.WriteString(w, "\r\n")
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("sending the request: %w", err)
	}
	r, again, err = k.reader.response(method, l)
	return r, err
}

// response reads a response, passing over interim ones. It tells whether the connection can go on.
func (r *reader) response(method string, l Limits) (*Response, bool, error) {
	for {
		line, err := r.line(l.LineBytes, 400)
		if err != nil {
			return nil, false, fmt.Errorf("reading the status line: %w", err)
		}
		version, rest, _ := strings.Cut(line, " ")
		digits, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(digits)
		if err != nil || len(digits) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
			return nil, false, fmt.Errorf("%.60q is no status line", line)
		}
		h, err := r.header(l)
		if err != nil {
			return nil, false, fmt.Errorf("reading the header: %w", err)
		}
		if status >= 100 && status < 200 {
			continue
		}
		a := &Response{Status: status, Header: h}
		again := version == "HTTP/1.1"
		for _, o := range list(h, "Connection") {
			again = again && o != "close"
		}
		if method == "HEAD" || status == 204 || status == 304 {
			return a, again, nil
		}
		length, err := framing(h)
		if err != nil {
			return nil, false, err
		}
		if length == 0 && h.Get("Content-Length") == "" { // until the end of the connection
			again = false
			a.Body, err = io.ReadAll(io.LimitReader(r.buf, l.BodyBytes+1))
			if int64(len(a.Body)) > l.BodyBytes {
				return nil, false, fmt.Errorf("the body is longer than %d bytes", l.BodyBytes)
			}
			return a, again, err
		}
		a.Body, err = r.body(length, l)
		return a, again, err
	}
}

package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"barleysail/internal/golden"
)

// serve starts a server of a few routes: an echo, a plain page and one that is held until released.
func serve(t testing.TB, c Config) (addr string, s *Server, held chan *HeldRequest, gone chan struct{}) {
	held, gone = make(chan *HeldRequest, 10000), make(chan struct{}, 10000)
	m := &Mux{}
	m.Handle("GET", "/page", Route{Handler: func(*Request) Reply {
		return Reply{Status: 200, Header: Header("Content-Type", "text/plain"), Body: []byte("page\n")}
	}})
	m.Handle("POST", "/echo/{name}", Route{MediaTypes: []string{"text/plain"}, Handler: func(q *Request) Reply {
		return Reply{Status: 200, Body: []byte(q.Params["name"] + ":" + string(q.Body) + "\n")}
	}})
	m.Handle("GET", "/held", Route{Handler: func(q *Request) Reply {
		h := q.Hold(func() { gone <- struct{}{} })
		held <- h
		return Reply{Held: h}
	}})
	m.Handle("GET", "/large", Route{Handler: func(*Request) Reply {
		return Reply{Status: 200, Body: bytes.Repeat([]byte("x"), 32<<20)}
	}})
	c.Now = func() time.Time { return time.Unix(0, 0) }
	s = NewServer(m, c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return l.Addr().String(), s, held, gone
}

// Each line of the trace is a message as sent, with what came back on the socket until it was closed or, after
// the last answer due, until the test ended it.
func TestMessages(t *testing.T) {
	addr, _, _, _ := serve(t, Config{Limits: Limits{LineBytes: 100, HeaderBytes: 300, BodyBytes: 40}})
	get := "GET /page HTTP/1.1\r\nHost: a\r\n"
	post := "POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n"
	end := "Connection: close\r\n\r\n"
	cases := []string{
		get + end, strings.Replace(get, "GET", "HEAD", 1) + end, "\r\n" + get + end,
		get + "\r\n" + get + "\r\nGET /nothing HTTP/1.1\r\nHost: a\r\n" + end, // pipelined
		"GET /page HTTP/1.0\r\n\r\n", "GET /page HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /page HTTP/1.0\r\n\r\n",
		"GET http://a/page HTTP/1.1\r\nHost: a\r\n" + end,
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n" + end, "OPTIONS /page HTTP/1.1\r\nHost: a\r\n" + end,
		"GET /page HTTP/1.1\n" + "Host: a\nConnection: close\n\n", // bare LF is taken
		post + "Content-Length: 2\r\n" + "Connection: close\r\n\r\nhi",
		post + "Content-Length: 2, 2\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
		post + "Transfer-Encoding: chunked\r\n" + end + "2;x=y\r\nhi\r\n3\r\n ho\r\n0\r\nTrailer: x\r\n\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
		"POST /echo/a%2Fb HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\n" + end,
		// and what is refused
		"GET /page HTTP/1.1\r\n\r\n", get + "Host: b\r\n\r\n", "GET /page HTTP/1.1\r\nHost: a b\r\n\r\n",
		get + "X: a\r\n b\r\n\r\n", get + "X : a\r\n\r\n", get + "X: a\rb\r\n\r\n", get + "X: a\x01b\r\n\r\n", get + "no field\r\n\r\n",
		"GET  /page HTTP/1.1\r\nHost: a\r\n\r\n", "GET /page\r\n\r\n", "GET /page HTTP/2.0\r\nHost: a\r\n\r\n", "GET /page HTTQ/1.1\r\n\r\n",
		"GET page HTTP/1.1\r\nHost: a\r\n\r\n", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
		"BREW /page HTTP/1.1\r\nHost: a\r\n\r\n", "DELETE /page HTTP/1.1\r\nHost: a\r\n" + end, "GET /echo/x HTTP/1.1\r\nHost: a\r\n" + end,
		post + "Content-Length: -1\r\n\r\n", post + "Content-Length: 1x\r\n\r\n", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		post + "Content-Length: +2\r\n\r\nhi", post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n2\r\nhiho\r\n", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		post + "Content-Length: 41\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\n29\r\n",
		"POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nhi",
		post + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
		post + "Expect: a-miracle\r\nContent-Length: 2\r\n\r\n",
		"GET /" + strings.Repeat("p", 200) + " HTTP/1.1\r\nHost: a\r\n\r\n", get + "X: " + strings.Repeat("x", 200) + "\r\n\r\n",
		get + strings.Repeat("X: "+strings.Repeat("x", 80)+"\r\n", 5) + "\r\n",
	}
	var now strings.Builder
	for _, in := range cases {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, in)
		out, err := io.ReadAll(c)
		c.Close()
		fmt.Fprintf(&now, "%.150q %v\n", in, err)
		for _, line := range strings.Split(strings.TrimSuffix(string(out), "\n"), "\n") {
			if line = strings.TrimSuffix(line, "\r"); line != "" && !strings.HasPrefix(line, "Date: Thu, 01 Jan 1970 00:00:00 GMT") {
				fmt.Fprintf(&now, "    %s\n", line)
			}
		}
	}
	golden.Compare(t, "messages", now.String())
}

// What comes too slowly is answered 408, an idle connection is closed, and one too many gets 503.
func TestTimes(t *testing.T) {
	addr, _, _, _ := serve(t, Config{HeaderTimeout: 30 * time.Millisecond, BodyTimeout: 30 * time.Millisecond, IdleTimeout: 30 * time.Millisecond})
	for in, want := range map[string]string{"": "^$", "GET /pa": "^HTTP/1.1 408 ", "POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nab": "^HTTP/1.1 408 "} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, in)
		out, _ := io.ReadAll(c)
		if !regexp.MustCompile(want).Match(out) {
			t.Errorf("%q: %s", in, out)
		}
		c.Close()
	}
	addr, s, held, _ := serve(t, Config{MaxConns: 2})
	for range 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
		<-held
	}
	c, _ := net.Dial("tcp", addr)
	defer c.Close()
	out, _ := io.ReadAll(c)
	if text := string(out); !strings.HasPrefix(text, "HTTP/1.1 503 ") || !strings.Contains(text, "Retry-After: 1\r\n") {
		t.Errorf("a connection too many: %s", text)
	}
	if s.OpenConnections() != 2 {
		t.Errorf("%d connections open", s.OpenConnections())
	}
}

// Held requests: replies keep the order of pipelined requests, a peer that goes is noticed, and the first
// answer counts.
func TestHeld(t *testing.T) {
	addr, s, held, gone := serve(t, Config{})
	c, _ := net.Dial("tcp", addr)
	io.WriteString(c, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	h := <-held
	io.WriteString(c, "GET /page HTTP/1.1\r\nHost: a\r\n\r\n")
	h.Answer(Reply{Status: 200, Body: []byte("first\n")})
	h.Answer(Reply{Status: 200, Body: []byte("second\n")})
	in := bufio.NewReader(c)
	for _, want := range []string{"first\n", "page\n"} {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(r.Body); string(body) != want {
			t.Errorf("%q came, not %q", body, want)
		}
	}
	io.WriteString(c, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-held
	c.Close()
	<-gone
	// Answers that cross with the next request and with the end of the server are given in order or not at all.
	var all sync.WaitGroup
	for range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for n := range 20 {
				io.WriteString(c, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("request %d: %v", n, err)
					return
				}
				io.Copy(io.Discard, r.Body)
			}
		}()
	}
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	for open := true; open; {
		select {
		case h := <-held:
			go h.Answer(Reply{Status: 200, Body: []byte("x")})
		case <-ended:
			open = false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("shutting down: %v", err)
	}
}

// A peer that does not read holds up nobody else.
func TestSlowReader(t *testing.T) {
	addr, s, _, _ := serve(t, Config{WriteTimeout: 50 * time.Millisecond})
	slow, _ := net.Dial("tcp", addr)
	defer slow.Close()
	io.WriteString(slow, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	q, _ := http.NewRequest("GET", "http://"+addr+"/page", nil)
	q.Close = true
	r, err := http.DefaultClient.Do(q)
	if err != nil || r.StatusCode != 200 {
		t.Fatalf("%v, %v", r, err)
	}
	r.Body.Close()
	for s.OpenConnections() > 0 { // until the write has timed out and the connection is ended
		time.Sleep(time.Millisecond)
	}
}

// The client speaks to this server and to net/http's, over connections that are kept.
func TestClient(t *testing.T) {
	addr, s, held, _ := serve(t, Config{})
	c := &Client{}
	defer c.Close()
	for range 3 {
		r, err := c.Call(context.Background(), "GET", addr, "/page", nil)
		if err != nil || r.Status != 200 || string(r.Body) != "page\n" {
			t.Fatalf("%+v, %v", r, err)
		}
	}
	if s.OpenConnections() != 1 {
		t.Errorf("%d connections", s.OpenConnections())
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-held; cancel() }()
	if r, err := c.Call(ctx, "GET", addr, "/held", nil); err == nil {
		t.Errorf("%+v", r)
	}
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	std := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte("a"))
		w.(http.Flusher).Flush() // chunked
		w.Write([]byte("b"))
	})}
	go std.Serve(l)
	defer std.Close()
	if r, err := c.Call(context.Background(), "GET", l.Addr().String(), "/", nil); err != nil || string(r.Body) != "ab" {
		t.Errorf("%+v, %v", r, err)
	}
}

// FuzzRequest feeds any bytes to the reader: a request that is taken is whole and sane, all else is an error.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /page?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /e HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("POST /e HTTP/1.0\r\nContent-Length: 2\r\nConnection: close, x\r\n\r\nhi"))
	f.Add([]byte("OPTIONS * HTTP/1.1\nHost: a\nExpect: 100-continue\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		l := Limits{LineBytes: 200, HeaderBytes: 500, BodyBytes: 100}
		r := newMessageReader(bytes.NewReader(in))
		for range 100 {
			q, err := r.readRequest(l)
			if err != nil {
				return
			}
			if !knownMethods[q.Method] || q.Path == "" || len(q.Header.Values("Host")) > 1 {
				t.Fatalf("taken: %+v", q)
			}
			(&Mux{}).find(q)
			if q.Body, err = r.readBody(q.bodyLength, l); err != nil {
				return
			}
			if int64(len(q.Body)) > l.BodyBytes {
				t.Fatalf("a body of %d bytes", len(q.Body))
			}
		}
	})
}

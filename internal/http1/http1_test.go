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

// testServer is a server with a few routes: a static page, an echo, a large page and one whose requests are held.
type testServer struct {
	*Server
	addr        string
	held        chan *HeldRequest // receives each held request
	disconnects chan struct{}     // receives a value when the peer of a held request disconnects
}

func startServer(t testing.TB, config Config) *testServer {
	t.Helper()
	server := &testServer{held: make(chan *HeldRequest, 10000), disconnects: make(chan struct{}, 10000)}
	mux := &Mux{}
	mux.Handle("GET", "/page", Route{Handler: func(*Request) Reply {
		return Reply{Status: 200, Header: Header("Content-Type", "text/plain"), Body: []byte("page\n")}
	}})
	mux.Handle("POST", "/echo/{name}", Route{MediaTypes: []string{"text/plain"}, Handler: func(request *Request) Reply {
		return Reply{Status: 200, Body: []byte(request.Params["name"] + ":" + string(request.Body) + "\n")}
	}})
	mux.Handle("GET", "/held", Route{Handler: func(request *Request) Reply {
		held := request.Hold(func() { server.disconnects <- struct{}{} })
		server.held <- held
		return Reply{Held: held}
	}})
	mux.Handle("GET", "/large", Route{Handler: func(*Request) Reply {
		return Reply{Status: 200, Body: bytes.Repeat([]byte("x"), 32<<20)}
	}})
	config.Now = func() time.Time { return time.Unix(0, 0) }
	server.Server = NewServer(mux, config)
	listener := listen(t)
	go server.Serve(listener)
	t.Cleanup(func() { listener.Close(); server.Close() })
	server.addr = listener.Addr().String()
	return server
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Each request is sent on a connection of its own. The golden file has the sent bytes, the read error, and the replies
// until the server closes the connection, without their Date fields.
func TestMessages(t *testing.T) {
	server := startServer(t, Config{Limits: Limits{LineBytes: 100, HeaderBytes: 300, BodyBytes: 40}})
	get := "GET /page HTTP/1.1\r\nHost: a\r\n"
	post := "POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n"
	end := "Connection: close\r\n\r\n"
	tests := []string{
		get + end, strings.Replace(get, "GET", "HEAD", 1) + end, "\r\n" + get + end,
		get + "\r\n" + get + "\r\nGET /nothing HTTP/1.1\r\nHost: a\r\n" + end, // pipelined
		"GET /page HTTP/1.0\r\n\r\n",
		"GET /page HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /page HTTP/1.0\r\n\r\n",
		"GET http://a/page HTTP/1.1\r\nHost: a\r\n" + end,
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n" + end, "OPTIONS /page HTTP/1.1\r\nHost: a\r\n" + end,
		"GET /page HTTP/1.1\n" + "Host: a\nConnection: close\n\n", // a bare LF is accepted
		post + "Content-Length: 2\r\n" + "Connection: close\r\n\r\nhi",
		post + "Content-Length: 2, 2\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
		post + "Transfer-Encoding: chunked\r\n" + end + "2;x=y\r\nhi\r\n3\r\n ho\r\n0\r\nTrailer: x\r\n\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
		"POST /echo/a%2Fb HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain; charset=utf-8\r\n" +
			"Content-Length: 0\r\n" + end,
		// rejected requests
		"GET /page HTTP/1.1\r\n\r\n", get + "Host: b\r\n\r\n", "GET /page HTTP/1.1\r\nHost: a b\r\n\r\n",
		get + "X: a\r\n b\r\n\r\n", get + "X : a\r\n\r\n", get + "X: a\rb\r\n\r\n", get + "X: a\x01b\r\n\r\n",
		get + "no field\r\n\r\n",
		"GET  /page HTTP/1.1\r\nHost: a\r\n\r\n", "GET /page\r\n\r\n", "GET /page HTTP/2.0\r\nHost: a\r\n\r\n",
		"GET /page HTTQ/1.1\r\n\r\n",
		"GET page HTTP/1.1\r\nHost: a\r\n\r\n", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
		"BREW /page HTTP/1.1\r\nHost: a\r\n\r\n", "DELETE /page HTTP/1.1\r\nHost: a\r\n" + end,
		"GET /echo/x HTTP/1.1\r\nHost: a\r\n" + end,
		post + "Content-Length: -1\r\n\r\n", post + "Content-Length: 1x\r\n\r\n",
		post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		post + "Content-Length: +2\r\n\r\nhi", post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n2\r\nhiho\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		post + "Content-Length: 41\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\n29\r\n",
		"POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nhi",
		post + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
		post + "Expect: a-miracle\r\nContent-Length: 2\r\n\r\n",
		"GET /" + strings.Repeat("p", 200) + " HTTP/1.1\r\nHost: a\r\n\r\n",
		get + "X: " + strings.Repeat("x", 200) + "\r\n\r\n",
		get + strings.Repeat("X: "+strings.Repeat("x", 80)+"\r\n", 5) + "\r\n",
	}
	var trace strings.Builder
	for _, sent := range tests {
		conn := dial(t, server.addr)
		io.WriteString(conn, sent)
		received, err := io.ReadAll(conn)
		conn.Close()
		fmt.Fprintf(&trace, "%.150q %v\n", sent, err)
		for _, line := range strings.Split(strings.TrimSuffix(string(received), "\n"), "\n") {
			line = strings.TrimSuffix(line, "\r")
			if line != "" && !strings.HasPrefix(line, "Date: Thu, 01 Jan 1970 00:00:00 GMT") {
				fmt.Fprintf(&trace, "    %s\n", line)
			}
		}
	}
	golden.Compare(t, "messages", trace.String())
}

// A header or a body that is not complete in time gets 408 Request Timeout, and an idle connection is closed without a
// reply.
func TestTimeouts(t *testing.T) {
	const timeout = 30 * time.Millisecond
	server := startServer(t, Config{HeaderTimeout: timeout, BodyTimeout: timeout, IdleTimeout: timeout})
	for sent, want := range map[string]string{
		"":        "^$",
		"GET /pa": "^HTTP/1.1 408 ",
		"POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nab": "^HTTP/1.1 408 ",
	} {
		conn := dial(t, server.addr)
		io.WriteString(conn, sent)
		received, _ := io.ReadAll(conn)
		if !regexp.MustCompile(want).Match(received) {
			t.Errorf("reply to %q: got %q, want a match of %q", sent, received, want)
		}
		conn.Close()
	}
}

// A connection beyond Config.MaxConns gets 503 Service Unavailable.
func TestMaxConns(t *testing.T) {
	server := startServer(t, Config{MaxConns: 2})
	for range 2 {
		conn := dial(t, server.addr)
		defer conn.Close()
		io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
		<-server.held
	}
	conn := dial(t, server.addr)
	defer conn.Close()
	received, _ := io.ReadAll(conn)
	reply := string(received)
	if !strings.HasPrefix(reply, "HTTP/1.1 503 ") || !strings.Contains(reply, "Retry-After: 1\r\n") {
		t.Errorf("reply on the third connection: got %q, want 503 with Retry-After: 1", reply)
	}
	if open := server.OpenConnections(); open != 2 {
		t.Errorf("open connections: got %d, want 2", open)
	}
}

// The replies are in the order of pipelined requests, a peer that disconnects is detected, and only the first answer
// counts.
func TestHeldRequests(t *testing.T) {
	server := startServer(t, Config{})
	conn := dial(t, server.addr)
	io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	held := <-server.held
	io.WriteString(conn, "GET /page HTTP/1.1\r\nHost: a\r\n\r\n")
	held.Answer(Reply{Status: 200, Body: []byte("first\n")})
	held.Answer(Reply{Status: 200, Body: []byte("second\n")})
	reader := bufio.NewReader(conn)
	for _, want := range []string{"first\n", "page\n"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(response.Body); string(got) != want {
			t.Errorf("body of the response: got %q, want %q", got, want)
		}
	}
	io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-server.held
	conn.Close()
	<-server.disconnects
}

// Many connections repeat held requests, so that answers race with reads of the next request. Each request is answered,
// and Shutdown then ends all connections.
func TestConcurrentHeldRequests(t *testing.T) {
	server := startServer(t, Config{})
	var clients sync.WaitGroup
	for range 50 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := net.Dial("tcp", server.addr)
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := range 20 {
				io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Errorf("reading the response to request %d: %v", n, err)
					return
				}
				io.Copy(io.Discard, response.Body)
			}
		}()
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	for running := true; running; {
		select {
		case held := <-server.held:
			go held.Answer(Reply{Status: 200, Body: []byte("x")})
		case <-done:
			running = false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: got the error %v, want none", err)
	}
}

// A client that does not read its reply does not delay other connections, and its connection is closed after
// Config.WriteTimeout.
func TestSlowReader(t *testing.T) {
	server := startServer(t, Config{WriteTimeout: 50 * time.Millisecond})
	slow := dial(t, server.addr)
	defer slow.Close()
	io.WriteString(slow, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	request, _ := http.NewRequest("GET", "http://"+server.addr+"/page", nil)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil || response.StatusCode != 200 {
		t.Fatalf("response on another connection: got %v, error %v, want 200", response, err)
	}
	response.Body.Close()
	for server.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// The client reuses its connection, ends a request with its context, and reads chunked responses of net/http.
func TestClient(t *testing.T) {
	server := startServer(t, Config{})
	client := &Client{}
	defer client.Close()
	for range 3 {
		response, err := client.Call(context.Background(), "GET", server.addr, "/page", nil)
		if err != nil || response.Status != 200 || string(response.Body) != "page\n" {
			t.Fatalf("response of /page: got %+v, error %v, want 200 and the body \"page\\n\"", response, err)
		}
	}
	if open := server.OpenConnections(); open != 1 {
		t.Errorf("open connections: got %d, want 1", open)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-server.held; cancel() }()
	if response, err := client.Call(ctx, "GET", server.addr, "/held", nil); err == nil {
		t.Errorf("canceled request: got %+v, want an error", response)
	}
	listener := listen(t)
	standard := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte("a"))
		w.(http.Flusher).Flush() // makes the response chunked
		w.Write([]byte("b"))
	})}
	go standard.Serve(listener)
	defer standard.Close()
	response, err := client.Call(context.Background(), "GET", listener.Addr().String(), "/", nil)
	if err != nil || string(response.Body) != "ab" {
		t.Errorf("chunked response: got %+v, error %v, want the body \"ab\"", response, err)
	}
}

// FuzzRequest reads arbitrary bytes as requests. An accepted request has a known method, a path, at most one Host field
// and a body within the limit.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /page?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /e HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("POST /e HTTP/1.0\r\nContent-Length: 2\r\nConnection: close, x\r\n\r\nhi"))
	f.Add([]byte("OPTIONS * HTTP/1.1\nHost: a\nExpect: 100-continue\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		limits := Limits{LineBytes: 200, HeaderBytes: 500, BodyBytes: 100}
		reader := newMessageReader(bytes.NewReader(input))
		for range 100 {
			request, err := reader.readRequest(limits)
			if err != nil {
				return
			}
			if !knownMethods[request.Method] || request.Path == "" || len(request.Header.Values("Host")) > 1 {
				t.Fatalf("accepted an invalid request: %+v", request)
			}
			(&Mux{}).find(request)
			if request.Body, err = reader.readBody(request.bodyLength, limits); err != nil {
				return
			}
			if int64(len(request.Body)) > limits.BodyBytes {
				t.Fatalf("body of an accepted request: got %d bytes, want at most %d", len(request.Body), limits.BodyBytes)
			}
		}
	})
}

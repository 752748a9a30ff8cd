package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	hostileClients = 300
	measureEvery   = 20 // clients

	// testMemoryBytes is the memory for requests of the servers of these tests.
	testMemoryBytes = 16 << 20

	// memoryAllowance is the memory that connections may use besides: stacks, buffers and small requests.
	memoryAllowance = hostileClients * 64 << 10

	// floodReplyBytes is how much of the replies to a flood is read before the others' replies are timed.
	floodReplyBytes = 1 << 20

	// promptReply bounds the wait of a well-behaved client beside hostile ones.
	promptReply = time.Second

	testTimeout = 10 * time.Second
)

// heapBytes returns the memory that is in use, without garbage.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// expectPromptReply checks that a client on a new connection gets a reply within promptReply.
func expectPromptReply(t *testing.T, server *testServer) {
	t.Helper()
	began := time.Now()
	conn := dial(t, server.addr)
	defer conn.Close()
	expectReplySince(t, conn, began)
}

// expectReplySince sends a request, and checks that its reply comes within promptReply of an instant.
func expectReplySince(t *testing.T, conn net.Conn, began time.Time) {
	t.Helper()
	conn.SetDeadline(began.Add(2 * testTimeout))
	io.WriteString(conn, "GET /page HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(began)
	t.Logf("reply after %v", took)
	if err != nil || response.StatusCode != 200 || took > promptReply {
		t.Errorf("reply %v, error %v after %v, want status 200 within %v", response, err, took, promptReply)
	}
}

// Guards against a process that is killed for its memory: hundreds of clients stop half way through a large request,
// only announce it, or send very many short header fields.
func TestMemoryOfUnfinishedRequests(t *testing.T) {
	post := "POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n"
	var fields strings.Builder
	for i := 0; fields.Len() < 31<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	for name, request := range map[string]string{
		"announced body": post + "Content-Length: 4000000\r\n\r\n",
		"half a body":    post + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 2000000),
		"half a chunk":   post + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 2000000),
		"short fields":   post + fields.String(),
	} {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			server := startServer(t, Config{MemoryBytes: testMemoryBytes})
			used := int64(0)
			for i := range hostileClients {
				conn := dial(t, server.addr)
				defer conn.Close()
				conn.SetWriteDeadline(time.Now().Add(testTimeout))
				io.WriteString(conn, request)
				if i%measureEvery == measureEvery-1 {
					used = max(used, heapBytes()-before)
				}
			}
			t.Logf("%.1f MB in use at the most", float64(used)/(1<<20))
			if used > testMemoryBytes+memoryAllowance {
				t.Errorf("%d bytes are in use, want at most %d", used, testMemoryBytes+memoryAllowance)
			}
			expectPromptReply(t, server)
		})
	}
}

// One client sends small or unsound requests on one connection at full speed. Others must be served as promptly.
func TestPromptReplyBesideFlood(t *testing.T) {
	for name, request := range map[string]string{
		"pages":       "GET /page HTTP/1.1\r\nHost: a\r\n\r\n",
		"not found":   "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n",
		"empty posts": "POST /echo/x HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, Config{})
			conn := dial(t, server.addr)
			flooded := make(chan struct{})
			go func() {
				io.CopyN(io.Discard, conn, floodReplyBytes)
				close(flooded)
				io.Copy(io.Discard, conn)
			}()
			go func() {
				requests := []byte(strings.Repeat(request, 1000))
				for {
					if _, err := conn.Write(requests); err != nil {
						return
					}
				}
			}()
			<-flooded
			for range 10 {
				expectPromptReply(t, server)
			}
			conn.Close()
		})
	}
}

// Guards against requests that are handled after their client has left: they were pipelined behind another one, which
// is held or takes its time.
func TestPipelinedRequestsOfClosedConnection(t *testing.T) {
	for _, first := range []string{"/held", "/slow"} {
		t.Run(first, func(t *testing.T) {
			server, release, handled := startSlowServer(t)
			conn := dial(t, server.addr)
			pipelined := strings.Repeat("POST /count HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 200)
			io.WriteString(conn, "GET "+first+" HTTP/1.1\r\nHost: a\r\n\r\n"+pipelined)
			release(conn)
			waitFor(t, "the connection ends", func() bool { return server.OpenConnections() == 0 })
			if got := len(handled); got != 0 {
				t.Errorf("%d requests were handled after their client had left, want none", got)
			}
		})
	}
}

// startSlowServer starts a server whose requests for /held and /slow are answered only once their client has closed its
// connection: release closes the connection and then has them answered. handled gets an element for each request
// for /count.
func startSlowServer(t *testing.T) (server *testServer, release func(net.Conn), handled chan struct{}) {
	handled = make(chan struct{}, 1000)
	slow := make(chan struct{})
	arrived := make(chan *HeldRequest, 1)
	server = startServer(t, Config{})
	server.mux.Handle("POST", "/count", Route{Handler: func(*Request) Reply {
		handled <- struct{}{}
		return Reply{Status: 204}
	}})
	server.mux.Handle("GET", "/slow", Route{Handler: func(*Request) Reply {
		arrived <- nil
		<-slow
		return Reply{Status: 204}
	}})
	server.mux.Handle("GET", "/held", Route{Handler: func(request *Request) Reply {
		held := request.Hold(func() {})
		arrived <- held
		return Reply{Held: held}
	}})
	release = func(conn net.Conn) {
		held := <-arrived
		conn.Close()
		waitFor(t, "the server's end knows that the client has left", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			for served := range server.conns {
				return peerHasClosed(served.netConn)
			}
			return true
		})
		close(slow)
		if held != nil {
			held.Answer(Reply{Status: 204})
		}
	}
	return server, release, handled
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: want that %s", what)
		}
	}
}

// failingListener fails to accept, as in a process without free file descriptors, until it is closed.
type failingListener struct {
	net.Listener
	failures int // left until the listener is closed
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// Guards against a server that stops accepting connections for good once its process had no free file descriptor for
// some seconds.
func TestServeAfterLackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 100
		reported := 0
		server := NewServer(&Mux{}, Config{AcceptError: func(error) { reported++ }})
		listener := &failingListener{failures: failures}
		if err := server.Serve(listener); err != nil || listener.failures != 0 {
			t.Errorf("Serve ended with error %v, %d failures before the listener was closed", err, listener.failures)
		}
		if reported != failures {
			t.Errorf("%d errors reported, want %d", reported, failures)
		}
	})
}

// Guards against a process that is killed for its memory: clients ask for large replies, one after the other, and read
// none.
func TestMemoryOfUnreadReplies(t *testing.T) {
	const clients, requests, replyBytes = 100, 8, 1 << 20
	server := startServer(t, Config{MemoryBytes: testMemoryBytes, WriteTimeout: 2 * testTimeout})
	answered := make(chan struct{}, clients*requests)
	server.mux.Handle("GET", "/fresh", Route{Handler: func(*Request) Reply {
		answered <- struct{}{}
		return Reply{Status: 200, Body: make([]byte, replyBytes)}
	}})
	before := heapBytes()
	for range clients {
		conn := dial(t, server.addr)
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		io.WriteString(conn, strings.Repeat("GET /fresh HTTP/1.1\r\nHost: a\r\n\r\n", requests))
		<-answered
	}
	waitFor(t, "only the replies that are written use memory", func() bool {
		used := heapBytes() - before
		t.Logf("%.1f MB in use", float64(used)/(1<<20))
		return used <= testMemoryBytes+memoryAllowance
	})
	expectPromptReply(t, server)
}

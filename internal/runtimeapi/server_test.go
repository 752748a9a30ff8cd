package runtimeapi_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"barleysail/controller"
	"barleysail/internal/runtimeapi"
)

const testTimeout = 20 * time.Second // for each wait that ends in a correct program

// testServer is a server of a fakeController on a loopback listener.
type testServer struct {
	*runtimeapi.Server
	controller *fakeController
	address    string
}

func serve(t *testing.T, settings runtimeapi.Config) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := newFakeController(t)
	server := runtimeapi.New(fake, settings)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: got error %v, want none", err)
		}
	})
	return &testServer{Server: server, controller: fake, address: listener.Addr().String()}
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// ask sends text on a new connection and returns everything that the server sends until it closes the connection.
func (s *testServer) ask(t *testing.T, text string) string {
	t.Helper()
	conn := s.dial(t)
	send(t, conn, text)
	return readAll(t, conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func readAll(t *testing.T, reader io.Reader) string {
	t.Helper()
	answer, err := io.ReadAll(reader)
	if err != nil {
		t.Fatalf("reading failed after %q: %v", answer, err)
	}
	return string(answer)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: want that %s", what)
		}
	}
}

// A line or payload that is too long ends the connection.
func TestTooLong(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin, MaxLineBytes: 64})
	line := strings.Repeat("a", 64)
	if answer, want := server.ask(t, line), "The command is too long.\n\n"; answer != want {
		t.Errorf("long line: got %q, want %q", answer, want)
	}
	payloadLine := strings.Repeat("b", 40) + "\n"
	if answer := server.ask(t, "get weight <<\n"+payloadLine+payloadLine); answer != "" {
		t.Errorf("long payload: got %q, want no answer", answer)
	}
}

// A command is dropped if the client closes the connection before the end of its payload.
func TestUnfinishedPayload(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	conn := server.dial(t)
	send(t, conn, "get weight sheet/10.0.0.2:80 <<\nx\n")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if answer := readAll(t, conn); answer != "" {
		t.Errorf("unfinished payload: got %q, want no answer", answer)
	}
}

// A connection without a command is closed after the idle timeout.
func TestIdleTimeout(t *testing.T) {
	server := serve(t, runtimeapi.Config{IdleTimeout: 20 * time.Millisecond})
	if answer := server.ask(t, ""); answer != "" {
		t.Errorf("idle connection: got %q, want no answer", answer)
	}
}

// Connections beyond the limit wait until another one ends.
func TestMaxConnections(t *testing.T) {
	server := serve(t, runtimeapi.Config{MaxConnections: 1})
	first := server.dial(t)
	send(t, first, "prompt\n")
	reader := bufio.NewReader(first)
	if _, err := reader.ReadString('>'); err != nil {
		t.Fatal(err)
	}
	second := server.dial(t)
	send(t, second, "show backend\n")
	send(t, first, "quit\n")
	readAll(t, reader)
	if answer, want := readAll(t, second), "# name\nsheet\nfinish\n\n"; answer != want {
		t.Errorf("second connection: got %q, want %q", answer, want)
	}
}

// Close ends connections that wait for a command.
func TestClose(t *testing.T) {
	server := serve(t, runtimeapi.Config{})
	conn := server.dial(t)
	send(t, conn, "prompt\n")
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadString('>'); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if rest := readAll(t, reader); rest != " " {
		t.Errorf("after the prompt's >: got %q, want a space", rest)
	}
	if answer := server.ask(t, ""); answer != "" {
		t.Errorf("closed server: got %q, want no answer", answer)
	}
}

// show events -w prints events as they are published, until the client sends anything.
func TestFollowEvents(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	conn := server.dial(t)
	send(t, conn, "show events -w\n")
	waitFor(t, "the session waits for events", func() bool { return server.controller.followerCount() == 1 })
	server.controller.publish(controller.Event{Number: 3, AtMs: 2000, Kind: "left", Text: "p"})
	reader := bufio.NewReader(conn)
	for number := 1; number <= 3; number++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if want := "<" + strconv.Itoa(number) + "> 1970-01-01T00:00:0"; !strings.HasPrefix(line, want) {
			t.Errorf("event %d: got %q, want a line that begins with %q", number, line, want)
		}
	}
	send(t, conn, "\n")
	if rest := readAll(t, reader); rest != "" {
		t.Errorf("after the last event: got %q, want nothing", rest)
	}
	waitFor(t, "the session no longer waits for events", func() bool { return server.controller.followerCount() == 0 })
}

var errAccept = errors.New("too many open files")

// failingListener fails to accept connections until it is closed.
type failingListener struct {
	net.Listener
	failures int // left until the listener is closed
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, errAccept
}

// Each failed accept is reported, and the server goes on to accept until the listener is closed.
func TestServeReportsFailedAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 3
		var reported []error
		report := func(err error) { reported = append(reported, err) }
		server := runtimeapi.New(newFakeController(t), runtimeapi.Config{AcceptError: report})
		if err := server.Serve(&failingListener{failures: failures}); err != nil {
			t.Errorf("Serve: got error %v, want none", err)
		}
		if len(reported) != failures || !errors.Is(errors.Join(reported...), errAccept) {
			t.Errorf("reported errors: got %v, want %d times %v", reported, failures, errAccept)
		}
	})
}

// << marks a payload only at the start of the last word of a line. The rest of that word is the terminator.
func TestNoPayload(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	for _, line := range []string{"show table a<<", "show table << a b"} {
		if answer, want := server.ask(t, line+"\n"), "No such table\n\n"; answer != want {
			t.Errorf("%s: got %q, want %q", line, answer, want)
		}
	}
}

package runtimeapi_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"barleysail/controller"
	"barleysail/internal/runtimeapi"
)

const testTimeout = 20 * time.Second // for anything that is sure to happen

// testServer is a server on a loopback listener.
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
			t.Errorf("serving ended with %v", err)
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

// ask sends text and returns all that comes until the server closes the connection.
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
		t.Fatalf("%v after %q", err, answer)
	}
	return string(answer)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// A line or payload that is too long ends the connection.
func TestTooLong(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin, MaxLineBytes: 64})
	line := strings.Repeat("a", 64)
	if answer := server.ask(t, line); answer != "The command is too long.\n\n" {
		t.Errorf("a long line: %q", answer)
	}
	payloadLine := strings.Repeat("b", 40) + "\n"
	if answer := server.ask(t, "get weight <<\n"+payloadLine+payloadLine); answer != "" {
		t.Errorf("a long payload: %q", answer)
	}
}

// A payload that the client does not finish is dropped with its command.
func TestUnfinishedPayload(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	conn := server.dial(t)
	send(t, conn, "get weight sheet/10.0.0.2:80 <<\nx\n")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if answer := readAll(t, conn); answer != "" {
		t.Errorf("answer %q", answer)
	}
}

// A connection without commands is closed.
func TestIdleTimeout(t *testing.T) {
	server := serve(t, runtimeapi.Config{IdleTimeout: 20 * time.Millisecond})
	if answer := server.ask(t, ""); answer != "" {
		t.Errorf("answer %q", answer)
	}
}

// Connections beyond the limit wait until another ends.
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
	if answer := readAll(t, second); answer != "# name\nsheet\nfinish\n\n" {
		t.Errorf("answer %q", answer)
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
		t.Errorf("after the prompt: %q", rest)
	}
	if answer := server.ask(t, ""); answer != "" {
		t.Errorf("a closed server answered %q", answer)
	}
}

// show events -w prints events as they are published, until the client sends anything.
func TestFollowEvents(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	conn := server.dial(t)
	send(t, conn, "show events -w\n")
	waitFor(t, "the session follows", func() bool { return server.controller.followerCount() == 1 })
	server.controller.publish(controller.Event{Number: 3, AtMs: 2000, Kind: "left", Text: "p"})
	reader := bufio.NewReader(conn)
	for number := 1; number <= 3; number++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(line, "<"+strconv.Itoa(number)+"> 1970-01-01T00:00:0") {
			t.Errorf("event %d: %q", number, line)
		}
	}
	send(t, conn, "\n")
	if rest := readAll(t, reader); rest != "" {
		t.Errorf("after the end: %q", rest)
	}
	waitFor(t, "the session stops following", func() bool { return server.controller.followerCount() == 0 })
}

var errAccept = errors.New("too many open files")

// failingListener fails to accept connections.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, errAccept }

func TestServeReportsFailedAccept(t *testing.T) {
	server := runtimeapi.New(newFakeController(t), runtimeapi.Config{})
	if err := server.Serve(failingListener{}); !errors.Is(err, errAccept) {
		t.Errorf("serving ended with %v", err)
	}
}

// What follows << has to be one word for a payload.
func TestNoPayload(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	for _, line := range []string{"show table a<<", "show table << a b"} {
		if answer := server.ask(t, line+"\n"); answer != "No such table\n\n" {
			t.Errorf("%s: %q", line, answer)
		}
	}
}

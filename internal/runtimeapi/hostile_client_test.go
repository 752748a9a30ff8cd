package runtimeapi_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"barleysail/internal/runtimeapi"
)

// promptAnswer bounds the wait of a well-behaved client beside hostile ones.
const promptAnswer = 3 * time.Second

// pipeListener is a listener of in-memory connections, for tests on a scripted clock.
type pipeListener struct {
	accepted chan net.Conn // closed when the listener is closed
	failures int           // failed accepts before the first connection
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	conn, ok := <-l.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// connect returns the client's end of a new connection. It does not wait until the server accepts it.
func (l *pipeListener) connect() net.Conn {
	client, server := net.Pipe()
	go func() { l.accepted <- server }()
	return client
}

// runOnPipes runs a test on a scripted clock with a server of in-memory connections. failures is that of the listener.
func runOnPipes(t *testing.T, settings runtimeapi.Config, failures int,
	test func(*testing.T, *pipeListener, *fakeController)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{accepted: make(chan net.Conn), failures: failures}
		controller := newFakeController(t)
		server := runtimeapi.New(controller, settings)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		test(t, listener, controller)
		server.Close()
		synctest.Wait()
		close(listener.accepted)
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
}

// answerWithin returns the answer to a line on a new connection and fails the test if it comes later than promptAnswer.
func answerWithin(t *testing.T, listener *pipeListener, line string) string {
	t.Helper()
	began := time.Now()
	conn := listener.connect()
	_ = conn.SetDeadline(began.Add(10 * time.Minute))
	_, _ = io.WriteString(conn, line)
	answer, err := io.ReadAll(conn)
	if took := time.Since(began); err != nil || took > promptAnswer {
		t.Errorf("answer after %v with error %v, want it within %v", took, err, promptAnswer)
	}
	return string(answer)
}

// Guards against clients that keep all others out: they connect and send nothing, or half a command.
func TestIdleConnectionsGiveWay(t *testing.T) {
	for name, sent := range map[string]string{"silent": "", "half a command": "show st", "prompt": "prompt\n"} {
		t.Run(name, func(t *testing.T) {
			const most = 4
			test := func(t *testing.T, listener *pipeListener, _ *fakeController) {
				for range 3 * most {
					conn := listener.connect()
					go func() {
						_, _ = io.WriteString(conn, sent)
						_, _ = io.Copy(io.Discard, conn)
					}()
				}
				synctest.Wait()
				if answer := answerWithin(t, listener, "show backend\n"); !strings.Contains(answer, "sheet") {
					t.Errorf("answer %q, want the backends", answer)
				}
			}
			runOnPipes(t, runtimeapi.Config{MaxConnections: most}, 0, test)
		})
	}
}

// Guards against a client that holds its connection for good: it reads nothing of a long answer.
func TestUnreadAnswerEndsConnection(t *testing.T) {
	const writeTimeout = 10 * time.Second
	test := func(t *testing.T, listener *pipeListener, _ *fakeController) {
		conn := listener.connect()
		go func() { _, _ = io.WriteString(conn, strings.Repeat("show servers state;", 100)+"\n") }()
		time.Sleep(2 * writeTimeout)
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write([]byte{'\n'}); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("writing %v after the command: error %v, want the connection closed", 2*writeTimeout, err)
		}
		_ = conn.Close()
	}
	runOnPipes(t, runtimeapi.Config{WriteTimeout: writeTimeout, Level: runtimeapi.Operator}, 0, test)
}

// Guards against commands that run after their client has left.
func TestCommandsOfClosedConnection(t *testing.T) {
	test := func(t *testing.T, listener *pipeListener, controller *fakeController) {
		conn := listener.connect()
		_, _ = io.WriteString(conn, strings.Repeat("set server sheet/10.0.0.1:80 state drain;", 50)+"\n")
		_ = conn.Close()
		synctest.Wait()
		if run := strings.Count(controller.takeCommands(), "= "); run > 1 {
			t.Errorf("%d commands ran, want at most the first: its client had left", run)
		}
	}
	runOnPipes(t, runtimeapi.Config{Level: runtimeapi.Admin}, 0, test)
}

// Guards against a server that stops accepting connections for good once its process had no free file descriptor.
func TestAcceptAfterLackOfDescriptors(t *testing.T) {
	test := func(t *testing.T, listener *pipeListener, _ *fakeController) {
		conn := listener.connect()
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		_, _ = io.WriteString(conn, "show backend\n")
		if answer, err := io.ReadAll(conn); err != nil || len(answer) == 0 {
			t.Errorf("answer %q with error %v, want the backends", answer, err)
		}
	}
	runOnPipes(t, runtimeapi.Config{}, 20, test)
}

// One client sends commands at full speed on one connection. Others must be answered as promptly.
func TestPromptAnswerBesideFlood(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	for _, line := range []string{"show stat\n", "no command\n", "set weight sheet/10.0.0.1:80 50%\n"} {
		flooding := server.dial(t)
		flooded := make(chan struct{})
		go func() {
			_, _ = io.CopyN(io.Discard, flooding, 1<<20)
			close(flooded)
			_, _ = io.Copy(io.Discard, flooding)
		}()
		go func() {
			lines := "prompt\n" + strings.Repeat(line, 1000)
			for {
				if _, err := io.WriteString(flooding, lines); err != nil {
					return
				}
			}
		}()
		<-flooded
		began := time.Now()
		server.ask(t, "show backend\n")
		if took := time.Since(began); took > promptAnswer {
			t.Errorf("beside a flood of %q: answer after %v, want it within %v", line, took, promptAnswer)
		} else {
			t.Logf("beside a flood of %q: answer after %v", line, took)
		}
		_ = flooding.Close()
	}
}

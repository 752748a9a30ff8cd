package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// eventTimeout bounds each wait for something that a correct program does within milliseconds.
	eventTimeout = 10 * time.Second
	// buildTimeout bounds the compilation of the program, which may start from an empty build cache.
	buildTimeout = 5 * time.Minute
)

// buildProgram compiles the command into the directory and returns its path.
func buildProgram(t *testing.T, directory string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), buildTimeout)
	defer cancel()
	program := filepath.Join(directory, "barleysail")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, output)
	}
	return program
}

// nodeProcess is a running "barleysail node" that a test started. It is killed at the end of the test.
type nodeProcess struct {
	command *exec.Cmd
	log     processLog
	exited  chan struct{} // closed when the process has ended and its log is read to the end
	exitErr error         // what exec.Cmd.Wait returned; to be read after exited is closed
	logRead int           // number of bytes of the log that waitForLog has consumed
}

// startNode starts the program with the configuration file.
func startNode(t *testing.T, program, configFile string) *nodeProcess {
	t.Helper()
	process := &nodeProcess{command: exec.Command(program, "node"), exited: make(chan struct{})}
	process.log.grown = make(chan struct{}, 1)
	process.command.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	process.command.Stderr = &process.log
	if err := process.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		process.exitErr = process.command.Wait()
		close(process.exited)
	}()
	t.Cleanup(func() {
		if err := process.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
		<-process.exited
	})
	return process
}

// signal sends a signal; a process that has already ended fails the test.
func (p *nodeProcess) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("sending %v: %v%s", signal, err, p.diagnosis())
	}
}

// waitForLog waits for a log line that contains the text, after the lines already consumed, and returns it.
func (p *nodeProcess) waitForLog(t *testing.T, text string) string {
	t.Helper()
	timeout := time.NewTimer(eventTimeout)
	defer timeout.Stop()
	for ended := false; ; {
		if line, found := p.nextLine(text); found {
			return line
		}
		if ended {
			t.Fatalf("the program ended without a log line that contains %q%s", text, p.diagnosis())
		}
		select {
		case <-p.log.grown:
		case <-p.exited: // search the last lines once more
			ended = true
		case <-timeout.C:
			t.Fatalf("got no log line that contains %q within %v%s", text, eventTimeout, p.diagnosis())
		}
	}
}

// nextLine consumes complete lines of the log up to one that contains the text. found is false if there is none yet.
func (p *nodeProcess) nextLine(text string) (line string, found bool) {
	for {
		line, _, complete := strings.Cut(p.log.String()[p.logRead:], "\n")
		if !complete {
			return "", false
		}
		p.logRead += len(line) + len("\n")
		if strings.Contains(line, text) {
			return line, true
		}
	}
}

// waitForListCall waits for the program to connect to the listener, which stands for the endpoint list's server, and
// closes the connection without a response. No other process knows the listener's address.
func (p *nodeProcess) waitForListCall(t *testing.T, listener *net.TCPListener) {
	t.Helper()
	if err := listener.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = connection.Close()
		}
		accepted <- err
	}()
	select {
	case err := <-accepted:
		if err != nil {
			t.Fatalf("got no connection for the endpoint list at %v: %v%s", listener.Addr(), err, p.diagnosis())
		}
	case <-p.exited:
		t.Fatalf("the program ended without a connection for the endpoint list at %v%s", listener.Addr(), p.diagnosis())
	}
}

// waitForExit waits until the process has ended and returns what exec.Cmd.Wait returned.
func (p *nodeProcess) waitForExit(t *testing.T) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(eventTimeout):
		t.Fatalf("the program runs for more than %v, want it to end%s", eventTimeout, p.diagnosis())
		return nil
	}
}

// diagnosis describes the state of the process and its log, for failure messages.
func (p *nodeProcess) diagnosis() string {
	status := "still running"
	select {
	case <-p.exited:
		status = fmt.Sprintf("ended with error %v", p.exitErr)
	default:
	}
	return fmt.Sprintf(" (process %s); log:\n%s", status, p.log.String())
}

// processLog collects what a process writes to its standard error.
type processLog struct {
	mu    sync.Mutex
	text  strings.Builder
	grown chan struct{} // holds one element if there may be text that the reader has not seen
}

func (l *processLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.grown <- struct{}{}:
	default:
	}
	return l.text.Write(text)
}

// String returns what was written so far.
func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// listen opens a listener on the loopback interface that is closed when the test ends.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener
}

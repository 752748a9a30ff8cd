package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// shutdownLimit is the time from SIGTERM within which the program must end, since the platform then sends SIGKILL.
const shutdownLimit = 700 * time.Millisecond

const nodeSettings = `{"Discovery":"automatic","FailureDomains":["a"],"Index":0,"Instances":1,
	"FamilyInfo":{"BareUs":5000000,"ChannelRate":1000,"MostWaiting":1000,"IntervalUs":1000000,"PerMessage":5,
	"DataPlaneSize":4},"Rules":{"ColdFrom":0.2,"ColdUs":9000000,"StopSendingWithinUs":2000000,"FallMultiple":3,
	"FallUs":2000000},"Services":[{"Name":"read","AimUs":500000,"HardLimitUs":900000,"Value":1,"Effect":"idempotent"}]}`

// nodeConfig returns a configuration whose endpoint list is served at the listener.
func nodeConfig(list *net.TCPListener, settings string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1f","settings":%s}`,
		list.Addr(), settings)
}

// writeFile replaces the contents of a file.
func writeFile(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// The program names what is wrong with its configuration when it starts, and answers PING. On SIGHUP it connects to the
// endpoint list's new address, or keeps its configuration if the new one cannot be read. On SIGTERM it ends with
// status 0.
func TestNode(t *testing.T) {
	directory := t.TempDir()
	program := buildProgram(t, directory)
	configFile := filepath.Join(directory, "config.json")
	firstList, secondList := listen(t), listen(t)

	writeFile(t, configFile, nodeConfig(firstList, strings.Replace(nodeSettings, "BareUs", "Bare", 1)))
	expectConfigError(t, program, configFile, "setting FamilyInfo.BareUs is missing\n")

	writeFile(t, configFile, nodeConfig(firstList, nodeSettings))
	process := startNode(t, program, configFile)
	address := listenAddress(t, process.waitForLog(t, "in service"))
	process.waitForListCall(t, firstList)
	expectPong(t, address)
	writeFile(t, configFile, nodeConfig(secondList, nodeSettings))
	process.signal(t, syscall.SIGHUP)
	process.waitForListCall(t, secondList)
	writeFile(t, configFile, []byte("{"))
	process.signal(t, syscall.SIGHUP)
	process.waitForLog(t, "reloading the configuration failed")
	expectPong(t, address)
	process.signal(t, syscall.SIGTERM)
	process.waitForLog(t, "stopped")
	if err := process.waitForExit(t); err != nil {
		t.Errorf("after SIGTERM: got error %v, want exit code 0", err)
	}
}

// expectConfigError runs the program with an invalid configuration. It must fail with one line of output that ends with
// the text.
func expectConfigError(t *testing.T, program, configFile, ending string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, "node")
	command.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	output, err := command.CombinedOutput()
	if err == nil || !strings.HasSuffix(string(output), ending) || strings.Count(string(output), "\n") != 1 {
		t.Errorf("invalid configuration: got error %v and output %q, want an error and one line that ends with %q", err,
			output, ending)
	}
}

// listenAddress returns the address in the log line that the program writes once it listens.
func listenAddress(t *testing.T, line string) string {
	t.Helper()
	var fields struct{ Listen string }
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		t.Fatalf("log line %q: %v", line, err)
	}
	return fields.Listen
}

// expectPong sends PING on a new connection and expects PONG.
func expectPong(t *testing.T, address string) {
	t.Helper()
	connection, err := net.DialTimeout("tcp", address, eventTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close() //nolint:errcheck // the test is done with it
	if err := connection.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(connection, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 14)
	want := "*1\r\n$4\r\nPONG\r\n"
	if _, err := io.ReadFull(connection, answer); err != nil || string(answer) != want {
		t.Fatalf("PING: got %q, error %v, want %q", answer, err, want)
	}
}

// A signal may arrive before the previous one is handled. SIGTERM before the configuration is read, or during the
// reload of an incomplete configuration, must end the program with status 0 within shutdownLimit. After two SIGHUPs in
// a row the latest configuration applies. Each subtest has its own listeners: a connection that the program of another
// subtest left in a listener's queue would be taken for one of this subtest's program.
func TestNodeSignals(t *testing.T) {
	program := buildProgram(t, t.TempDir())
	t.Run("before the configuration", func(t *testing.T) {
		pipe := filepath.Join(t.TempDir(), "pipe")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		process := startNode(t, program, pipe)
		writer := openPipeForWriting(t, pipe, process)
		began := time.Now()
		process.signal(t, syscall.SIGTERM)
		if _, err := writer.Write(nodeConfig(listen(t), nodeSettings)); err != nil {
			t.Fatal(err)
		}
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
		expectShutdown(t, process, began)
	})
	t.Run("in a row", func(t *testing.T) {
		configFile := filepath.Join(t.TempDir(), "config.json")
		firstList, secondList, thirdList := listen(t), listen(t), listen(t)
		second, third := nodeConfig(secondList, nodeSettings), nodeConfig(thirdList, nodeSettings)

		writeFile(t, configFile, nodeConfig(firstList, nodeSettings))
		process := startNode(t, program, configFile)
		process.waitForListCall(t, firstList)
		writeFile(t, configFile, second[:50]) // incomplete, as while the file is being replaced
		process.signal(t, syscall.SIGHUP)
		writeFile(t, configFile, second)
		process.signal(t, syscall.SIGHUP)
		process.waitForListCall(t, secondList)
		writeFile(t, configFile, third)
		process.signal(t, syscall.SIGHUP)
		process.signal(t, syscall.SIGHUP)
		process.waitForListCall(t, thirdList)
		writeFile(t, configFile, third[:50])
		process.signal(t, syscall.SIGHUP)
		began := time.Now()
		process.signal(t, syscall.SIGTERM)
		expectShutdown(t, process, began)
	})
}

// openPipeForWriting opens a named pipe, which blocks until the process opens it for reading. The test fails if the
// process ends or does not open it.
func openPipeForWriting(t *testing.T, pipe string, process *nodeProcess) *os.File {
	t.Helper()
	type result struct {
		file *os.File
		err  error
	}
	opened := make(chan result, 1)
	go func() {
		file, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		opened <- result{file, err}
	}()
	select {
	case result := <-opened:
		if result.err != nil {
			t.Fatal(result.err)
		}
		return result.file
	case <-process.exited:
	case <-time.After(eventTimeout):
	}
	// Opening the pipe for reading unblocks the goroutine above.
	if reader, err := os.OpenFile(pipe, os.O_RDONLY|syscall.O_NONBLOCK, 0); err == nil {
		defer reader.Close() //nolint:errcheck // nothing was written to it
	}
	t.Fatalf("the program did not open its configuration%s", process.diagnosis())
	return nil
}

// expectShutdown waits for the process to end, which must be with status 0 and within shutdownLimit after terminatedAt,
// the time of the SIGTERM.
func expectShutdown(t *testing.T, process *nodeProcess, terminatedAt time.Time) {
	t.Helper()
	if err := process.waitForExit(t); err != nil {
		t.Errorf("after SIGTERM: got error %v, want exit code 0%s", err, process.diagnosis())
	}
	if took := time.Since(terminatedAt); took > shutdownLimit {
		t.Errorf("time from SIGTERM to the end: got %v, want at most %v", took, shutdownLimit)
	}
}

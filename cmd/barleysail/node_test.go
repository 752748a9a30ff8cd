package main

import (
	"bufio"
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

const nodeSettings = `{"Discovery":"automatic","FailureDomains":["a"],"Index":0,"Instances":1,"FamilyInfo":{"BareUs":5000000,"ChannelRate":1000,
	"MostWaiting":1000,"IntervalUs":1000000,"PerMessage":5,"DataPlaneSize":4},"Rules":{"ColdFrom":0.2,"ColdUs":9000000,"StopSendingWithinUs":2000000,
	"FallMultiple":3,"FallUs":2000000},"Services":[{"Name":"read","AimUs":500000,"HardLimitUs":900000,"Value":1,"Effect":"idempotent"}]}`

// The program itself: it gives a sign of life, follows the list elsewhere on SIGHUP, stands a configuration that cannot be
// read, ends with status 0 on SIGTERM, and names what is wrong with a configuration at its start.
func TestNode(t *testing.T) {
	dir := t.TempDir()
	program, file := buildProgram(t, dir), filepath.Join(dir, "config.json")
	lists := [2]net.Listener{listen(t), listen(t)}
	free := listen(t)
	address := free.Addr().String()
	free.Close()
	write := func(list net.Listener, settings string) {
		text := fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"1f","settings":%s}`, address, list.Addr(), settings)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(lists[0], strings.Replace(nodeSettings, "BareUs", "Bare", 1))
	wrong := exec.Command(program, "node")
	wrong.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	if out, err := wrong.CombinedOutput(); err == nil || !strings.HasSuffix(string(out), "setting FamilyInfo.BareUs is missing\n") || strings.Count(string(out), "\n") != 1 {
		t.Errorf("a wrong configuration: %v, %s", err, out)
	}
	write(lists[0], nodeSettings)
	run := exec.Command(program, "node")
	run.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	log, err := run.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := run.Start(); err != nil {
		t.Fatal(err)
	}
	defer run.Process.Kill()
	lines := bufio.NewScanner(log)
	until := func(part string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), part) {
				return
			}
		}
		t.Fatalf("no line with %q", part)
	}
	alive := func() {
		t.Helper()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		answer := make([]byte, 14)
		if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "*1\r\n$4\r\nPONG\r\n" {
			t.Fatalf("%q, %v", answer, err)
		}
	}
	until("in service")
	called(t, lists[0])
	alive()
	write(lists[1], nodeSettings)
	run.Process.Signal(syscall.SIGHUP)
	called(t, lists[1])
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	run.Process.Signal(syscall.SIGHUP)
	until("cannot be read again")
	alive()
	run.Process.Signal(syscall.SIGTERM)
	until("stopped")
	if err := run.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

func buildProgram(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "barleysail")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// Signals between two lines. SIGTERM that comes before the configuration has been read (a pipe that the test holds open), or
// right after a SIGHUP whose configuration cannot be read to its end, ends the program with status 0 well within 0.7 s; of two
// SIGHUPs in a row the newest configuration counts.
func TestNodeSignals(t *testing.T) {
	dir := t.TempDir()
	program := buildProgram(t, dir)
	lists := [3]net.Listener{listen(t), listen(t), listen(t)}
	text := func(list net.Listener) []byte {
		return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1f","settings":%s}`, list.Addr(), nodeSettings)
	}
	launch := func(file string) *exec.Cmd {
		t.Helper()
		run := exec.Command(program, "node")
		run.Env = append(os.Environ(), "EDGE_CONFIG="+file)
		run.Stderr = io.Discard
		if err := run.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { run.Process.Kill() })
		return run
	}
	ends := func(run *exec.Cmd, began time.Time) {
		t.Helper()
		if err := run.Wait(); err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
		if took := time.Since(began); took > 700*time.Millisecond {
			t.Errorf("it ends %v after SIGTERM", took)
		}
	}
	t.Run("before the configuration", func(t *testing.T) {
		pipe := filepath.Join(dir, "pipe")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		run := launch(pipe)
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // opens once the program reads
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		run.Process.Signal(syscall.SIGTERM)
		w.Write(text(lists[0]))
		w.Close()
		ends(run, began)
	})
	t.Run("in a row", func(t *testing.T) {
		file := filepath.Join(dir, "config.json")
		write := func(text []byte) {
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write(text(lists[0]))
		run := launch(file)
		called(t, lists[0])
		write(text(lists[1])[:50]) // half replaced
		run.Process.Signal(syscall.SIGHUP)
		write(text(lists[1]))
		run.Process.Signal(syscall.SIGHUP)
		called(t, lists[1])
		write(text(lists[2]))
		run.Process.Signal(syscall.SIGHUP)
		run.Process.Signal(syscall.SIGHUP)
		called(t, lists[2])
		write(text(lists[2])[:50])
		run.Process.Signal(syscall.SIGHUP)
		began := time.Now()
		run.Process.Signal(syscall.SIGTERM)
		ends(run, began)
	})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// called takes a list call and ends its connection.
func called(t *testing.T, l net.Listener) {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

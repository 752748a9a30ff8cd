package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleysail/internal/golden"
	"barleysail/internal/haproxy"
)

// Indexes of the runtime sockets of startWithRuntime.
const (
	adminSocket = iota
	userSocket
)

// startWithRuntime starts a daemon with a runtime socket for administrators and one for users, and waits until the
// proxy p was sent its first tables.
func startWithRuntime(t *testing.T) *testDaemon {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	d := startDaemon(t, fmt.Sprintf(
		`runtime { address: "unix:%s" level: "admin" } runtime { address: "127.0.0.1:0" level: "user" }`, path))
	d.get(tablesPath, "Prefer", "wait=0")
	d.waitForTables()
	return d
}

// dialRuntime connects to a runtime socket; the connection has a deadline and ends with the test.
func (d *testDaemon) dialRuntime(index int) net.Conn {
	d.t.Helper()
	address := d.RuntimeAddr(index)
	network := "tcp"
	if strings.HasPrefix(address, "/") {
		network = "unix"
	}
	conn, err := net.Dial(network, address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { closeOrFail(d.t, conn) })
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		d.t.Fatal(err)
	}
	return conn
}

// runtimeCommand sends a command, as socat would, and returns all that comes until the connection closes.
func (d *testDaemon) runtimeCommand(index int, command string) string {
	d.t.Helper()
	conn := d.dialRuntime(index)
	defer closeOrFail(d.t, conn)
	writeOrFail(d.t, conn, command)
	output, err := io.ReadAll(conn)
	if err != nil {
		d.t.Fatalf("%v after %q", err, output)
	}
	return string(output)
}

// The commands, one after the other over the unix socket, with their output.
func TestRuntimeCommands(t *testing.T) {
	d := startWithRuntime(t)
	var transcript strings.Builder
	for _, command := range []string{
		"help",
		"nonsense",
		"show backend",
		"get weight sheet/10.0.0.1:80",
		"get weight sheet/10.0.0.2:80",
		"get weight none/10.0.0.1:80",
		"get weight sheet/none",
		"get weight",
		"set weight sheet/10.0.0.2:80 80",
		"set weight sheet/10.0.0.2:80 300",
		"set weight finish/10.0.0.2:80 50%",
		"set server sheet/10.0.0.1:80 state drain",
		"set server sheet/10.0.0.2:80 state maint",
		"drain server sheet/10.0.0.2:80 wait",
		"drain server sheet/10.0.0.2:80 soon",
		"set server sheet/10.0.0.1:80 state off",
		"set server sheet/10.0.0.1:80 state ready",
		"set server sheet/10.0.0.1:80 weight 100%; get weight sheet/10.0.0.9:80",
		"add server sheet/10.0.0.9:80 10.0.0.9:80 weight 100 zone b",
		"add server sheet/10.0.0.9:80 10.0.0.9:80",
		"add server sheet/x 10.0.0.8:80",
		"del server sheet/10.0.0.1:80",
		"del server sheet/10.0.0.9:80",
		"disable server sheet/10.0.0.1:80",
		"enable server sheet/10.0.0.1:80",
		"show table none",
		"show servers state nothing",
		"show info xml",
		"show errors",
	} {
		output := d.runtimeCommand(adminSocket, command+"\n")
		if command == "show errors" { // its first line has the time
			_, output, _ = strings.Cut(output, "\n")
		}
		fmt.Fprintf(&transcript, "$ %s\n%s", command, output)
	}
	golden.Compare(t, "runtime", transcript.String())
	for _, command := range []string{
		"set weight sheet/10.0.0.1:80 1", "show table", "disable server sheet/10.0.0.1:80",
	} {
		if output := d.runtimeCommand(userSocket, command+"\n"); output != "Permission denied\n\n" {
			t.Errorf("by a user: %q", output)
		}
	}
}

// What monitoring tools read: show stat in its forms, show servers state, several commands on a line, and the prompt.
func TestRuntimeMonitoringCommands(t *testing.T) {
	d := startWithRuntime(t)
	eventually(t, "the tables", func() bool {
		rows, err := haproxy.ParseCSV(d.runtimeCommand(userSocket, "show stat\n"))
		if err != nil {
			t.Fatal(err)
		}
		return len(rows) == 6 && rows[0]["svname"] == "10.0.0.1:80" && rows[0]["weight"] == "100" &&
			rows[1]["weight"] == "50" && rows[2]["svname"] == "BACKEND"
	})
	rows, err := haproxy.ParseCSV(d.runtimeCommand(userSocket, "show stat finish 4 2\n"))
	if err != nil || len(rows) != 1 || rows[0]["svname"] != "10.0.0.2:80" || rows[0]["iid"] != "3" {
		t.Errorf("%v %v", rows, err)
	}
	state, err := haproxy.ParseState(d.runtimeCommand(adminSocket, "show servers state sheet\n"))
	if err != nil || len(state) != 2 || state[1].Address != "10.0.0.2:80" || state[1].Weight != 50 ||
		state[1].OperationalState != haproxy.Running {
		t.Errorf("%v %+v", err, state)
	}
	twice := strings.Repeat("# name\nsheet\nfinish\n\n", 2)
	if output := d.runtimeCommand(adminSocket, "show backend;show backend\n"); output != twice {
		t.Errorf("%q", output)
	}
	interactive := "prompt\n\nshow backend\nget weight sheet/10.0.0.2:80 <<\n\nquit\n"
	prompted := "\n> > # name\nsheet\nfinish\n\n> 50 (initial 50)\n\n> "
	if output := d.runtimeCommand(adminSocket, interactive); output != prompted {
		t.Errorf("%q", output)
	}
	for _, want := range []string{"Name: barleysail\n", "CurrConns: 1\n"} {
		if output := d.runtimeCommand(userSocket, "show info\n"); !strings.Contains(output, want) {
			t.Errorf("%q", output)
		}
	}
}

// A command that is cut anywhere, comes byte by byte, or is far too long.
func TestRuntimeFragmentedInput(t *testing.T) {
	d := startWithRuntime(t)
	const command = "show backend"
	want := d.runtimeCommand(adminSocket, command+"\n")
	t.Run("byte by byte", func(t *testing.T) {
		conn := d.dialRuntime(adminSocket)
		for _, char := range command + "\n" {
			writeOrFail(t, conn, string(char))
			time.Sleep(time.Millisecond) // so that each byte comes as a packet of its own
		}
		if output, err := io.ReadAll(conn); err != nil || string(output) != want {
			t.Errorf("%q, %v", output, err)
		}
	})
	t.Run("cut", func(t *testing.T) {
		for length := range len(command) {
			conn := d.dialRuntime(adminSocket)
			writeOrFail(t, conn, command[:length])
			closeOrFail(t, conn)
		}
	})
	t.Run("1 MB", func(t *testing.T) {
		conn := d.dialRuntime(adminSocket)
		written := inBackground(func() error {
			_, err := io.WriteString(conn, strings.Repeat("a", 1<<20)+"\n")
			return err
		})
		output, readErr := io.ReadAll(conn)
		writeErr := await(t, "the end of the write", waitLimit, written)
		// The server may close the connection before it has read everything: either end then gets an error.
		t.Logf("read: %v, write: %v", readErr, writeErr)
		if !strings.HasPrefix(string(output), "The command is too long.") && len(output) > 0 {
			t.Errorf("%.60q", output)
		}
	})
	if output := d.runtimeCommand(adminSocket, command+"\n"); output != want {
		t.Errorf("after all that: %q", output)
	}
}

// show events -w goes on as events come, and ends with whatever is sent.
func TestRuntimeEvents(t *testing.T) {
	d := startWithRuntime(t)
	conn := d.dialRuntime(adminSocket)
	writeOrFail(t, conn, "show events -w\n")
	reader := bufio.NewReader(conn)
	readUntil(t, reader, "joined p")
	d.runtimeCommand(adminSocket, "disable server sheet/none;drain server sheet/10.0.0.2:80\n")
	readUntil(t, reader, "10.0.0.2:80 drain by socket: set")
	writeOrFail(t, conn, "\n")
	if _, err := io.ReadAll(reader); err != nil {
		t.Errorf("it does not end: %v", err)
	}
}

// readUntil reads lines up to one that has the text. The deadline of the connection bounds it.
func readUntil(t *testing.T, reader *bufio.Reader, text string) {
	t.Helper()
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("%q did not come: %v", text, err)
		}
		if strings.Contains(line, text) {
			return
		}
	}
}

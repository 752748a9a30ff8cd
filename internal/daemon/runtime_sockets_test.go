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
// proxy p has been sent its first tables.
func startWithRuntime(t *testing.T) *testDaemon {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	d := startDaemon(t, fmt.Sprintf(
		`runtime { address: "unix:%s" level: "admin" } runtime { address: "127.0.0.1:0" level: "user" }`, path))
	d.get(tablesPath, "Prefer", "wait=0")
	d.waitForTables()
	return d
}

// dialRuntime connects to a runtime socket. The connection has a deadline, and is closed at the end of the test.
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

// runtimeCommand sends a command on a new connection, as socat does, and returns the output until the connection is
// closed.
func (d *testDaemon) runtimeCommand(index int, command string) string {
	d.t.Helper()
	conn := d.dialRuntime(index)
	defer closeOrFail(d.t, conn)
	writeOrFail(d.t, conn, command)
	output, err := io.ReadAll(conn)
	if err != nil {
		d.t.Fatalf("reading the output of %q: %v after %q", command, err, output)
	}
	return string(output)
}

// The golden file shows the output of the commands on the Unix socket. Commands that need the level admin are rejected
// on the socket of level user.
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
		if command == "show errors" { // its first line contains the time
			_, output, _ = strings.Cut(output, "\n")
		}
		fmt.Fprintf(&transcript, "$ %s\n%s", command, output)
	}
	golden.Compare(t, "runtime", transcript.String())
	for _, command := range []string{
		"set weight sheet/10.0.0.1:80 1", "show table", "disable server sheet/10.0.0.1:80",
	} {
		if output := d.runtimeCommand(userSocket, command+"\n"); output != "Permission denied\n\n" {
			t.Errorf("%q at level user = %q, want permission denied", command, output)
		}
	}
}

// Commands that monitoring tools use: the forms of show stat, show servers state, several commands on a line, and the
// interactive mode.
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
		t.Errorf("show stat of one server = %v, %v, want only the row of the second host", rows, err)
	}
	state, err := haproxy.ParseState(d.runtimeCommand(adminSocket, "show servers state sheet\n"))
	if err != nil || len(state) != 2 || state[1].Address != "10.0.0.2:80" || state[1].Weight != 50 ||
		state[1].OperationalState != haproxy.Running {
		t.Errorf("show servers state = %+v, %v, want 2 servers, the second running with weight 50", state, err)
	}
	twice := strings.Repeat("# name\nsheet\nfinish\n\n", 2)
	if output := d.runtimeCommand(adminSocket, "show backend;show backend\n"); output != twice {
		t.Errorf("two commands on a line: got %q, want %q", output, twice)
	}
	interactive := "prompt\n\nshow backend\nget weight sheet/10.0.0.2:80 <<\n\nquit\n"
	prompted := "\n> > # name\nsheet\nfinish\n\n> 50 (initial 50)\n\n> "
	if output := d.runtimeCommand(adminSocket, interactive); output != prompted {
		t.Errorf("interactive mode: got %q, want %q", output, prompted)
	}
	for _, want := range []string{"Name: barleysail\n", "CurrConns: 1\n"} {
		if output := d.runtimeCommand(userSocket, "show info\n"); !strings.Contains(output, want) {
			t.Errorf("show info = %q, want it to contain %q", output, want)
		}
	}
}

// A command that is received byte by byte, is incomplete or is too long does not disturb later commands.
func TestRuntimeFragmentedInput(t *testing.T) {
	d := startWithRuntime(t)
	const command = "show backend"
	want := d.runtimeCommand(adminSocket, command+"\n")
	t.Run("byte by byte", func(t *testing.T) {
		conn := d.dialRuntime(adminSocket)
		for _, char := range command + "\n" {
			writeOrFail(t, conn, string(char))
			time.Sleep(time.Millisecond) // so that each byte is sent as a packet of its own
		}
		if output, err := io.ReadAll(conn); err != nil || string(output) != want {
			t.Errorf("got %q, %v, want %q", output, err, want)
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
			t.Errorf("got %.60q, want the error for a command that is too long", output)
		}
	})
	if output := d.runtimeCommand(adminSocket, command+"\n"); output != want {
		t.Errorf("a later command: got %q, want %q", output, want)
	}
}

// show events -w prints new events as they occur, and ends at any input.
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
		t.Errorf("show events -w did not end after an input: %v", err)
	}
}

// readUntil reads lines until one contains the text, or the deadline of the connection has passed.
func readUntil(t *testing.T, reader *bufio.Reader, text string) {
	t.Helper()
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("reading until %q: %v", text, err)
		}
		if strings.Contains(line, text) {
			return
		}
	}
}

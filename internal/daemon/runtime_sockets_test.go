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
	"barleysail/internal/runtimeapi"
)

// runtimeCommand sends text to a runtime socket, as socat would, and gives all that comes until the connection closes.
func (d *testDaemon) runtimeCommand(i int, text string) string {
	d.t.Helper()
	c := d.dialRuntime(i)
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		d.t.Fatal(err)
	}
	all, err := io.ReadAll(c)
	if err != nil {
		d.t.Fatalf("%v after %q", err, all)
	}
	return string(all)
}

func (d *testDaemon) dialRuntime(i int) net.Conn {
	d.t.Helper()
	address := d.RuntimeAddr(i)
	network := "tcp"
	if strings.HasPrefix(address, "/") {
		network = "unix"
	}
	c, err := net.Dial(network, address)
	if err != nil {
		d.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func startWithRuntime(t *testing.T) *testDaemon {
	path := filepath.Join(t.TempDir(), "s")
	d := startDaemon(t, fmt.Sprintf(`runtime { address: "unix:%s" level: "admin" } runtime { address: "127.0.0.1:0" level: "user" }`, path))
	go d.request("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=0")
	eventually(t, "the first tables", func() bool { return d.request("GET", "/v1/proxies/p/holds", "").status == 200 })
	return d
}

// The commands, one after the other over the unix socket, with what they answer.
func TestRuntimeCommands(t *testing.T) {
	d := startWithRuntime(t)
	var out strings.Builder
	for _, line := range []string{"help", "nonsense", "show backend", "get weight sheet/10.0.0.1:80", "get weight sheet/10.0.0.2:80", "get weight none/10.0.0.1:80",
		"get weight sheet/none", "get weight", "set weight sheet/10.0.0.2:80 80", "set weight sheet/10.0.0.2:80 300", "set weight finish/10.0.0.2:80 50%",
		"set server sheet/10.0.0.1:80 state drain", "set server sheet/10.0.0.2:80 state maint", "drain server sheet/10.0.0.2:80 wait", "drain server sheet/10.0.0.2:80 soon",
		"set server sheet/10.0.0.1:80 state off", "set server sheet/10.0.0.1:80 state ready", "set server sheet/10.0.0.1:80 weight 100%; get weight sheet/10.0.0.9:80",
		"add server sheet/10.0.0.9:80 10.0.0.9:80 weight 100 zone b", "add server sheet/10.0.0.9:80 10.0.0.9:80", "add server sheet/x 10.0.0.8:80",
		"del server sheet/10.0.0.1:80", "del server sheet/10.0.0.9:80", "disable server sheet/10.0.0.1:80", "enable server sheet/10.0.0.1:80",
		"show table none", "show servers state nothing", "show info xml", "show errors"} {
		got := d.runtimeCommand(0, line+"\n")
		if line == "show errors" {
			got = strings.Join(strings.Split(got, "\n")[1:], "\n")
		}
		fmt.Fprintf(&out, "$ %s\n%s", line, got)
	}
	golden.Compare(t, "runtime", out.String())
	for _, line := range []string{"set weight sheet/10.0.0.1:80 1", "show table", "disable server sheet/10.0.0.1:80"} {
		if got := d.runtimeCommand(1, line+"\n"); got != "Permission denied\n\n" {
			t.Errorf("by a user: %q", got)
		}
	}
}

// What tools read: show stat in its three forms, show servers state, several commands on a line, and the prompt.
func TestRuntimeMonitoringCommands(t *testing.T) {
	d := startWithRuntime(t)
	eventually(t, "the tables", func() bool {
		rows, err := haproxy.ParseCSV(d.runtimeCommand(1, "show stat\n"))
		if err != nil {
			t.Fatal(err)
		}
		return len(rows) == 6 && rows[0]["svname"] == "10.0.0.1:80" && rows[0]["weight"] == "100" && rows[1]["weight"] == "50" && rows[2]["svname"] == "BACKEND"
	})
	if rows, err := haproxy.ParseCSV(d.runtimeCommand(1, "show stat finish 4 2\n")); err != nil || len(rows) != 1 || rows[0]["svname"] != "10.0.0.2:80" || rows[0]["iid"] != "3" {
		t.Errorf("%v %v", rows, err)
	}
	state, err := haproxy.ParseState(d.runtimeCommand(0, "show servers state sheet\n"))
	if err != nil || len(state) != 2 || state[1].Address != "10.0.0.2:80" || state[1].Weight != 50 || state[1].Op != haproxy.Running {
		t.Errorf("%v %+v", err, state)
	}
	if got := d.runtimeCommand(0, "show backend;show backend\n"); got != strings.Repeat("# name\nsheet\nfinish\n\n", 2) {
		t.Errorf("%q", got)
	}
	if got := d.runtimeCommand(0, "prompt\n\nshow backend\nget weight sheet/10.0.0.2:80 <<\n\nquit\n"); got != "\n> > # name\nsheet\nfinish\n\n> 50 (initial 50)\n\n> " {
		t.Errorf("%q", got)
	}
	for _, want := range []string{"Name: barleysail\n", "CurrConns: 1\n"} {
		if got := d.runtimeCommand(1, "show info\n"); !strings.Contains(got, want) {
			t.Errorf("%q", got)
		}
	}
}

// A command that is cut anywhere, comes byte by byte, or is far too long.
func TestRuntimeFragmentedInput(t *testing.T) {
	d := startWithRuntime(t)
	want := d.runtimeCommand(0, "show backend\n")
	c := d.dialRuntime(0)
	for _, b := range []byte("show backend\n") {
		c.Write([]byte{b})
		time.Sleep(time.Millisecond)
	}
	if got, _ := io.ReadAll(c); string(got) != want {
		t.Errorf("byte by byte: %q", got)
	}
	c.Close()
	for cut := range len("show backend") {
		c := d.dialRuntime(0)
		c.Write([]byte("show backend"[:cut]))
		c.Close()
	}
	c = d.dialRuntime(0)
	go c.Write([]byte(strings.Repeat("a", 1<<20) + "\n"))
	got, _ := io.ReadAll(c)
	if !strings.HasPrefix(string(got), "The command is too long.") && len(got) > 0 {
		t.Errorf("1 MB: %.60q", got)
	}
	c.Close()
	if got := d.runtimeCommand(0, "show backend\n"); got != want {
		t.Errorf("after all that: %q", got)
	}
}

// show events -w goes on as they come, and ends with whatever is sent.
func TestRuntimeEvents(t *testing.T) {
	d := startWithRuntime(t)
	c := d.dialRuntime(0)
	defer c.Close()
	io.WriteString(c, "show events -w\n")
	r := bufio.NewReader(c)
	ordered := false
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, "10.0.0.2:80 drain by socket: set") {
			break
		}
		if !ordered && strings.Contains(line, "joined p") {
			ordered = true
			go func() { d.runtimeCommand(0, "disable server sheet/none;drain server sheet/10.0.0.2:80\n") }()
		}
	}
	io.WriteString(c, "\n")
	if _, err := io.ReadAll(r); err != nil {
		t.Errorf("it does not end: %v", err)
	}
}

// BenchmarkRuntimeCommands tells how many commands a second a socket takes in interactive mode.
func BenchmarkRuntimeCommands(b *testing.B) {
	d, _ := startBenchDaemon(b, 400)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	f := runtimeapi.New(d.Operators(), runtimeapi.Config{Level: runtimeapi.Admin})
	go f.Serve(l)
	defer func() { l.Close(); f.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	io.WriteString(c, "prompt\n")
	r.ReadString('>')
	b.ResetTimer()
	for range b.N {
		io.WriteString(c, "get weight sheet/10.0.0.1:80\n")
		if _, err := r.ReadString('>'); err != nil {
			b.Fatal(err)
		}
	}
}

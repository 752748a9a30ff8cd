package runtimeapi_test

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"barleysail/controller"
	"barleysail/internal/golden"
	"barleysail/internal/haproxy"
	"barleysail/internal/runtimeapi"
	"barleysail/operator"
)

// transcriptLines are the inputs of TestTranscript. An input may have several lines.
var transcriptLines = []string{
	"help", "help show", "help nonsense", "nonsense", "", "show", "show backend",
	"show backend;get weight sheet/10.0.0.1:80",
	`show backend\;x`, "get weight", "get weight sheet", "get weight sheet/", "get weight none/10.0.0.1:80",
	"get weight sheet/none", "get weight sheet/10.0.0.2:80", "get weight finish/10.0.0.4:80",
	"set weight sheet/10.0.0.1:80", "set weight sheet/none 1", "set weight sheet/10.0.0.1:80 80",
	"set weight sheet/10.0.0.1:80 256", "set weight sheet/10.0.0.1:80 257", "set weight sheet/10.0.0.1:80 -1",
	"set weight sheet/10.0.0.1:80 NaN", "set weight sheet/10.0.0.1:80 x", "set weight sheet/10.0.0.1:80 50%",
	"set weight sheet/10.0.0.1:80 300%", "set weight sheet/10.0.0.1:80 0", "set weight sheet/10.0.0.1:80 0%",
	"set server", "set server sheet/10.0.0.1:80", "set server sheet/10.0.0.1:80 agent up",
	"set server sheet/10.0.0.1:80 state", "set server sheet/10.0.0.1:80 state off",
	"set server sheet/10.0.0.1:80 state listed", "set server sheet/10.0.0.1:80 state ready",
	"set server sheet/10.0.0.1:80 state drain", "set server sheet/10.0.0.1:80 state maint",
	"set server sheet/10.0.0.1:80 weight 40",
	"disable server sheet/10.0.0.1:80", "disable server sheet/none", "enable server sheet/10.0.0.1:80",
	"drain server", "drain server sheet/10.0.0.1:80", "drain server sheet/10.0.0.1:80 wait",
	"drain server sheet/10.0.0.1:80 for 2.5 wait", "drain server sheet/10.0.0.1:80 for",
	"drain server sheet/10.0.0.1:80 for 0",
	"drain server sheet/10.0.0.1:80 for x", "drain server sheet/10.0.0.1:80 soon",
	"add server", "add server sheet/10.0.0.9:80", "add server none/10.0.0.9:80 10.0.0.9:80",
	"add server sheet/10.0.0.1:80 10.0.0.1:80", "add server sheet/x 10.0.0.9:80", "add server sheet/x x",
	"add server sheet/10.0.0.9:80 10.0.0.9:80", "add server sheet/10.0.0.9:80 10.0.0.9:80 weight 50 zone b check enabled",
	"add server sheet/10.0.0.9:80 10.0.0.9:80 weight 0", "add server sheet/10.0.0.9:80 10.0.0.9:80 weight 5%",
	"add server sheet/10.0.0.9:80 10.0.0.9:80 weight", "add server sheet/10.0.0.9:80 10.0.0.9:80 backup",
	"del server sheet/none", "del server sheet/10.0.0.5:80",
	"show servers state", "show servers state finish", "show servers state 3", "show servers state none",
	"show servers conn", "show servers conn sheet", "show servers conn none",
	"show stat", "show stat typed", "show stat json", "show stat finish 4 2", "show stat -1 2 -1", "show stat 2 6 1 typed",
	"show stat none 1 1", "show stat sheet",
	"show table", "show table p", "show table none",
	"show events", "show events -x",
	"show info", "show info typed", "show info json", "show info xml",
	"prompt\nshow backend;\n\nprompt", "quit", "prompt\nquit;show backend",
	"get weight <<\nsheet/10.0.0.2:80\n", "get weight sheet/10.0.0.2:80 <<end\nx\ny\nend",
	"show errors",
}

// machineValues matches the values of show info that depend on the machine, in each output format.
var machineValues = regexp.MustCompile(`((?:Pid|Nbthread)(?:: |\.1:MGP:u32:|".*?"value":\{"type":"u32","value":))\d+`)

// The transcript has each line, which is sent on its own connection, the answer to it, and the commands that the
// controller received.
func TestTranscript(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin, Version: "test"})
	var transcript strings.Builder
	for _, line := range transcriptLines {
		answer := server.ask(t, line+"\n")
		switch {
		case line == "show errors":
			answer = answer[strings.Index(answer, "] : "):] // omits the current time
		case strings.HasPrefix(line, "show info"):
			answer = withoutMachineValues(answer)
		}
		fmt.Fprintf(&transcript, "$ %s\n%s%s", line, answer, server.controller.takeCommands())
	}
	golden.Compare(t, "transcript", transcript.String())
}

// withoutMachineValues replaces the process id and the number of threads by #.
func withoutMachineValues(answer string) string {
	return machineValues.ReplaceAllString(answer, "$1#")
}

// The answer to a command reports whether it was applied, queued or rejected. show errors lists the failed ones.
func TestCommandOutcomes(t *testing.T) {
	rejected := &operator.RejectedError{Host: "10.0.0.1:80", Reason: "the last host"}
	tests := []struct {
		name    string
		outcome commandOutcome
		answer  string
	}{
		{"applied", commandOutcome{}, "\n"},
		{"queued", commandOutcome{queued: true}, "Waits for its turn.\n\n"},
		{"rejected", commandOutcome{err: rejected}, "Refused: the last host.\n\n"},
		{"failed", commandOutcome{err: errors.New("closed")}, "closed\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
			server.controller.outcomes = []commandOutcome{test.outcome, test.outcome, test.outcome}
			if answer := server.ask(t, "disable server sheet/10.0.0.1:80\n"); answer != test.answer {
				t.Errorf("disable server: got %q, want %q", answer, test.answer)
			}
			added := server.ask(t, "add server sheet/10.0.0.9:80 10.0.0.9:80\n")
			deleted := server.ask(t, "del server sheet/10.0.0.1:80\n")
			if test.outcome.err != nil && (added != test.answer || deleted != test.answer) {
				t.Errorf("add server: got %q, del server: got %q, want %q for both", added, deleted, test.answer)
			}
			if want := "New server registered.\n\n"; test.outcome.err == nil && added != want {
				t.Errorf("add server: got %q, want %q", added, want)
			}
			if want := "Server deleted.\n\n"; test.outcome.err == nil && deleted != want {
				t.Errorf("del server: got %q, want %q", deleted, want)
			}
			listed := strings.Contains(server.ask(t, "show errors\n"), "disable server sheet/10.0.0.1:80: ")
			if failed := test.outcome.err != nil; listed != failed {
				t.Errorf("listed by show errors: got %v, want %v", listed, failed)
			}
		})
	}
}

// show errors lists the last 16 failed commands only.
func TestShowErrorsIsBounded(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	for i := range 20 {
		server.ask(t, fmt.Sprintf("show table %d\n", i))
	}
	answer := server.ask(t, "show errors\n")
	if !strings.Contains(answer, "] : 16\n") || strings.Contains(answer, "show table 3:") ||
		!strings.Contains(answer, "show table 4:") || !strings.Contains(answer, "show table 19:") {
		t.Errorf("show errors after 20 failed commands: got %q, want the 16 from show table 4 to show table 19", answer)
	}
}

func TestLevels(t *testing.T) {
	tests := []struct {
		name    string
		level   runtimeapi.Level
		allowed []string
		denied  []string
	}{
		{"user", runtimeapi.User, []string{"show stat", "show info", "get weight sheet/10.0.0.1:80"},
			[]string{"show errors", "show table", "show servers state", "set weight sheet/10.0.0.1:80 1"}},
		{"operator", runtimeapi.Operator, []string{"show stat", "show errors", "show table", "show events"},
			[]string{"set weight sheet/10.0.0.1:80 1", "disable server sheet/10.0.0.1:80"}},
		{"admin", runtimeapi.Admin, []string{"show errors", "set weight sheet/10.0.0.1:80 1"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			level, ok := runtimeapi.ParseLevel(test.name)
			if !ok || level != test.level {
				t.Errorf("ParseLevel(%q): got %v, %v, want %v, true", test.name, level, ok, test.level)
			}
			server := serve(t, runtimeapi.Config{Level: level})
			for _, line := range test.allowed {
				server.checkDenied(t, line, false)
			}
			for _, line := range test.denied {
				server.checkDenied(t, line, true)
			}
			commands := server.controller.takeCommands()
			if got, want := commands != "", test.level == runtimeapi.Admin; got != want {
				t.Errorf("controller received commands: got %v (%q), want %v", got, commands, want)
			}
		})
	}
	if _, ok := runtimeapi.ParseLevel("root"); ok {
		t.Error("ParseLevel(\"root\"): got ok, want an unknown level")
	}
}

func (s *testServer) checkDenied(t *testing.T, line string, want bool) {
	t.Helper()
	answer := s.ask(t, line+"\n")
	if denied := answer == "Permission denied\n\n"; denied != want {
		t.Errorf("%s: got denied %v, want %v; answer %q", line, denied, want, answer)
	}
}

// A backend is down if none of its servers is up. A host that the endpoint list drains but an operator overrides to
// ready is listed as running.
func TestServerStatuses(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	server.controller.hosts = []controller.HostInfo{
		{Host: "10.0.0.1:80", State: "draining", BaseWeight: 1, Override: &controller.OverrideInfo{State: "ready"}},
	}
	stat, err := haproxy.ParseCSV(server.ask(t, "show stat sheet 6 -1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(stat) != 2 || stat[0]["status"] != "DRAIN" || stat[1]["svname"] != "BACKEND" || stat[1]["status"] != "DOWN" {
		t.Errorf("show stat: got %v, want a server with status DRAIN and a BACKEND with status DOWN", stat)
	}
	states, err := haproxy.ParseState(server.ask(t, "show servers state sheet\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(states) != 1 || states[0].OperationalState != haproxy.Running || states[0].AdminState != 0 {
		t.Errorf("show servers state: got %+v, want one running server without an administrative state", states)
	}
}

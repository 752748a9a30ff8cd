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

// nodeFigures are those of show info that depend on the machine, in all of its forms.
var nodeFigures = regexp.MustCompile(`((?:Pid|Nbthread)(?:: |\.1:MGP:u32:|".*?"value":\{"type":"u32","value":))\d+`)

// Each line is sent on a connection of its own; the answer stands below it, then the commands that the controller
// got.
func TestTranscript(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin, Version: "test"})
	var transcript strings.Builder
	for _, line := range transcriptLines {
		answer := server.ask(t, line+"\n")
		switch {
		case line == "show errors":
			answer = answer[strings.Index(answer, "] : "):] // without the date
		case strings.HasPrefix(line, "show info"):
			answer = withoutNodeFigures(answer)
		}
		fmt.Fprintf(&transcript, "$ %s\n%s%s", line, answer, server.controller.takeCommands())
	}
	golden.Compare(t, "transcript", transcript.String())
}

// withoutNodeFigures replaces the process id and the number of threads.
func withoutNodeFigures(answer string) string {
	return nodeFigures.ReplaceAllString(answer, "$1#")
}

// What becomes of a command is answered, and what was refused is listed by show errors.
func TestCommandOutcomes(t *testing.T) {
	rejected := &operator.RejectedError{Host: "10.0.0.1:80", Reason: "the last host"}
	tests := []struct {
		name    string
		outcome commandOutcome
		answer  string
	}{
		{"carried out", commandOutcome{}, "\n"},
		{"waits", commandOutcome{waits: true}, "Waits for its turn.\n\n"},
		{"rejected", commandOutcome{err: rejected}, "Refused: the last host.\n\n"},
		{"failed", commandOutcome{err: errors.New("closed")}, "closed\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
			server.controller.outcomes = []commandOutcome{test.outcome, test.outcome, test.outcome}
			if answer := server.ask(t, "disable server sheet/10.0.0.1:80\n"); answer != test.answer {
				t.Errorf("answer %q, want %q", answer, test.answer)
			}
			added := server.ask(t, "add server sheet/10.0.0.9:80 10.0.0.9:80\n")
			deleted := server.ask(t, "del server sheet/10.0.0.1:80\n")
			if test.outcome.err != nil && (added != test.answer || deleted != test.answer) {
				t.Errorf("add server answers %q, del server %q, want %q", added, deleted, test.answer)
			}
			if test.outcome.err == nil && (added != "New server registered.\n\n" || deleted != "Server deleted.\n\n") {
				t.Errorf("add server answers %q, del server %q", added, deleted)
			}
			listed := strings.Contains(server.ask(t, "show errors\n"), "disable server sheet/10.0.0.1:80: ")
			if failed := test.outcome.err != nil; listed != failed {
				t.Errorf("listed by show errors: %v, want %v", listed, failed)
			}
		})
	}
}

// Only the last refusals are listed.
func TestShowErrorsIsBounded(t *testing.T) {
	server := serve(t, runtimeapi.Config{Level: runtimeapi.Admin})
	for i := range 20 {
		server.ask(t, fmt.Sprintf("show table %d\n", i))
	}
	answer := server.ask(t, "show errors\n")
	if !strings.Contains(answer, "] : 16\n") || strings.Contains(answer, "show table 3:") ||
		!strings.Contains(answer, "show table 4:") || !strings.Contains(answer, "show table 19:") {
		t.Errorf("answer %q", answer)
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
				t.Errorf("parsed as %v, %v", level, ok)
			}
			server := serve(t, runtimeapi.Config{Level: level})
			for _, line := range test.allowed {
				server.checkDenied(t, line, false)
			}
			for _, line := range test.denied {
				server.checkDenied(t, line, true)
			}
			if got := server.controller.takeCommands(); (got != "") != (test.level == runtimeapi.Admin) {
				t.Errorf("the controller got %q", got)
			}
		})
	}
	if _, ok := runtimeapi.ParseLevel("root"); ok {
		t.Error("an unknown level was parsed")
	}
}

func (s *testServer) checkDenied(t *testing.T, line string, want bool) {
	t.Helper()
	answer := s.ask(t, line+"\n")
	if denied := answer == "Permission denied\n\n"; denied != want {
		t.Errorf("%s: %q", line, answer)
	}
}

// A backend without a server that is up is down; a host with an override to ready runs although the list drains it.
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
		t.Errorf("show stat: %v", stat)
	}
	states, err := haproxy.ParseState(server.ask(t, "show servers state sheet\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(states) != 1 || states[0].OperationalState != haproxy.Running || states[0].AdminState != 0 {
		t.Errorf("show servers state: %+v", states)
	}
}

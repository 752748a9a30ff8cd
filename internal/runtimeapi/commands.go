package runtimeapi

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"barleysail/controller"
	"barleysail/operator"
)

// command of the front: the words that name it, the level it needs, and what it does with the words after those.
type command struct {
	words string
	level Level
	usage string
	run   func(s *session, args []string) (answer string, ok bool)
}

// commands in the order in which help names them.
func commands() []command {
	return []command{
		{"add server", Admin, "add server <backend>/<server> <addr>:<port> [weight <n>] [zone <name>] : add a server, in maintenance", (*session).addServer},
		{"del server", Admin, "del server <backend>/<server> : take an added server off that is in maintenance", (*session).delServer},
		{"disable server", Admin, "disable server <backend>/<server> : put a server into maintenance", state(operator.Maintenance)},
		{"drain server", Admin, "drain server <backend>/<server> [wait] [for <seconds>] : drain it, once that can be done", (*session).drain},
		{"enable server", Admin, "enable server <backend>/<server> : take back what was set on a server", state(operator.Listed)},
		{"get weight", User, "get weight <backend>/<server> : report a server's current weight", (*session).getWeight},
		{"help", User, "help [<command>] : list matching or all commands", (*session).help},
		{"prompt", User, "prompt : toggle interactive mode with prompt", (*session).togglePrompt},
		{"quit", User, "quit : disconnect", (*session).quit},
		{"set server", Admin, "set server <backend>/<server> state [ready|drain|maint] | weight <n>[%] : change a server", (*session).setServer},
		{"set weight", Admin, "set weight <backend>/<server> <n>[%] : change a server's weight", (*session).setWeight},
		{"show backend", User, "show backend : list backends", (*session).showBackend},
		{"show errors", OperatorLevel, "show errors : the last commands that were refused", (*session).showErrors},
		{"show events", OperatorLevel, "show events [-w] : what the steward did, and with -w what it goes on to do", (*session).showEvents},
		{"show info", User, "show info [typed|json] : report information about the running process", (*session).showInfo},
		{"show servers conn", OperatorLevel, "show servers conn [<backend>] : transactions that wait and run at each server", (*session).showConn},
		{"show servers state", OperatorLevel, "show servers state [<backend>] : dump the servers' states", (*session).showState},
		{"show stat", User, "show stat [{<iid>|<proxy>} <type> <sid>] [typed|json] : report counters for each server", (*session).showStat},
		{"show table", OperatorLevel, "show table [<proxy>] : what the proxies hold, or one of them", (*session).showTable},
	}
}

// run carries out a command.
func (s *session) run(words []string, text string) {
	for _, c := range s.server.commands {
		name := strings.Fields(c.words)
		if len(words) < len(name) || !slices.Equal(words[:len(name)], name) {
			continue
		}
		if c.level > s.server.set.Level {
			s.answer("Permission denied\n")
			return
		}
		answer, ok := c.run(s, words[len(name):])
		if !ok {
			s.server.failed(strings.TrimSpace(text), answer)
		}
		if !s.over {
			s.answer(answer)
		}
		return
	}
	_, list := s.list(words)
	s.answer("Unknown command: '" + strings.Join(words, " ") + "', but maybe one of the following ones is a better match:\n" + list)
}

func (s *session) list(words []string) (n int, text string) {
	var b strings.Builder
	first := ""
	if len(words) > 0 {
		first = words[0]
	}
	for _, all := range []bool{false, true} {
		for _, c := range s.server.commands {
			if c.level <= s.server.set.Level && (all || first != "" && strings.HasPrefix(c.words, first)) {
				fmt.Fprintln(&b, "  "+c.usage)
				n++
			}
		}
		if n > 0 {
			break
		}
	}
	return n, b.String()
}

func (s *session) help(args []string) (string, bool) {
	_, list := s.list(args)
	return "The following commands are valid at this level:\n" + list, true
}

func (s *session) togglePrompt([]string) (string, bool) {
	s.prompt = !s.prompt
	return "", true
}

func (s *session) quit([]string) (string, bool) {
	s.over = true
	return "", true
}

// perWeight is what a weight of 1 of the steward's is in this front's weights, and weightMost the largest of those.
const (
	perWeight  = 100
	weightMost = 256
)

// quantised gives a weight of this front; one above 0 stays above 0.
func quantised(w float64) int {
	if w <= 0 {
		return 0
	}
	return int(math.Min(math.Max(math.Round(w*perWeight), 1), weightMost))
}

// find finds the host that backend/server names.
func (s *session) find(args []string) (h controller.HostInfo, answer string, ok bool) {
	if len(args) == 0 {
		return h, "Require 'backend/server'.\n", false
	}
	backend, name, cut := strings.Cut(args[0], "/")
	if !cut || name == "" {
		return h, "Require 'backend/server'.\n", false
	}
	if !slices.Contains(s.server.steward.Status().Classes, backend) {
		return h, "No such backend.\n", false
	}
	if h, ok := s.server.steward.Host(name); ok {
		return h, "", true
	}
	return h, "No such server.\n", false
}

// order gives an order to the steward and words its answer.
func (s *session) order(o operator.Command) (string, bool) {
	if o.Operator == "" {
		o.Operator = "socket"
	}
	waits, err := s.server.steward.Order(o)
	var refused *operator.RejectedError
	switch {
	case errors.As(err, &refused):
		return "Refused: " + refused.Reason + ".\n", false
	case err != nil:
		return err.Error() + "\n", false
	case waits:
		return "Waits for its turn.\n", true
	}
	return "", true
}

func state(to operator.State) func(s *session, args []string) (string, bool) {
	return func(s *session, args []string) (string, bool) {
		h, answer, ok := s.find(args)
		if !ok {
			return answer, false
		}
		return s.order(operator.Command{Host: h.Host, State: to, Weight: -1})
	}
}

func (s *session) drain(args []string) (string, bool) {
	h, answer, ok := s.find(args)
	if !ok {
		return answer, false
	}
	o := operator.Command{Host: h.Host, State: operator.Draining, Weight: -1}
	for i := 1; i < len(args); i++ {
		switch {
		case args[i] == "wait":
			o.Queue = true
		case args[i] == "for" && i+1 < len(args):
			x, err := strconv.ParseFloat(args[i+1], 64)
			if err != nil || !(x > 0) {
				return "'for' expects a number of seconds.\n", false
			}
			o.DurationMs, i = x*1000, i+1
		default:
			return "'drain server' only supports 'wait' and 'for'.\n", false
		}
	}
	return s.order(o)
}

func (s *session) getWeight(args []string) (string, bool) {
	h, answer, ok := s.find(args)
	if !ok {
		return answer, false
	}
	return fmt.Sprintf("%d (initial %d)\n", quantised(h.Weight), quantised(h.Listed)), true
}

// weight reads an absolute weight, or one in percent of the list's.
func weight(text string) (w float64, part, ok bool) {
	text, part = strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0) || !part && x > weightMost {
		return 0, part, false
	}
	if part {
		return x / 100, true, true
	}
	return x / perWeight, false, true
}

func (s *session) setWeight(args []string) (string, bool) {
	h, answer, ok := s.find(args)
	if !ok {
		return answer, false
	}
	if len(args) < 2 {
		return "Require <weight> or <weight%>.\n", false
	}
	w, part, ok := weight(args[1])
	if !ok {
		return "Absolute weight can only be between 0 and 256 inclusive.\n", false
	}
	o := operator.Command{Host: h.Host, Weight: w, Relative: part, KeepState: true}
	if w == 0 {
		o.KeepState, o.State = false, operator.Draining
	}
	return s.order(o)
}

func (s *session) setServer(args []string) (string, bool) {
	if _, answer, ok := s.find(args); !ok {
		return answer, false
	}
	if len(args) >= 3 && args[1] == "weight" {
		return s.setWeight([]string{args[0], args[2]})
	}
	if len(args) >= 3 && args[1] == "state" {
		if to, ok := operator.ParseState(args[2]); ok && args[2] != "listed" {
			return state(to)(s, args)
		}
		return "'set server <srv> state' expects 'ready', 'drain' and 'maint'.\n", false
	}
	return "'set server <srv>' only supports 'state' and 'weight'.\n", false
}

func (s *session) addServer(args []string) (string, bool) {
	if len(args) < 2 {
		return "'server' expects <name> and <addr>[:<port>] as arguments.\n", false
	}
	if _, answer, ok := s.find(args); ok {
		return "Already exists a server with the same name in backend.\n", false
	} else if answer != "No such server.\n" {
		return answer, false
	}
	_, name, _ := strings.Cut(args[0], "/")
	if _, _, err := net.SplitHostPort(args[1]); err != nil || name != args[1] {
		return "A server's name is its <addr>:<port> here.\n", false
	}
	a := &operator.AddedHost{Weight: 1, Zone: s.server.steward.Status().Zones[0]}
	for i := 2; i < len(args); i++ {
		switch {
		case args[i] == "weight" && i+1 < len(args):
			w, part, ok := weight(args[i+1])
			if !ok || part || w == 0 {
				return "'weight' expects a number from 1 to 256.\n", false
			}
			a.Weight, i = w, i+1
		case args[i] == "zone" && i+1 < len(args):
			a.Zone, i = args[i+1], i+1
		case args[i] == "check" || args[i] == "enabled":
		default:
			return fmt.Sprintf("'server' : unknown keyword '%s'.\n", args[i]), false
		}
	}
	answer, ok := s.order(operator.Command{Host: name, State: operator.Maintenance, Weight: -1, Add: a})
	if ok {
		answer = "New server registered.\n"
	}
	return answer, ok
}

func (s *session) delServer(args []string) (string, bool) {
	h, answer, ok := s.find(args)
	if !ok {
		return answer, false
	}
	if answer, ok = s.order(operator.Command{Host: h.Host, State: operator.Maintenance, Weight: -1, Remove: true}); ok {
		answer = "Server deleted.\n"
	}
	return answer, ok
}

func (s *session) showErrors([]string) (string, bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return fmt.Sprintf("Total events captured on [%s] : %d\n", time.Now().Format("02/Jan/2006:15:04:05.000"), len(s.server.errors)) +
		strings.Join(s.server.errors, "\n"), true
}

// showEvents tells the events; with -w it goes on until the connection ends.
func (s *session) showEvents(args []string) (string, bool) {
	follow := slices.Contains(args, "-w")
	if len(args) > 0 && !follow {
		return "'show events' only supports '-w'.\n", false
	}
	after := int64(0)
	gone := make(chan struct{})
	if follow {
		go func() { // whatever comes now ends it, as the guide has it
			s.conn.SetReadDeadline(time.Time{})
			s.text.R.ReadByte()
			close(gone)
		}()
	}
	for {
		got := make(chan []controller.Event, 1)
		wait := time.Duration(0)
		if follow && after > 0 {
			wait = 10 * time.Second
		}
		cancel := s.server.steward.Events(after, wait, func(all []controller.Event) { got <- all })
		select {
		case all := <-got:
			for _, e := range all {
				fmt.Fprintf(s.out, "<%d> %s %s %s\n", e.Number, time.UnixMicro(int64(e.At*1000)).UTC().Format(time.RFC3339Nano), e.Kind, e.Text)
				after = e.Number
			}
		case <-gone:
		}
		cancel()
		if !follow {
			return "", true
		}
		s.conn.SetWriteDeadline(time.Now().Add(s.server.set.WriteTimeout))
		if s.out.Flush() != nil {
			s.over = true
			return "", true
		}
		select {
		case <-gone:
			s.over = true
			return "", true
		default:
		}
	}
}

func (s *session) showTable(args []string) (string, bool) {
	var b strings.Builder
	if len(args) == 0 {
		for _, p := range s.server.steward.Proxies() {
			a, ok := s.server.steward.PublishedTables(p.Proxy)
			n := 0
			if ok {
				for _, t := range a.Tables() {
					n = max(n, len(t.Hosts))
				}
			}
			fmt.Fprintf(&b, "# table: %s, type: string, size:%d, used:%d\n", p.Proxy, n, n)
		}
		return b.String(), true
	}
	a, ok := s.server.steward.PublishedTables(args[0])
	if !ok {
		return "No such table\n", false
	}
	for _, t := range a.Tables() {
		fmt.Fprintf(&b, "# table: %s/%s, type: string, size:%d, used:%d, share:%g, tries:%d\n", args[0], t.Class, len(t.Hosts), len(t.Hosts), t.AdmissionRatio, t.RetryPolicy)
		for i, host := range t.Hosts {
			fmt.Fprintf(&b, "0x%x: key=%s weight=%g\n", i+1, host, t.Weights[i])
		}
	}
	return b.String(), true
}

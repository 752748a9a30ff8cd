package runtimeapi

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"barleysail/operator"
)

// commandError is the answer to a command that failed. Where the management guide defines a text it is that one, since
// tools compare the texts.
type commandError string

func (e commandError) Error() string { return string(e) }

// command is a command of the API.
type command struct {
	words string // the words that name the command
	level Level  // the level that it requires
	usage string // line in the answer to help
	run   func(s *session, args []string) (answer string, err error)
}

// commands returns all commands in the order in which help lists them.
func commands() []command {
	return []command{
		{"add server", Admin,
			"add server <backend>/<server> <addr>:<port> [weight <n>] [zone <name>] : add a server, in maintenance",
			(*session).addServer},
		{"del server", Admin,
			"del server <backend>/<server> : take an added server off that is in maintenance",
			(*session).deleteServer},
		{"disable server", Admin,
			"disable server <backend>/<server> : put a server into maintenance",
			setState(operator.Maintenance)},
		{"drain server", Admin,
			"drain server <backend>/<server> [wait] [for <seconds>] : drain it, once that can be done",
			(*session).drainServer},
		{"enable server", Admin,
			"enable server <backend>/<server> : take back what was set on a server",
			setState(operator.Listed)},
		{"get weight", User,
			"get weight <backend>/<server> : report a server's current weight",
			(*session).getWeight},
		{"help", User,
			"help [<command>] : list matching or all commands",
			(*session).help},
		{"prompt", User,
			"prompt : toggle interactive mode with prompt",
			(*session).togglePrompt},
		{"quit", User,
			"quit : disconnect",
			(*session).quit},
		{"set server", Admin,
			"set server <backend>/<server> state [ready|drain|maint] | weight <n>[%] : change a server",
			(*session).setServer},
		{"set weight", Admin,
			"set weight <backend>/<server> <n>[%] : change a server's weight",
			(*session).setWeight},
		{"show backend", User,
			"show backend : list backends",
			(*session).showBackend},
		{"show errors", Operator,
			"show errors : the last commands that were refused",
			(*session).showErrors},
		{"show events", Operator,
			"show events [-w] : what the steward did, and with -w what it goes on to do",
			(*session).showEvents},
		{"show info", User,
			"show info [typed|json] : report information about the running process",
			(*session).showInfo},
		{"show servers conn", Operator,
			"show servers conn [<backend>] : transactions that wait and run at each server",
			(*session).showServersConn},
		{"show servers state", Operator,
			"show servers state [<backend>] : dump the servers' states",
			(*session).showServersState},
		{"show stat", User,
			"show stat [{<iid>|<proxy>} <type> <sid>] [typed|json] : report counters for each server",
			(*session).showStat},
		{"show table", Operator,
			"show table [<proxy>] : what the proxies hold, or one of them",
			(*session).showTable},
	}
}

// runCommand runs the command that the first words name, with the other words as its arguments, and writes the
// answer. text is the command as the client sent it, for show errors.
func (s *session) runCommand(words []string, text string) {
	command, args := s.findCommand(words)
	if command == nil {
		s.answer("Unknown command: '" + strings.Join(words, " ") +
			"', but maybe one of the following ones is a better match:\n" + s.usages(words))
		return
	}
	if command.level > s.server.config.Level {
		s.answer("Permission denied\n")
		return
	}
	answer, err := command.run(s, args)
	if err != nil {
		answer = err.Error() + "\n"
		s.server.recordFailure(text, answer)
	}
	if !s.ended {
		s.answer(answer)
	}
}

// findCommand returns the command that the first words name and its arguments, or nil for an unknown command.
func (s *session) findCommand(words []string) (found *command, args []string) {
	for i := range s.server.commands {
		command := &s.server.commands[i]
		name := strings.Fields(command.words)
		if len(words) >= len(name) && slices.Equal(words[:len(name)], name) {
			return command, words[len(name):]
		}
	}
	return nil, nil
}

// usages lists the permitted commands that begin with the first word, or all if none does.
func (s *session) usages(words []string) string {
	if len(words) > 0 {
		if matching := s.usagesWithPrefix(words[0]); matching != "" {
			return matching
		}
	}
	return s.usagesWithPrefix("")
}

func (s *session) usagesWithPrefix(prefix string) string {
	var usages strings.Builder
	for _, command := range s.server.commands {
		if command.level <= s.server.config.Level && strings.HasPrefix(command.words, prefix) {
			usages.WriteString("  " + command.usage + "\n")
		}
	}
	return usages.String()
}

func (s *session) help(args []string) (string, error) {
	return "The following commands are valid at this level:\n" + s.usages(args), nil
}

func (s *session) togglePrompt([]string) (string, error) {
	s.interactive = !s.interactive
	return "", nil
}

func (s *session) quit([]string) (string, error) {
	s.ended = true
	return "", nil
}

// maxFailures is the number of failed commands that show errors lists.
const maxFailures = 16

// failureTimeLayout is the time format of show errors in the management guide.
const failureTimeLayout = "02/Jan/2006:15:04:05.000"

func (s *Server) recordFailure(command, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, strings.TrimSpace(command)+": "+strings.TrimSpace(answer))
	s.failures = s.failures[max(len(s.failures)-maxFailures, 0):]
}

func (s *session) showErrors([]string) (string, error) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	failures := s.server.failures
	header := fmt.Sprintf("Total events captured on [%s] : %d\n", time.Now().Format(failureTimeLayout), len(failures))
	return header + strings.Join(failures, "\n"), nil
}

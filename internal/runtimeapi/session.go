package runtimeapi

import (
	"bufio"
	"errors"
	"net"
	"net/textproto"
	"strings"
	"time"
)

const (
	promptText    = "> "
	payloadMarker = "<<"
	tooLongAnswer = "The command is too long.\n"
)

var errIncompletePayload = errors.New("incomplete payload")

// session is one connection. By default it runs one line of commands and closes the connection. In interactive mode,
// which the command prompt toggles, it continues until the client or a command ends it.
type session struct {
	server      *Server
	conn        net.Conn
	input       *textproto.Reader
	output      *bufio.Writer
	interactive bool
	ended       bool // by a command, or because the connection cannot be used any more
}

// serve runs the lines of the connection until it ends.
func (s *session) serve() {
	for !s.ended {
		s.extendReadDeadline()
		s.server.setIdleSince(s.conn, time.Now())
		line, err := s.readLine()
		s.server.setIdleSince(s.conn, time.Time{})
		if errors.Is(err, bufio.ErrBufferFull) {
			s.answer(tooLongAnswer)
			_ = s.output.Flush() // the connection ends in any case
			return
		}
		if err != nil && line == "" {
			return
		}
		s.runLine(line)
		if s.interactive && !s.ended {
			s.write(promptText)
		}
		if s.flush() != nil || err != nil || !s.interactive {
			return
		}
	}
}

// extendReadDeadline restarts the idle timeout. It ignores the error: a closed connection fails in the read that
// follows.
func (s *session) extendReadDeadline() {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.config.IdleTimeout))
}

// readLine returns a line without its line end. The last line may end with the connection; it is then returned with
// an error.
func (s *session) readLine() (string, error) {
	line, err := s.input.R.ReadSlice('\n')
	return strings.TrimRight(string(line), "\r\n"), err
}

// write buffers text. It ignores the error: a bufio.Writer keeps it, and flush returns it.
func (s *session) write(text string) { _, _ = s.output.WriteString(text) }

func (s *session) flush() error { return s.output.Flush() }

// deadlineWriter writes to a connection with a timeout for each write, so that a client that reads nothing does not
// hold its connection.
type deadlineWriter struct {
	conn    net.Conn
	timeout time.Duration
}

func (w *deadlineWriter) Write(text []byte) (int, error) {
	// A connection that is closed fails in the write that follows.
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.conn.Write(text)
}

// answer writes the answer to a command. An empty line ends each answer.
func (s *session) answer(text string) {
	s.write(text)
	if text != "" && !strings.HasSuffix(text, "\n") {
		s.write("\n")
	}
	s.write("\n")
}

// runLine runs the commands of a line. A payload becomes the last argument of each.
func (s *session) runLine(line string) {
	line, terminator, hasPayload := cutPayloadMarker(line)
	payload := ""
	if hasPayload {
		var err error
		payload, err = s.readPayload(terminator)
		if err != nil {
			s.ended = true
			return
		}
	}
	for _, text := range splitCommands(line) {
		words := strings.Fields(text)
		if len(words) == 0 && s.interactive {
			continue
		}
		if hasPayload {
			words = append(words, payload)
		}
		s.runCommand(words, text)
		// The client may have left: no further command may run then.
		s.ended = s.flush() != nil || s.ended
		if s.ended {
			return
		}
	}
}

// cutPayloadMarker removes the marker << and the payload's terminator, which may be empty, from the end of a line.
func cutPayloadMarker(line string) (before, terminator string, found bool) {
	markerAt := strings.LastIndex(line, payloadMarker)
	if markerAt < 0 || markerAt > 0 && line[markerAt-1] != ' ' {
		return line, "", false
	}
	terminator = line[markerAt+len(payloadMarker):]
	if strings.ContainsAny(terminator, " ;") {
		return line, "", false
	}
	return line[:markerAt], terminator, true
}

// readPayload reads lines until one equals the terminator.
func (s *session) readPayload(terminator string) (string, error) {
	var payload strings.Builder
	for {
		line, err := s.input.R.ReadSlice('\n')
		if err != nil || payload.Len()+len(line) > s.server.config.MaxLineBytes {
			return "", errIncompletePayload
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == terminator {
			return payload.String(), nil
		}
		payload.WriteString(text + "\n")
	}
}

// splitCommands splits a line at semicolons. A backslash removes the special meaning of the character after it.
func splitCommands(line string) []string {
	var commands []string
	var current strings.Builder
	for i := 0; i < len(line); i++ {
		switch {
		case line[i] == '\\' && i+1 < len(line):
			i++
			current.WriteByte(line[i])
		case line[i] == ';':
			commands = append(commands, current.String())
			current.Reset()
		default:
			current.WriteByte(line[i])
		}
	}
	return append(commands, current.String())
}

package config

import (
	"errors"
	"fmt"
	"strings"

	"barleysail/controller"
)

// fieldLines returns the line of each field of a text in protobuf text format that is known to parse, by the field's
// path, such as classes[1].due_ms. The first element of a repeated field has no index in its path.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	stack := []message{{"", map[string]int{}}} // the messages around the current position
	line, name, lastPath := 1, "", ""
	s := string(text)
	for i := 0; i < len(s); i++ {
		top := &stack[len(stack)-1]
		switch c := s[i]; {
		case c == '\n':
			line++
		case c == '#':
			for i+1 < len(s) && s[i+1] != '\n' {
				i++
			}
		case c == '"' || c == '\'':
			for i++; i < len(s) && s[i] != c; i++ {
				if s[i] == '\\' {
					i++
				}
			}
			name = ""
		case c == '{' || c == '<':
			if name != "" {
				lastPath = top.addField(lines, name, line)
				name = ""
			}
			stack = append(stack, message{lastPath + ".", map[string]int{}})
		case c == '}' || c == '>':
			if len(stack) > 1 {
				stack = stack[:len(stack)-1]
			}
			name = ""
		case c == ':':
			if name != "" {
				lastPath = top.addField(lines, name, line)
				name = ""
			}
		case c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z':
			start := i
			for i+1 < len(s) && strings.IndexByte(" \t\r\n:{}<>[],;#\"'", s[i+1]) < 0 {
				i++
			}
			name = s[start : i+1]
		}
	}
	return lines
}

// message is a message in the text, with the number of occurrences of each of its fields so far.
type message struct {
	prefix string // of the paths of its fields
	counts map[string]int
}

// addField adds the line of a field of the message, and returns the field's path.
func (m *message) addField(lines map[string]int, name string, line int) string {
	path := m.prefix + name
	if m.counts[name] > 0 {
		path += fmt.Sprintf("[%d]", m.counts[name])
	}
	lines[path] = line
	m.counts[name]++
	return path
}

// lineOf returns the line of a field. For a missing field it returns that of the innermost message around it, or 1.
func lineOf(lines map[string]int, path string) int {
	path = strings.ReplaceAll(path, "[0]", "")
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	return 1
}

// LocateEndpointError adds the file and the line to the controller's error of an endpoint in a list file.
func LocateEndpointError(file string, text []byte, err error) error {
	var fieldErr *controller.FieldError
	if !errors.As(err, &fieldErr) {
		return fmt.Errorf("%s: %w", file, err)
	}
	return fmt.Errorf("%s:%d: %w", file, lineOf(fieldLines(text), fieldErr.Field), err)
}

package config

import (
	"errors"
	"fmt"
	"strings"

	"barleysail/controller"
)

// locate gives the line of each field in a text that parses, by its path, as in classes[1].due_ms.
func locate(text []byte) map[string]int {
	at := map[string]int{}
	stack := []block{{"", map[string]int{}}}
	line, name, last := 1, "", ""
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
				last = top.note(at, name, line)
				name = ""
			}
			stack = append(stack, block{last + ".", map[string]int{}})
		case c == '}' || c == '>':
			if len(stack) > 1 {
				stack = stack[:len(stack)-1]
			}
			name = ""
		case c == ':':
			if name != "" {
				last = top.note(at, name, line)
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
	return at
}

// block is a message that is open, with the number of times each of its fields was met.
type block struct {
	prefix string
	counts map[string]int
}

// note keeps the line of a field under its path, and gives the path; the first of a name has no index in it.
func (o *block) note(at map[string]int, name string, line int) string {
	path := o.prefix + name
	if o.counts[name] > 0 {
		path += fmt.Sprintf("[%d]", o.counts[name])
	}
	at[path] = line
	o.counts[name]++
	return path
}

// lineOf finds the line of a field, or of what it is missing in.
func lineOf(at map[string]int, field string) int {
	field = strings.ReplaceAll(field, "[0]", "")
	for field != "" {
		if line, ok := at[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexByte(field, '.'), 0)]
	}
	return 1
}

// LocateEndpointError words a steward's refusal of a list file's entry with file and line.
func LocateEndpointError(file string, text []byte, err error) error {
	var field *controller.FieldError
	if !errors.As(err, &field) {
		return fmt.Errorf("%s: %w", file, err)
	}
	return fmt.Errorf("%s:%d: %w", file, lineOf(locate(text), field.Field), err)
}

package runtimeapi

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
)

const errInfoArguments = commandError("'show info' only supports 'typed' and 'json'.")

// infoField is the name and the value of a line of show info.
type infoField struct{ name, value string }

// typeName returns the type of the value in the typed formats.
func (f infoField) typeName() string {
	if _, err := strconv.Atoi(f.value); err == nil {
		return "u32"
	}
	return "str"
}

// infoFields returns the lines of show info, in order.
func (s *session) infoFields() []infoField {
	status := s.server.controller.Status()
	return []infoField{
		{"Name", "barleysail"},
		{"Version", s.server.config.Version},
		{"Nbthread", strconv.Itoa(runtime.GOMAXPROCS(0))},
		{"Nbproc", "1"},
		{"Process_num", "1"},
		{"Pid", strconv.Itoa(os.Getpid())},
		{"CurrConns", strconv.Itoa(status.ConnectedProxies)},
		{"Stopping", "0"},
		{"Jobs", strconv.Itoa(status.PendingPolls)},
		{"Tasks", strconv.Itoa(status.QueuedMessages)},
		{"node", status.Incarnation},
		{"description", status.Mode},
	}
}

func (s *session) showInfo(args []string) (string, error) {
	fields := s.infoFields()
	switch firstArgument(args) {
	case "":
		return infoText(fields), nil
	case formatTyped:
		return infoTyped(fields), nil
	case formatJSON:
		return infoJSON(fields)
	default:
		return "", errInfoArguments
	}
}

func infoText(fields []infoField) string {
	var text strings.Builder
	for _, field := range fields {
		fmt.Fprintf(&text, "%s: %s\n", field.name, field.value)
	}
	return text.String()
}

func infoTyped(fields []infoField) string {
	var text strings.Builder
	for position, field := range fields {
		fmt.Fprintf(&text, "%d.%s.1:MGP:%s:%s\n", position, field.name, field.typeName(), field.value)
	}
	return text.String()
}

// The JSON form of show info. The fields of each object are in alphabetical order.
type (
	infoObject struct {
		Field      infoPosition `json:"field"`
		ProcessNum int          `json:"processNum"`
		Tags       infoTags     `json:"tags"`
		Value      infoValue    `json:"value"`
	}
	infoPosition struct {
		Name     string `json:"name"`
		Position int    `json:"pos"`
	}
	infoTags struct {
		Nature string `json:"nature"`
		Origin string `json:"origin"`
		Scope  string `json:"scope"`
	}
	infoValue struct {
		Type  string `json:"type"`
		Value any    `json:"value"` // an int or a string
	}
)

func infoJSON(fields []infoField) (string, error) {
	objects := []infoObject{}
	for position, field := range fields {
		objects = append(objects, infoObject{
			Field:      infoPosition{Name: field.name, Position: position},
			ProcessNum: 1,
			Tags:       infoTags{Nature: "Output", Origin: "Product", Scope: "Service"},
			Value:      infoValue{Type: field.typeName(), Value: field.jsonValue()},
		})
	}
	text, err := json.Marshal(objects)
	if err != nil {
		return "", fmt.Errorf("encoding the information: %w", err)
	}
	return string(text) + "\n", nil
}

func (f infoField) jsonValue() any {
	if number, err := strconv.Atoi(f.value); err == nil {
		return number
	}
	return f.value
}

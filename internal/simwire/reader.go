package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const readBufferBytes = 1 << 20 // the longest events, endpoint lists, should come in one read

// Reader reads events line by line.
type Reader struct{ in *bufio.Reader }

// NewReader returns a reader of the events of an input.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, readBufferBytes)} }

// Next reads an event into one that may be used again. It returns io.EOF at a clean end of the input, an *EventError
// for a malformed line, and the input's own error.
func (r *Reader) Next(event *Event) error {
	line, err := r.in.ReadBytes('\n')
	lastLine := errors.Is(err, io.EOF) && len(line) > 0
	if err != nil && !lastLine {
		return err
	}
	*event = Event{}
	if err := json.Unmarshal(line, event); err != nil {
		return event.undecodable(err)
	}
	return event.checkForm()
}

// undecodable returns the error of an event that JSON decoding failed for.
func (e *Event) undecodable(cause error) *EventError {
	reason := fmt.Sprintf("not a JSON object: %v", cause)
	var wrongType *json.UnmarshalTypeError
	if errors.As(cause, &wrongType) && wrongType.Field != "" {
		reason = fmt.Sprintf("field %s cannot be %s", wrongType.Field, wrongType.Value)
	}
	return &EventError{Event: e.typeOrLine(), Reason: reason, Err: cause}
}

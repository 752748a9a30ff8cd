package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const readBufferBytes = 1 << 20 // the longest events, endpoint lists, should fit into one read

// Reader reads events line by line.
type Reader struct{ in *bufio.Reader }

// NewReader returns a reader of events from an input.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, readBufferBytes)} }

// Next reads an event into event, which it overwrites. It returns io.EOF at the end of the input, an *EventError for
// a malformed line, or the error of the input.
func (r *Reader) Next(event *Event) error {
	line, err := r.in.ReadBytes('\n')
	lastLine := errors.Is(err, io.EOF) && len(line) > 0
	if err != nil && !lastLine {
		return err
	}
	*event = Event{}
	if err := json.Unmarshal(line, event); err != nil {
		return event.decodeError(err)
	}
	return event.validate()
}

// decodeError returns the error of an event that could not be decoded.
func (e *Event) decodeError(cause error) *EventError {
	reason := fmt.Sprintf("not a JSON object: %v", cause)
	var wrongType *json.UnmarshalTypeError
	if errors.As(cause, &wrongType) && wrongType.Field != "" {
		reason = fmt.Sprintf("field %s cannot be %s", wrongType.Field, wrongType.Value)
	}
	return &EventError{Event: e.typeOrLine(), Reason: reason, Err: cause}
}

package runtimeapi

import (
	"fmt"
	"slices"
	"time"

	"barleysail/controller"
)

// eventWait is the time for which a session waits for an event before it checks its connection.
const eventWait = 10 * time.Second

const microsecondsPerMs = 1000

const errEventArguments = commandError("'show events' only supports '-w'.")

// showEvents writes the events so far, and with -w also those that follow, until the client sends anything or the
// connection ends.
func (s *session) showEvents(args []string) (string, error) {
	follow := slices.Contains(args, "-w")
	if len(args) > 0 && !follow {
		return "", errEventArguments
	}
	if !follow {
		s.writeEvents(s.awaitEvents(0, 0, nil))
		return "", nil
	}
	s.followEvents()
	return "", nil
}

// followEvents writes the events so far and those that follow, until the client sends anything or the connection
// ends.
func (s *session) followEvents() {
	clientDone := s.awaitInput()
	lastNumber := int64(0)
	for !s.ended {
		wait := time.Duration(0)
		if lastNumber > 0 {
			wait = eventWait
		}
		events := s.awaitEvents(lastNumber, wait, clientDone)
		s.writeEvents(events)
		if len(events) > 0 {
			lastNumber = events[len(events)-1].Number
		}
		s.ended = s.flush() != nil || isClosed(clientDone)
	}
}

// awaitInput returns a channel that is closed when the client sends anything, or when the connection ends. The
// goroutine ends then, at the latest when the session ends, since that closes the connection.
func (s *session) awaitInput() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Errors mean that the connection has ended. There is no deadline, since a client that follows events is not idle.
		_ = s.conn.SetReadDeadline(time.Time{})
		_, _ = s.input.R.ReadByte()
	}()
	return done
}

// awaitEvents returns the events after a number. If there are none yet, it waits for one, up to wait or until the
// client is done.
func (s *session) awaitEvents(after int64, wait time.Duration, clientDone <-chan struct{}) []controller.Event {
	received := make(chan []controller.Event, 1)
	cancel := s.server.controller.Events(after, wait, func(events []controller.Event) { received <- events })
	defer cancel()
	select {
	case events := <-received:
		return events
	case <-clientDone:
		return nil
	}
}

func (s *session) writeEvents(events []controller.Event) {
	for _, event := range events {
		at := time.UnixMicro(int64(event.AtMs * microsecondsPerMs)).UTC()
		s.write(fmt.Sprintf("<%d> %s %s %s\n", event.Number, at.Format(time.RFC3339Nano), event.Kind, event.Text))
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

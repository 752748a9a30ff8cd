package main

import (
	"errors"
	"fmt"
	"io"

	"barleysail/internal/simwire"
)

// eventError is the reason why an event cannot be applied. It ends the simulation.
type eventError struct {
	event  string // event type
	reason string
}

func (e *eventError) Error() string { return e.event + ": " + e.reason }

// truncatedBatchError is the error of an input that ends inside a batch.
type truncatedBatchError struct{ batch int64 }

func (e *truncatedBatchError) Error() string {
	return fmt.Sprintf("batch %d: input ended inside it", e.batch)
}

// batch is a group of events at the same simulated time. Each instance that an event names runs one round at the end
// of the batch.
type batch struct {
	number int64
	nowMs  float64 // simulated time
}

// adapter runs the instances of a simulation.
type adapter struct {
	reader    *simwire.Reader
	writer    *simwire.Writer
	instances map[int]*controllerInstance // by the simulator's number
	event     simwire.Event               // the event that was last read
	affected  []*controllerInstance       // instances with an event in the batch, in the order of their first event
}

// run processes batches until the input ends between two of them.
func (a *adapter) run() error {
	for {
		current, err := a.readBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.runBatch(current); err != nil {
			return err
		}
	}
}

// readBatch reads the event that begins a batch. It returns io.EOF at the end of the input.
func (a *adapter) readBatch() (batch, error) {
	if err := a.reader.Next(&a.event); err != nil {
		return batch{}, err
	}
	if a.event.Type != simwire.Turn {
		return batch{}, &eventError{a.event.Type, "came outside a batch"}
	}
	return batch{number: *a.event.Turn, nowMs: milliseconds(a.event.SimTimeUs)}, nil
}

// runBatch applies the events of a batch, then runs a round of each affected instance, and ends the response.
func (a *adapter) runBatch(current batch) error {
	a.affected = a.affected[:0]
	if err := a.applyEvents(current); err != nil {
		return err
	}
	for _, instance := range a.affected {
		instance.affected = false
		instance.round(current.nowMs)
	}
	return a.writer.Done(current.number)
}

// applyEvents reads and applies the events of a batch up to its end.
func (a *adapter) applyEvents(current batch) error {
	for {
		err := a.reader.Next(&a.event)
		if errors.Is(err, io.EOF) {
			return &truncatedBatchError{current.number}
		}
		if err != nil {
			return err
		}
		switch a.event.Type {
		case simwire.End:
			return nil
		case simwire.Turn:
			return &eventError{simwire.Turn, fmt.Sprintf("came inside batch %d", current.number)}
		}
		if err := a.applyEvent(); err != nil {
			return err
		}
	}
}

// applyEvent applies the event that was last read to the instance that it names.
func (a *adapter) applyEvent() error {
	instance, err := a.eventInstance()
	if err != nil {
		return err
	}
	if err := instance.apply(&a.event); err != nil {
		return err
	}
	if !instance.affected {
		instance.affected = true
		a.affected = append(a.affected, instance)
	}
	return nil
}

// eventInstance returns the instance that the last event names. A start event creates it; any other event for an
// unknown instance is an error.
func (a *adapter) eventInstance() (*controllerInstance, error) {
	number := int(*a.event.I)
	instance, known := a.instances[number]
	if known {
		return instance, nil
	}
	if a.event.Type != simwire.Start {
		return nil, &eventError{a.event.Type, fmt.Sprintf("instance %d never started", number)}
	}
	instance = &controllerInstance{number: number, writer: a.writer}
	a.instances[number] = instance
	return instance, nil
}

// microsecondsPerMs converts the simulator's unit of time to that of package routing.
const microsecondsPerMs = 1000

// milliseconds converts the simulator's microseconds to milliseconds.
func milliseconds(us *int64) float64 { return float64(*us) / microsecondsPerMs }

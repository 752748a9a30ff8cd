package main

import (
	"errors"
	"fmt"
	"io"

	"barleysail/internal/simwire"
)

// eventError says why an event cannot be applied. It ends the simulation.
type eventError struct {
	event  string // its type
	reason string
}

func (e *eventError) Error() string { return e.event + ": " + e.reason }

// truncatedBatchError says that the input ended inside a batch.
type truncatedBatchError struct{ batch int64 }

func (e *truncatedBatchError) Error() string {
	return fmt.Sprintf("batch %d: input ended inside it", e.batch)
}

// batch is a number of events that happen at one time. Each instance that an event names makes one round at its end.
type batch struct {
	number int64
	nowMs  float64 // simulated time
}

// adapter runs the instances of a simulation.
type adapter struct {
	reader    *simwire.Reader
	writer    *simwire.Writer
	instances map[int]*controllerInstance // by the simulator's number
	event     simwire.Event               // the last one that was read
	affected  []*controllerInstance       // by an event of the batch, in the order of the first one
}

// run runs batches until the input ends between two of them.
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

// readBatch reads the event that begins a batch; io.EOF says that there is none.
func (a *adapter) readBatch() (batch, error) {
	if err := a.reader.Next(&a.event); err != nil {
		return batch{}, err
	}
	if a.event.Type != simwire.Turn {
		return batch{}, &eventError{a.event.Type, "came outside a batch"}
	}
	return batch{number: *a.event.Turn, nowMs: milliseconds(a.event.SimTimeUs)}, nil
}

// runBatch applies the events of a batch, then lets each affected instance make a round, and ends the response.
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

// applyEvent applies the last event that was read to the instance that it names.
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

// eventInstance returns the instance that the last event names. A start makes it; other events need one that exists.
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

// milliseconds converts the simulator's microseconds.
func milliseconds(us *int64) float64 { return float64(*us) / 1000 }

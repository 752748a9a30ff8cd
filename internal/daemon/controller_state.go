package daemon

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/solver"
	"barleysail/state"
	"barleysail/state/statepb"
)

// restore passes the part of an earlier state that is still valid to the controller, and returns it; coldMs is the
// guard.cold_ms setting. It must be the controller's first input. The error says that the state cannot be encoded for
// the recording.
func (l *controllerLoop) restore(saved *statepb.State, coldMs float64) (*state.Restored, error) {
	text, err := proto.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("encoding the state to restore: %w", err)
	}
	wallMs := wallClockMs()
	restored := state.ApplyDecay(saved, wallMs, state.DefaultLimits(coldMs))
	l.mu.Lock()
	defer l.mu.Unlock()
	nowMs := l.advanceClock()
	if l.recorder != nil {
		l.recorder.write(record.Restore(nowMs, text, wallMs, coldMs))
	}
	l.controller.Restore(nowMs, restored)
	return restored, nil
}

// snapshot returns the controller's state with its times on the wall clock, or nil once the loop has stopped, and
// reports whether the controller has received an endpoint list yet.
func (l *controllerLoop) snapshot() (snapshot *statepb.State, endpointsKnown bool) {
	l.call(func(nowMs float64) {
		snapshot = l.controller.Snapshot(nowMs)
		endpointsKnown = l.controller.EndpointsKnown()
	})
	if snapshot != nil {
		state.ShiftTimes(snapshot, wallClockMs()-snapshot.At)
	}
	return snapshot, endpointsKnown
}

// query reads a value from the controller under the loop's mutex. It returns the zero value once the loop has stopped.
func query[T any](loop *controllerLoop, read func(*controller.Controller) T) (value T) {
	loop.call(func(float64) { value = read(loop.controller) })
	return value
}

// status returns the controller's current status.
func (l *controllerLoop) status() (status controller.Status) {
	l.call(func(nowMs float64) { status = l.controller.Status(nowMs) })
	return status
}

// listedProblem returns the problem that the solver solves for the fleet, or nil if a host on the list states no cores
// or no demand is known.
func (l *controllerLoop) listedProblem() *solver.Problem {
	return query(l, (*controller.Controller).ListedProblem)
}

// optimalityGap compares the published tables with the optimal ones. It returns nil if the problem is not known or
// cannot be solved. It solves the problem without the mutex, since that may take long.
func (l *controllerLoop) optimalityGap() *solver.Gap {
	var problem *solver.Problem
	var tables solver.Tables
	l.call(func(float64) { problem, tables = l.controller.CurrentProblem() })
	if problem == nil {
		return nil
	}
	gap, err := problem.Measure(tables)
	if err != nil {
		l.log.Warn().Err(err).Msg("measuring the optimality gap failed")
		return nil
	}
	return gap
}

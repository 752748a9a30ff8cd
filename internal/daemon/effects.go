package daemon

import (
	"barleysail/controller"
	"barleysail/internal/record"
)

// The loop collects the effects of the call in progress, and apply applies them after the mutex is released.
var _ controller.Effects = (*controllerLoop)(nil)

// pendingEffects holds the effects of a call on the controller until they are applied.
type pendingEffects struct {
	responses    []pendingResponse
	healthChecks []string // hosts
	watches      int      // requests to watch the endpoint list
	logLines     []string
}

// pendingResponse is a response to a poll that is yet to be delivered.
type pendingResponse struct {
	deliver  func(controller.Response)
	response controller.Response
}

// Respond implements controller.Effects. It records the response, and drops it if the poll was canceled meanwhile.
func (l *controllerLoop) Respond(pollID int64, response controller.Response) {
	if l.recorder != nil {
		l.recorder.write(record.Response(l.lastCallMs, pollID, response))
	}
	deliver := l.pendingPolls[pollID]
	if deliver == nil {
		return
	}
	delete(l.pendingPolls, pollID)
	l.effects.responses = append(l.effects.responses, pendingResponse{deliver, response})
}

// CheckHealth implements controller.Effects.
func (l *controllerLoop) CheckHealth(host string) {
	l.effects.healthChecks = append(l.effects.healthChecks, host)
}

// WatchEndpoints implements controller.Effects.
func (l *controllerLoop) WatchEndpoints() { l.effects.watches++ }

// Log implements controller.Effects.
func (l *controllerLoop) Log(text string) { l.effects.logLines = append(l.effects.logLines, text) }

// apply applies the effects of a call. The caller must not hold the mutex, since callbacks may call the loop again.
func (l *controllerLoop) apply(effects pendingEffects, subscribers []func()) {
	for _, line := range effects.logLines {
		l.log.Info().Msg(line)
	}
	for _, pending := range effects.responses {
		pending.deliver(pending.response)
	}
	for _, notify := range subscribers {
		notify()
	}
	for _, host := range effects.healthChecks {
		l.startHealthCheck(host)
	}
	for range effects.watches {
		l.startWatch()
	}
}

// subscribeEvents calls notify once: at once if there is an event with a number greater than after, and otherwise at
// the next event. notify may be called with the mutex held, so it must not block or call the loop. cancel ends the
// subscription.
func (l *controllerLoop) subscribeEvents(after int64, notify func()) (cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller.NewestEvent() > after {
		notify()
		return func() {}
	}
	l.lastID++
	id := l.lastID
	l.eventSubscribers[id] = notify
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.eventSubscribers, id)
	}
}

// takeNotifiedSubscribers removes and returns all event subscribers if there are new events, and returns nil otherwise.
// The caller holds the mutex.
func (l *controllerLoop) takeNotifiedSubscribers() []func() {
	newest := l.controller.NewestEvent()
	if newest == l.lastEvent {
		return nil
	}
	l.lastEvent = newest
	var notified []func()
	for id, notify := range l.eventSubscribers {
		notified = append(notified, notify)
		delete(l.eventSubscribers, id)
	}
	return notified
}

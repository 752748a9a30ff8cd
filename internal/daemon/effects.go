package daemon

import (
	"barleysail/controller"
	"barleysail/internal/record"
)

// The loop collects the effects of the call in progress; apply carries them out after the mutex is released.
var _ controller.Effects = (*controllerLoop)(nil)

// pendingEffects are the effects that a call on the controller asked for.
type pendingEffects struct {
	responses    []pendingResponse
	healthChecks []string // hosts
	watches      int      // requests to watch the endpoint list
	logLines     []string
}

// pendingResponse is a response to a poll that is delivered after the mutex is released.
type pendingResponse struct {
	deliver  func(controller.Response)
	response controller.Response
}

// Respond implements controller.Effects. A poll that was canceled meanwhile gets nothing.
func (l *controllerLoop) Respond(pollID int64, response controller.Response) {
	if l.recorder != nil {
		l.recorder.write(record.Published(l.lastCallMs, pollID, response))
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

// apply carries out the effects of a call. The caller must not hold the mutex: callbacks may call the loop again.
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

// subscribeEvents calls notify once, when there is an event with a number greater than after: at once where there is
// one already. notify may be called with the mutex held, so it must not block or call the loop. cancel ends the
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

// takeNotifiedSubscribers removes and gives all event subscribers when there are new events. The caller holds the
// mutex.
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

package daemon

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/clock"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// errStopping is the error of a call on a controller whose loop has stopped.
var errStopping = errors.New("the steward is stopping")

const (
	// initialTimerDelay is the timer's delay before the first call sets it to the controller's next deadline.
	initialTimerDelay = time.Hour

	// minTimerDelayMs is the shortest delay of the timer, so that one call serves several deadlines that are close
	// together.
	minTimerDelayMs = 0.2
)

// controllerLoop runs one controller: it serializes all calls by a mutex, passes the clock's time to them, calls the
// controller at its next deadline, and applies the effects of a call after it has released the mutex. It makes no
// routing decision.
//
// The loop owns its timer, whose function runs in a goroutine of its own; shutDown and stop end it.
type controllerLoop struct {
	clock            clock.Clock
	log              zerolog.Logger
	rateLimiter      *intake.RateLimiter // is called without the mutex, so that rejected reports do not contend for it
	startHealthCheck func(host string)   // set before the first call; must not block
	startWatch       func()              // set before the first call; must not block

	mu           sync.Mutex
	controller   *controller.Controller
	ingestRatio  float64 // ratio of the reports that the rate limiter admits, as last set
	lastCallMs   float64 // time of the last call, in ms of the clock; the controller's time never decreases
	timer        *time.Timer
	stopped      bool
	recorder     *recorder // nil: nothing is recorded
	lastID       int64     // the last id that was assigned to a poll or an event subscriber
	pendingPolls map[int64]func(controller.Response)
	effects      pendingEffects // of the call in progress

	eventSubscribers map[int64]func() // each is called once, at the next event, and then removed
	lastEvent        int64            // number of the newest event that subscribers were notified of
}

// newControllerLoop returns a loop without health checks and endpoint watches: the caller has to set startHealthCheck
// and startWatch before the first call.
func newControllerLoop(instance *controller.Controller, limiter *intake.RateLimiter, log zerolog.Logger,
	recorder *recorder) *controllerLoop {
	loop := &controllerLoop{
		clock:            clock.New(),
		log:              log,
		rateLimiter:      limiter,
		controller:       instance,
		ingestRatio:      1,
		recorder:         recorder,
		pendingPolls:     map[int64]func(controller.Response){},
		eventSubscribers: map[int64]func(){},
	}
	loop.timer = time.AfterFunc(initialTimerDelay, loop.wake)
	return loop
}

// wake makes a call that only runs the controller's work that is due.
func (l *controllerLoop) wake() { l.call(func(float64) {}) }

// call runs operation under the mutex with the current time in ms, then runs the controller's work that is due, and
// applies the effects after it has released the mutex. Once the loop has stopped it does nothing.
func (l *controllerLoop) call(operation func(nowMs float64)) {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	nowMs := l.advanceClock()
	operation(nowMs)
	l.advanceController(nowMs)
	l.recorder.flushIfDue(nowMs)
	l.updateIngestRatio()
	l.resetTimer(nowMs)
	effects := l.effects
	l.effects = pendingEffects{}
	subscribers := l.takeNotifiedSubscribers()
	l.mu.Unlock()
	l.apply(effects, subscribers)
}

// recordedCall is call for an input of the controller: if there is a recording, it writes the record of the input
// before it runs operation.
func (l *controllerLoop) recordedCall(input func(nowMs float64) *recordpb.Record, operation func(nowMs float64)) {
	l.call(func(nowMs float64) {
		if l.recorder != nil {
			l.recorder.write(input(nowMs))
		}
		operation(nowMs)
	})
}

// advanceClock returns the time of a call in ms, never less than that of the call before. The caller holds the mutex.
func (l *controllerLoop) advanceClock() float64 {
	l.lastCallMs = math.Max(l.clock.Now(), l.lastCallMs)
	return l.lastCallMs
}

// advanceController runs the controller's work that is due. The caller holds the mutex.
func (l *controllerLoop) advanceController(nowMs float64) {
	if l.controller.NextMs() > nowMs {
		return
	}
	if l.recorder != nil {
		l.recorder.write(record.Advance(nowMs))
	}
	l.controller.Advance(nowMs, l)
}

// updateIngestRatio passes the controller's ingest ratio to the rate limiter if it has changed. The caller holds the
// mutex.
func (l *controllerLoop) updateIngestRatio() {
	ratio := l.controller.IngestRatio()
	if ratio == l.ingestRatio {
		return
	}
	l.ingestRatio = ratio
	l.rateLimiter.SetRatio(time.Now(), ratio)
}

// resetTimer sets the timer to the controller's next deadline. The caller holds the mutex.
func (l *controllerLoop) resetTimer(nowMs float64) {
	delayMs := l.controller.NextMs() - nowMs
	if math.IsInf(delayMs, 1) {
		return
	}
	l.timer.Reset(milliseconds(math.Max(delayMs, minTimerDelayMs)))
}

// shutDown ends the loop for a graceful shutdown: it responds to pending polls and closes the recording. Later calls on
// the loop do nothing.
func (l *controllerLoop) shutDown() {
	l.recordedCall(record.ReleasePolls, func(nowMs float64) { l.controller.ReleasePolls(nowMs, l) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopLocked()
	l.recorder.close()
}

// stop ends the loop as if the process were killed: pending polls get no response, and the recording is not closed.
// Later calls on the loop do nothing.
func (l *controllerLoop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopLocked()
}

// stopLocked makes later calls do nothing and stops the timer. The caller holds the mutex.
func (l *controllerLoop) stopLocked() {
	l.stopped = true
	l.timer.Stop()
}

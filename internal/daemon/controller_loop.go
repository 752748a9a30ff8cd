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

// errStopping is the error of every call that reaches a controller after its loop was stopped.
var errStopping = errors.New("the steward is stopping")

const (
	// initialTimerDelay is the timer's delay before the first call sets it to the controller's next deadline.
	initialTimerDelay = time.Hour

	// minTimerDelayMs is the shortest delay of the timer, so that deadlines close together share a call.
	minTimerDelayMs = 0.2
)

// controllerLoop runs one controller: it serializes all calls under a mutex, passes them the clock's time, wakes the
// controller at its next deadline, and applies the effects of a call after the mutex is released. It makes no
// routing decision.
//
// The timer's goroutine is owned by the loop; stop ends it.
type controllerLoop struct {
	clock            clock.Clock
	log              zerolog.Logger
	rateLimiter      *intake.RateLimiter // asked before the mutex is taken, so that rejected reports cost no lock time
	startHealthCheck func(host string)   // set before the first call; must not block
	startWatch       func()              // set before the first call; must not block

	mu           sync.Mutex
	controller   *controller.Controller
	ingestRatio  float64 // the share of reports that the rate limiter admits, as last set
	lastCallMs   float64 // time of the last call; the controller's time never goes back
	timer        *time.Timer
	stopped      bool
	recorder     *recorder // nil: nothing is recorded
	lastID       int64     // last id given to a poll or an event subscriber
	pendingPolls map[int64]func(controller.Response)
	effects      pendingEffects // of the call in progress

	eventSubscribers map[int64]func() // each is called once, at the next event, and then removed
	lastEvent        int64            // number of the newest event that subscribers were notified of
}

// newControllerLoop makes a loop that is not yet connected to health checks and endpoint watches: the caller sets
// startHealthCheck and startWatch before the first call.
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

// wake makes a call that does nothing but the work that is due.
func (l *controllerLoop) wake() { l.call(func(float64) {}) }

// call runs operation under the mutex with the present time in ms, then advances the controller to its deadlines
// that have passed, and applies the effects after the mutex is released. Once the loop is stopped it does nothing.
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

// recordedCall is call for an input of the controller: where a recording is made, the record of the input is written
// before operation runs.
func (l *controllerLoop) recordedCall(input func(nowMs float64) *recordpb.Record, operation func(nowMs float64)) {
	l.call(func(nowMs float64) {
		if l.recorder != nil {
			l.recorder.write(input(nowMs))
		}
		operation(nowMs)
	})
}

// advanceClock gives the time of a call in ms. The caller holds the mutex.
func (l *controllerLoop) advanceClock() float64 {
	l.lastCallMs = math.Max(l.clock.Now(), l.lastCallMs)
	return l.lastCallMs
}

// advanceController runs the controller's work that is due. The caller holds the mutex.
func (l *controllerLoop) advanceController(nowMs float64) {
	if l.controller.Next() > nowMs {
		return
	}
	if l.recorder != nil {
		l.recorder.write(record.Advance(nowMs))
	}
	l.controller.Advance(nowMs, l)
}

// updateIngestRatio passes the controller's ingest ratio to the rate limiter when it changed. The caller holds the
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
	delayMs := l.controller.Next() - nowMs
	if math.IsInf(delayMs, 1) {
		return
	}
	l.timer.Reset(milliseconds(math.Max(delayMs, minTimerDelayMs)))
}

// stop ends the loop: later calls do nothing. With release, pending polls get a response first and the recording is
// closed; without it the loop ends as if the process had been killed.
func (l *controllerLoop) stop(release bool) {
	if release {
		l.recordedCall(record.Release, func(nowMs float64) { l.controller.ReleasePolls(nowMs, l) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
	if release {
		l.recorder.close()
	}
}

package daemon

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/clock"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/routing"
	"barleysail/solver"
	"barleysail/state"
	"barleysail/state/statepb"
)

// controllerLoop calls the steward under a lock, at the clock's time, and carries out what it wants after the lock is
// given up. It has the one timer of the instance. It adds no decision.
type controllerLoop struct {
	clock            clock.Clock
	log              zerolog.Logger
	startHealthCheck func(host string)
	startWatch       func()

	mu              sync.Mutex
	controller      *controller.Controller
	rateLimiter     *intake.RateLimiter // before the lock: what it refuses costs the steward nothing
	ingestRatio     float64             // of the intake that is let in
	lastCallMs      float64
	timer           *time.Timer
	stopped         bool
	recording       *record.Writer
	recordingFailed bool
	nextFlushMs     float64
	lastID          int64
	pendingPolls    map[int64]func(controller.Response)

	eventSubscribers map[int64]func() // told once when an event comes
	lastEvent        int64            // number of the newest event that was looked at

	outs // of the present call
}

// outs is what the steward wants done.
type outs struct {
	responses    []pendingResponse
	healthChecks []string
	watches      int
	logLines     []string
}

type pendingResponse struct {
	deliver  func(controller.Response)
	response controller.Response
}

func newControllerLoop(s *controller.Controller, door *intake.RateLimiter, log zerolog.Logger, rec *record.Writer) *controllerLoop {
	c := &controllerLoop{clock: clock.New(), log: log, controller: s, rateLimiter: door, ingestRatio: 1, recording: rec, pendingPolls: map[int64]func(controller.Response){},
		eventSubscribers: map[int64]func(){}}
	c.timer = time.AfterFunc(time.Hour, func() { c.call(func(float64) {}) })
	return c
}

// recordingFlushMs is how often a recording is written out, in ms: what a sudden end may cost of it.
const recordingFlushMs = 1000

// The steward.Out of the present call.

func (c *controllerLoop) Respond(poll int64, a controller.Response) {
	if c.recording != nil {
		c.record(record.Published(c.lastCallMs, poll, a))
	}
	if to := c.pendingPolls[poll]; to != nil {
		delete(c.pendingPolls, poll)
		c.responses = append(c.responses, pendingResponse{to, a})
	}
}
func (c *controllerLoop) CheckHealth(host string) { c.healthChecks = append(c.healthChecks, host) }
func (c *controllerLoop) WatchEndpoints()         { c.watches++ }
func (c *controllerLoop) Log(text string)         { c.logLines = append(c.logLines, text) }

// record records; a recording that fails costs the recording, never a decision.
func (c *controllerLoop) record(r *recordpb.Record) {
	if err := c.recording.Write(r); err != nil && !c.recordingFailed {
		c.recordingFailed = true
		c.log.Error().Err(err).Msg("the recording ends here")
	}
}

// call calls f under the lock, does what is due, and then carries out what came of it.
func (c *controllerLoop) call(f func(now float64)) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return
	}
	now := math.Max(c.clock.Now(), c.lastCallMs)
	c.lastCallMs = now
	f(now)
	if c.controller.Next() <= now {
		if c.recording != nil {
			c.record(record.Advance(now))
		}
		c.controller.Advance(now, c)
	}
	if c.recording != nil && now >= c.nextFlushMs {
		c.nextFlushMs = now + recordingFlushMs
		c.recording.Flush()
	}
	if part := c.controller.IngestRatio(); part != c.ingestRatio {
		c.ingestRatio = part
		c.rateLimiter.SetRatio(time.Now(), part)
	}
	if wait := c.controller.Next() - now; !math.IsInf(wait, 1) {
		c.timer.Reset(time.Duration(math.Max(wait, 0.2) * float64(time.Millisecond)))
	}
	todo := c.outs
	c.outs = outs{}
	var told []func()
	if n := c.controller.NewestEvent(); n != c.lastEvent {
		c.lastEvent = n
		for id, f := range c.eventSubscribers {
			told = append(told, f)
			delete(c.eventSubscribers, id)
		}
	}
	c.mu.Unlock()
	for _, line := range todo.logLines {
		c.log.Info().Msg(line)
	}
	for _, x := range todo.responses {
		x.deliver(x.response)
	}
	for _, f := range told {
		f()
	}
	for _, host := range todo.healthChecks {
		c.startHealthCheck(host)
	}
	for range todo.watches {
		c.startWatch()
	}
}

// recordedCall records an input where recordings are made, and calls f with it.
func (c *controllerLoop) recordedCall(make func(now float64) *recordpb.Record, f func(now float64)) {
	c.call(func(now float64) {
		if c.recording != nil {
			c.record(make(now))
		}
		f(now)
	})
}

// restore tells the steward what of a kept state may still be gone by, before anything else; nothing is decided yet.
func (c *controllerLoop) restore(kept *statepb.State, cold float64) (*state.Restored, error) {
	text, err := proto.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("recalling a state: %w", err)
	}
	now := wallClockMs()
	r := state.ApplyDecay(kept, now, state.DefaultLimits(cold))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCallMs = math.Max(c.clock.Now(), c.lastCallMs)
	if c.recording != nil {
		c.record(record.Recall(c.lastCallMs, text, now, cold))
	}
	c.controller.Restore(c.lastCallMs, r)
	return r, nil
}

// snapshot takes what the steward knows, with the wall clock's times; nil once it is stopped. listed tells whether it has
// had a list yet.
func (c *controllerLoop) snapshot() (s *statepb.State, listed bool) {
	c.call(func(now float64) { s, listed = c.controller.Snapshot(now), c.controller.EndpointsKnown() })
	if s != nil {
		state.ShiftTimes(s, wallClockMs()-s.At)
	}
	return s, listed
}

func (c *controllerLoop) setEndpoints(entries []controller.Endpoint) (err error) {
	c.recordedCall(func(now float64) *recordpb.Record { return record.Listed(now, entries) },
		func(now float64) { err = c.controller.SetEndpoints(now, entries) })
	return err
}

func (c *controllerLoop) observeWatchFailure() {
	c.recordedCall(record.ListFailed, c.controller.ObserveWatchFailure)
}

func (c *controllerLoop) observeHealthCheck(host string, how routing.HealthCheckResult, load routing.HostLoad) {
	c.recordedCall(func(now float64) *recordpb.Record { return record.Probed(now, host, how, load) },
		func(now float64) { c.controller.ObserveHealthCheck(now, host, how, load) })
}

// poll has to be called once with the answer, unless it gives an error. It gives the poll's id.
func (c *controllerLoop) poll(q controller.PollRequest, to func(controller.Response)) (id int64, err error) {
	err = errStopping
	c.call(func(now float64) {
		c.lastID++
		id = c.lastID
		c.pendingPolls[id] = to
		if c.recording != nil {
			c.record(record.Poll(now, id, q))
		}
		if err = c.controller.Poll(now, id, q, c); err != nil {
			delete(c.pendingPolls, id)
		}
	})
	return id, err
}

func (c *controllerLoop) cancelPoll(proxy string, id int64) {
	c.recordedCall(func(now float64) *recordpb.Record { return record.PollGone(now, proxy, id) },
		func(now float64) {
			delete(c.pendingPolls, id)
			c.controller.CancelPoll(now, proxy, id)
		})
}

func (c *controllerLoop) disconnect(proxy string) (joined bool) {
	c.recordedCall(func(now float64) *recordpb.Record { return record.Leave(now, proxy) },
		func(now float64) { joined = c.controller.Disconnect(now, proxy, c) })
	return joined
}

func (c *controllerLoop) observeProxyStats(proxy string, u controller.ProxyStats) (counted bool, err error) {
	err = errStopping
	c.recordedCall(func(now float64) *recordpb.Record { return record.Sums(now, proxy, u) },
		func(now float64) { counted, err = c.controller.ObserveProxyStats(now, proxy, u) })
	return counted, err
}

// observeLoadReport gives a host's own load report to the steward.
func (c *controllerLoop) observeLoadReport(host string, r controller.LoadReport) (counted bool, err error) {
	err = errStopping
	c.recordedCall(func(now float64) *recordpb.Record { return record.HostLoad(now, host, r) },
		func(now float64) { counted, err = c.controller.ObserveLoadReport(now, host, r) })
	return counted, err
}

// applyOverrides gives operators' orders to the steward.
func (c *controllerLoop) applyOverrides(orders []operator.Command) (waits bool, err error) {
	err = errStopping
	c.recordedCall(func(now float64) *recordpb.Record { return record.Operate(now, orders) },
		func(now float64) { waits, err = c.controller.ApplyOverrides(now, orders, c) })
	return waits, err
}

// subscribeEvents has f called once when an event after a number comes.
func (c *controllerLoop) subscribeEvents(after int64, f func()) (forget func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controller.NewestEvent() > after {
		f()
		return func() {}
	}
	c.lastID++
	id := c.lastID
	c.eventSubscribers[id] = f
	return func() {
		c.mu.Lock()
		delete(c.eventSubscribers, id)
		c.mu.Unlock()
	}
}

// query reads something out of the steward; the zero value once it is stopped.
func query[T any](c *controllerLoop, f func(s *controller.Controller) T) (x T) {
	c.call(func(float64) { x = f(c.controller) })
	return x
}

func (c *controllerLoop) status() (st controller.Status) {
	c.call(func(now float64) { st = c.controller.Status(now) })
	return st
}

// optimalityGap measures the standing tables after the lock is given up: solving may take long.
func (c *controllerLoop) optimalityGap() *solver.Gap {
	var p *solver.Problem
	var t solver.Tables
	c.call(func(float64) { p, t = c.controller.CurrentProblem() })
	if p == nil {
		return nil
	}
	g, err := p.Measure(t)
	if err != nil {
		c.log.Warn().Err(err).Msg("the gap to the best tables could not be measured")
		return nil
	}
	return g
}

func (c *controllerLoop) listedProblem() *solver.Problem {
	return query(c, (*controller.Controller).ListedProblem)
}

// stop ends all calls; with release the polls that are held are answered first.
func (c *controllerLoop) stop(release bool) {
	if release {
		c.recordedCall(record.Release, func(now float64) { c.controller.ReleasePolls(now, c) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
	if c.recording != nil && release {
		c.recording.Close()
	}
}

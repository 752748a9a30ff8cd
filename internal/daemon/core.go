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

// core calls the steward under a lock, at the clock's time, and carries out what it wants after the lock is
// given up. It has the one timer of the instance. It adds no decision.
type core struct {
	clock clock.Clock
	log   zerolog.Logger
	probe func(host string)
	watch func()

	mu      sync.Mutex
	steward *controller.Controller
	door    *intake.RateLimiter // before the lock: what it refuses costs the steward nothing
	part    float64             // of the intake that is let in
	last    float64
	timer   *time.Timer
	stopped bool
	rec     *record.Writer
	recFail bool
	flushAt float64
	polls   int64
	waiting map[int64]func(controller.Response)

	followers map[int64]func() // told once when an event comes
	followed  int64            // number of the newest event that was looked at

	outs // of the present call
}

// outs is what the steward wants done.
type outs struct {
	answers []answered
	probes  []string
	watches int
	lines   []string
}

type answered struct {
	to func(controller.Response)
	a  controller.Response
}

func newCore(s *controller.Controller, door *intake.RateLimiter, log zerolog.Logger, rec *record.Writer) *core {
	c := &core{clock: clock.New(), log: log, steward: s, door: door, part: 1, rec: rec, waiting: map[int64]func(controller.Response){},
		followers: map[int64]func(){}}
	c.timer = time.AfterFunc(time.Hour, func() { c.do(func(float64) {}) })
	return c
}

// recordEvery is how often a recording is written out, in ms: what a sudden end may cost of it.
const recordEvery = 1000

// The steward.Out of the present call.

func (c *core) Respond(poll int64, a controller.Response) {
	if c.rec != nil {
		c.write(record.Published(c.last, poll, a))
	}
	if to := c.waiting[poll]; to != nil {
		delete(c.waiting, poll)
		c.answers = append(c.answers, answered{to, a})
	}
}
func (c *core) CheckHealth(host string) { c.probes = append(c.probes, host) }
func (c *core) WatchEndpoints()         { c.watches++ }
func (c *core) Log(text string)         { c.lines = append(c.lines, text) }

// write records; a recording that fails costs the recording, never a decision.
func (c *core) write(r *recordpb.Record) {
	if err := c.rec.Write(r); err != nil && !c.recFail {
		c.recFail = true
		c.log.Error().Err(err).Msg("the recording ends here")
	}
}

// do calls f under the lock, does what is due, and then carries out what came of it.
func (c *core) do(f func(now float64)) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return
	}
	now := math.Max(c.clock.Now(), c.last)
	c.last = now
	f(now)
	if c.steward.Next() <= now {
		if c.rec != nil {
			c.write(record.Advance(now))
		}
		c.steward.Advance(now, c)
	}
	if c.rec != nil && now >= c.flushAt {
		c.flushAt = now + recordEvery
		c.rec.Flush()
	}
	if part := c.steward.IngestRatio(); part != c.part {
		c.part = part
		c.door.SetRatio(time.Now(), part)
	}
	if wait := c.steward.Next() - now; !math.IsInf(wait, 1) {
		c.timer.Reset(time.Duration(math.Max(wait, 0.2) * float64(time.Millisecond)))
	}
	todo := c.outs
	c.outs = outs{}
	var told []func()
	if n := c.steward.NewestEvent(); n != c.followed {
		c.followed = n
		for id, f := range c.followers {
			told = append(told, f)
			delete(c.followers, id)
		}
	}
	c.mu.Unlock()
	for _, line := range todo.lines {
		c.log.Info().Msg(line)
	}
	for _, x := range todo.answers {
		x.to(x.a)
	}
	for _, f := range told {
		f()
	}
	for _, host := range todo.probes {
		c.probe(host)
	}
	for range todo.watches {
		c.watch()
	}
}

// input records an input where recordings are made, and calls f with it.
func (c *core) input(make func(now float64) *recordpb.Record, f func(now float64)) {
	c.do(func(now float64) {
		if c.rec != nil {
			c.write(make(now))
		}
		f(now)
	})
}

// recall tells the steward what of a kept state may still be gone by, before anything else; nothing is decided yet.
func (c *core) recall(kept *statepb.State, cold float64) (*state.Restored, error) {
	text, err := proto.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("recalling a state: %w", err)
	}
	now := wallNow()
	r := state.ApplyDecay(kept, now, state.DefaultLimits(cold))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = math.Max(c.clock.Now(), c.last)
	if c.rec != nil {
		c.write(record.Recall(c.last, text, now, cold))
	}
	c.steward.Restore(c.last, r)
	return r, nil
}

// remember takes what the steward knows, with the wall clock's times; nil once it is stopped. listed tells whether it has
// had a list yet.
func (c *core) remember() (s *statepb.State, listed bool) {
	c.do(func(now float64) { s, listed = c.steward.Snapshot(now), c.steward.EndpointsKnown() })
	if s != nil {
		state.ShiftTimes(s, wallNow()-s.At)
	}
	return s, listed
}

func (c *core) listed(entries []controller.Endpoint) (err error) {
	c.input(func(now float64) *recordpb.Record { return record.Listed(now, entries) },
		func(now float64) { err = c.steward.SetEndpoints(now, entries) })
	return err
}

func (c *core) listFailed() {
	c.input(record.ListFailed, c.steward.ObserveWatchFailure)
}

func (c *core) probed(host string, how routing.HealthCheckResult, load routing.HostLoad) {
	c.input(func(now float64) *recordpb.Record { return record.Probed(now, host, how, load) },
		func(now float64) { c.steward.ObserveHealthCheck(now, host, how, load) })
}

// poll has to be called once with the answer, unless it gives an error. It gives the poll's id.
func (c *core) poll(q controller.PollRequest, to func(controller.Response)) (id int64, err error) {
	err = errStopping
	c.do(func(now float64) {
		c.polls++
		id = c.polls
		c.waiting[id] = to
		if c.rec != nil {
			c.write(record.Poll(now, id, q))
		}
		if err = c.steward.Poll(now, id, q, c); err != nil {
			delete(c.waiting, id)
		}
	})
	return id, err
}

func (c *core) pollGone(proxy string, id int64) {
	c.input(func(now float64) *recordpb.Record { return record.PollGone(now, proxy, id) },
		func(now float64) {
			delete(c.waiting, id)
			c.steward.CancelPoll(now, proxy, id)
		})
}

func (c *core) leave(proxy string) (joined bool) {
	c.input(func(now float64) *recordpb.Record { return record.Leave(now, proxy) },
		func(now float64) { joined = c.steward.Disconnect(now, proxy, c) })
	return joined
}

func (c *core) sums(proxy string, u controller.ProxyStats) (counted bool, err error) {
	err = errStopping
	c.input(func(now float64) *recordpb.Record { return record.Sums(now, proxy, u) },
		func(now float64) { counted, err = c.steward.ObserveProxyStats(now, proxy, u) })
	return counted, err
}

// hostLoad gives a host's own load report to the steward.
func (c *core) hostLoad(host string, r controller.LoadReport) (counted bool, err error) {
	err = errStopping
	c.input(func(now float64) *recordpb.Record { return record.HostLoad(now, host, r) },
		func(now float64) { counted, err = c.steward.ObserveLoadReport(now, host, r) })
	return counted, err
}

// operate gives operators' orders to the steward.
func (c *core) operate(orders []operator.Command) (waits bool, err error) {
	err = errStopping
	c.input(func(now float64) *recordpb.Record { return record.Operate(now, orders) },
		func(now float64) { waits, err = c.steward.ApplyOverrides(now, orders, c) })
	return waits, err
}

// follow has f called once when an event after a number comes.
func (c *core) follow(after int64, f func()) (forget func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.steward.NewestEvent() > after {
		f()
		return func() {}
	}
	c.polls++
	id := c.polls
	c.followers[id] = f
	return func() {
		c.mu.Lock()
		delete(c.followers, id)
		c.mu.Unlock()
	}
}

// look reads something out of the steward; the zero value once it is stopped.
func look[T any](c *core, f func(s *controller.Controller) T) (x T) {
	c.do(func(float64) { x = f(c.steward) })
	return x
}

func (c *core) status() (st controller.Status) {
	c.do(func(now float64) { st = c.steward.Status(now) })
	return st
}

// gap measures the standing tables after the lock is given up: solving may take long.
func (c *core) gap() *solver.Gap {
	var p *solver.Problem
	var t solver.Tables
	c.do(func(float64) { p, t = c.steward.CurrentProblem() })
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

func (c *core) fleet() *solver.Problem { return look(c, (*controller.Controller).ListedProblem) }

// stop ends all calls; with release the polls that are held are answered first.
func (c *core) stop(release bool) {
	if release {
		c.input(record.Release, func(now float64) { c.steward.ReleasePolls(now, c) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
	if c.rec != nil && release {
		c.rec.Close()
	}
}

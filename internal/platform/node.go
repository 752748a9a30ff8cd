package platform

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/clock"
	"barleysail/internal/http1"
	"barleysail/internal/instance"
	"barleysail/routing"
)

const (
	queueMost     = 1024 // what came in and waits for the owner
	collectorMost = 3    // streams of one zone's collector: an old one may not have been seen to end
	ownFiles      = 24   // descriptors of the runtime, the logs, the listener, the list
	checksLeast   = 16   // health checks at once
	checksMost    = 256
	checksPart    = 8 // they may hold an eighth of the descriptors: hosts that hang hold theirs until the time-out
	pendingMin    = 8
	unbounded     = 1 << 16 // connections where no limit is set

	silentEvery = 500.0   // ms between looks for silent streams
	silentLeast = 3000.0  // ms without an answer, besides twice the longest way lately
	silentMost  = 20000.0 // ms until a silent connection is ended
	slowestKept = 0.95    // of the longest way, from look to look
)

// Node is a steward in service.
type Node struct {
	config    *Config
	log       zerolog.Logger
	inst      *instance.Instance
	orders    *orders
	bounds    bounds
	admission *admission
	list      *watcher
	checker   *http1.Client
	checks    chan struct{} // held by those that go on
	faults    *faultLog
	events    chan func()
	done      chan struct{}
	work      sync.WaitGroup // all goroutines but the event loop

	clock clock.Clock

	// What follows is the owner's.
	streams    map[int]*stream
	silent     map[int]*stream // that fell silent, by proxy
	collectors map[int][]*stream
	hosts      map[int]process
	wakeAt     float64
	tracedAt   float64
	silentAt   float64
	slowest    float64         // the longest way to an answer lately, ms
	retired    map[int]float64 // hosts that are gone, and since when
}

// writer is the decide.Writer of a node: what is not for proxies is done at once.
type writer struct {
	*orders
	node *Node
	ctx  context.Context
}

func (w *writer) ScheduleRound(at float64) { w.node.wakeAt = at }

// WatchEndpoints asks for nothing: the list is followed from the start.
func (w *writer) WatchEndpoints() {}

func (w *writer) Log(event routing.Event) { w.node.log.Info().Msg(event.Text(w.node.inst.HostID)) }

func (w *writer) CheckHealth(host int) {
	n, asked := w.node, w.node.hosts[host]
	n.work.Go(func() {
		select {
		case n.checks <- struct{}{}:
			defer func() { <-n.checks }()
			n.check(w.ctx, host, asked)
		case <-w.ctx.Done():
		}
	})
}

// Apply sets the process by the machine's limits.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	} else {
		runtime.SetDefaultGOMAXPROCS()
	}
	memory := int64(math.MaxInt64)
	if l.MemoryMB > 0 {
		memory = int64(l.MemoryMB * 0.6 * (1 << 20))
	}
	debug.SetMemoryLimit(memory)
}

// checks is how many health checks may go on at once.
func (l Limits) checks() int {
	if l.Sockets == 0 {
		return checksMost
	}
	return min(max(l.Sockets/checksPart, checksLeast), checksMost)
}

// connections is how many may be open: what the health checks and the steward's own files leave.
func (l Limits) connections(checks int) int {
	if l.Sockets == 0 {
		return unbounded
	}
	return max(l.Sockets-checks-ownFiles, 2*pendingMin)
}

// New makes a node.
func New(c *Config, log zerolog.Logger) (*Node, error) {
	inst, err := instance.New(c.Settings, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("starting the module: %w", err)
	}
	n := &Node{config: c, log: log, inst: inst, bounds: boundsOf(c.Settings), checker: &http1.Client{Idle: -1},
		events: make(chan func(), queueMost), done: make(chan struct{}), clock: clock.New(),
		streams: map[int]*stream{}, silent: map[int]*stream{}, collectors: map[int][]*stream{}, hosts: map[int]process{}, retired: map[int]float64{}}
	n.faults = newFaultLog(log, time.Now)
	n.checks = make(chan struct{}, c.Limits.checks())
	n.admission = newAdmission(c.Limits.connections(cap(n.checks)))
	var names []string
	for _, s := range c.Settings.Services {
		names = append(names, s.Name)
	}
	n.orders = newOrders(names, inst.HostID, func() iter.Seq[int] { return maps.Keys(n.streams) })
	n.list = newWatcher(log, n.faults, inst.ZoneIndex, func(l list) { n.post(func() { n.applyList(l, false) }) })
	return n, nil
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.Info().Str("name", n.config.Name).Stringer("listen", l.Addr()).Int("connections", n.admission.limit).
		Float64("cores", n.config.Limits.Cores).Float64("memory_mb", n.config.Limits.MemoryMB).Int("sockets", n.config.Limits.Sockets).
		Float64("lines_per_s", *n.config.Settings.FamilyInfo.ChannelRate).Float64("most_waiting", *n.config.Settings.FamilyInfo.MostWaiting).
		Float64("head", *n.config.Settings.FamilyInfo.PerMessage).Float64("grace_ms", *n.config.Settings.Rules.StopSendingWithinUs/1000).Float64("order_price", n.config.Settings.FamilyInfo.OrderPrice).Msg("in service")
	known := n.config.Known
	known.Reset = true
	// There is no older list to stand in for this one, so a malformed entry is left out alone.
	known.Instances = slices.DeleteFunc(known.Instances, func(e entry) bool {
		err := e.check(n.inst.ZoneIndex)
		if err != nil {
			n.faults.count("a malformed entry of the known list is dropped", err)
		}
		return err != nil
	})
	n.applyList(known, true)
	n.config.Known = list{}
	n.work.Go(func() { n.list.run(ctx, n.config.Discovery) })
	n.work.Go(func() { n.accept(ctx, l) })
	n.loop(ctx)
	close(n.done)
	l.Close()
	n.admission.close()
	n.work.Wait()
	return nil
}

// Reload takes over what of a new configuration may change while a steward serves: the list's address and the limits. The list
// is followed anew also where its address is the same. Health checks go on as many at once as before.
func (n *Node) Reload(c *Config) {
	c.Limits.Apply()
	n.admission.resize(c.Limits.connections(cap(n.checks)))
	n.list.move(c.Discovery)
	n.log.Info().Str("discovery", c.Discovery).Float64("cores", c.Limits.Cores).Float64("memory_mb", c.Limits.MemoryMB).
		Int("sockets", c.Limits.Sockets).Strs("takes_a_restart", n.config.differs(c)).Msg("the configuration is read again")
}

// post queues an event for the loop, and waits while the queue is full.
func (n *Node) post(f func()) {
	select {
	case n.events <- f:
	case <-n.done:
	}
}

// loop is the event loop, the one goroutine that owns the module. What comes in gathers for a step, then a round decides on all of it.
func (n *Node) loop(ctx context.Context) {
	w := &writer{n.orders, n, ctx}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.events:
			f()
			timer.Reset(n.config.Step)
			for gathering := true; gathering; {
				select {
				case f := <-n.events:
					f()
				case <-timer.C:
					gathering = false
				case <-ctx.Done():
					return
				}
			}
		case <-timer.C:
		}
		now := n.clock.Now()
		n.expireSilent(now)
		n.inst.Round(now, w)
		n.orders.flush(func(p int, message []byte, mark int) {
			s := n.streams[p]
			if s == nil {
				return
			}
			if mark != 0 {
				s.mark(mark, now)
			}
			s.send(message)
		})
		n.trace(now)
		timer.Reset(time.Duration(max(n.wakeAt-n.clock.Now(), 0) * 1e6))
	}
}

// join begins a proxy's stream. Its connection accepted last is its present one, in whatever order the joinings are read: each
// stream is read by a goroutine of its own. Earlier ones are over.
func (n *Node) join(s *stream) {
	for _, other := range []*stream{n.streams[s.proxy], n.silent[s.proxy]} {
		if other != nil && other.number > s.number {
			s.end()
			return
		}
	}
	for _, other := range []*stream{n.streams[s.proxy], n.silent[s.proxy]} {
		if other != nil && other != s {
			other.end()
		}
	}
	delete(n.silent, s.proxy)
	n.admission.joined(s)
	n.streams[s.proxy] = s
	s.sent = nil
	n.orders.forget(s.proxy)
	if n.inst.HostIndexCount() > 0 { // until one is known the proxy keeps what it holds: a table of ours would be empty
		n.inst.ConnectProxy(s.proxy, s.zone, s.weight)
	}
}

func (n *Node) leave(s *stream) {
	if n.streams[s.proxy] == s {
		delete(n.streams, s.proxy)
		n.orders.forget(s.proxy)
		n.inst.DisconnectProxy(s.proxy)
	}
	if n.silent[s.proxy] == s {
		delete(n.silent, s.proxy)
	}
}

// listen looks for streams that have fallen silent: a mark waits for its answer, and nothing was heard since it went out.
// Such a proxy has left, but its connection is kept for a while: if it speaks again, it is joined again.
func (n *Node) expireSilent(now float64) {
	if now < n.silentAt+silentEvery {
		return
	}
	n.silentAt, n.slowest = now, n.slowest*slowestKept
	n.forgetRetired(now)
	for _, s := range n.streams {
		if len(s.sent) > 0 && float64(s.heard.Load()) < s.sent[0].at && now > s.sent[0].at+silentLeast+2*n.slowest {
			n.log.Debug().Int("proxy", s.proxy).Float64("since", s.sent[0].at-now).Msg("a stream is silent")
			n.leave(s)
			n.silent[s.proxy] = s
			n.admission.fellSilent(s)
		}
	}
	for _, s := range n.silent {
		if now > s.sent[0].at+silentMost {
			s.end()
		}
	}
}

func (n *Node) addCollector(s *stream, zone int) {
	if all := n.collectors[zone]; len(all) >= collectorMost {
		all[0].end()
	}
	n.collectors[zone] = append(n.collectors[zone], s)
}

func (n *Node) removeCollector(s *stream, zone int) {
	n.collectors[zone] = slices.DeleteFunc(n.collectors[zone], func(c *stream) bool { return c == s })
}

// handle notes a message of a stream that has joined.
func (n *Node) handle(s *stream, kind string, f fields) error {
	if s.proxy >= 0 && n.silent[s.proxy] == s {
		n.join(s)
	}
	switch kind {
	case "LOAD":
		r, err := n.bounds.hostReport(f, n.inst)
		if err != nil {
			return err
		}
		n.inst.ObserveHostStats(r.host, r.tries, r.failed, r.mean, r.span, r.load)
	case "RATE":
		r, err := n.bounds.usage(f, n.inst)
		if err != nil {
			return err
		}
		if s.proxy >= 0 && s.proxy != r.proxy {
			return fmt.Errorf("proxy is %d on the stream of %d", r.proxy, s.proxy)
		}
		n.inst.ObserveDemand(r.proxy, r.class, r.tries, r.span)
	case "ACK":
		proxy, mark, err := n.bounds.answer(f)
		if err != nil {
			return err
		}
		if s.proxy < 0 || proxy != s.proxy {
			return fmt.Errorf("proxy is %d on the stream of %d", proxy, s.proxy)
		}
		return n.answered(s, mark)
	default:
		return fmt.Errorf("not a report")
	}
	return nil
}

// answered notes the answer to a mark, and with it the answers to all marks sent before that are missing: streams keep
// their order, and an answer may come malformed.
func (n *Node) answered(s *stream, mark int) error {
	at := slices.IndexFunc(s.sent, func(t stamp) bool { return t.number == mark })
	if at < 0 {
		return fmt.Errorf("mark %d does not wait for an answer", mark)
	}
	if n.streams[s.proxy] == s {
		n.inst.Ack(s.proxy, mark)
		n.slowest = max(n.slowest, n.clock.Now()-s.sent[at].at)
	}
	s.sent = slices.Delete(s.sent, 0, at+1)
	return nil
}

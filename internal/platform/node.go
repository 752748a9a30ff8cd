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
)

const (
	maxQueuedEvents           = 1024 // what came in and waits for the owner
	maxCollectorsPerZone      = 3    // streams of one zone's collector: an old one may not have been seen to end
	reservedDescriptors       = 24   // descriptors of the runtime, the logs, the listener, the list
	minHealthChecks           = 16   // health checks at once
	maxHealthChecks           = 256
	descriptorsPerHealthCheck = 8 // they may hold an eighth of the descriptors: hosts that hang hold theirs until the time-out
	minUnidentified           = 8
	unlimitedConnections      = 1 << 16 // connections where no limit is set

	sessionCheckIntervalMs  = 500.0   // ms between looks for silent streams
	minAckTimeoutMs         = 3000.0  // ms without an answer, besides twice the longest way lately
	unresponsiveRetentionMs = 20000.0 // ms until a silent connection is ended
	ackLatencyDecay         = 0.95    // of the longest way, from look to look
)

// Node is a steward in service.
type Node struct {
	config           *Config
	log              zerolog.Logger
	balancer         *instance.Instance
	updates          *updateEncoder
	bounds           messageBounds
	connections      *connectionLimiter
	watcher          *endpointWatcher
	healthClient     *http1.Client
	healthCheckSlots chan struct{} // held by those that go on
	warnings         *rateLimitedLog
	events           chan func()
	done             chan struct{}
	goroutines       sync.WaitGroup // all goroutines but the event loop

	clock clock.Clock

	// What follows is the owner's.
	sessions           map[int]*session
	unresponsive       map[int]*session // that fell silent, by proxy
	collectors         map[int][]*session
	hosts              map[int]hostProcess
	nextRoundMs        float64
	lastTraceMs        float64
	lastSessionCheckMs float64
	maxAckLatencyMs    float64         // the longest way to an answer lately, ms
	removedHosts       map[int]float64 // hosts that are gone, and since when
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

// healthChecks is how many health checks may go on at once.
func (l Limits) healthChecks() int {
	if l.Sockets == 0 {
		return maxHealthChecks
	}
	return min(max(l.Sockets/descriptorsPerHealthCheck, minHealthChecks), maxHealthChecks)
}

// connections is how many may be open: what the health checks and the steward's own files leave.
func (l Limits) connections(checks int) int {
	if l.Sockets == 0 {
		return unlimitedConnections
	}
	return max(l.Sockets-checks-reservedDescriptors, 2*minUnidentified)
}

// New makes a node.
func New(c *Config, log zerolog.Logger) (*Node, error) {
	inst, err := instance.New(c.Settings, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("starting the module: %w", err)
	}
	n := &Node{config: c, log: log, balancer: inst, bounds: newMessageBounds(c.Settings), healthClient: &http1.Client{Idle: -1},
		events: make(chan func(), maxQueuedEvents), done: make(chan struct{}), clock: clock.New(),
		sessions: map[int]*session{}, unresponsive: map[int]*session{}, collectors: map[int][]*session{}, hosts: map[int]hostProcess{}, removedHosts: map[int]float64{}}
	n.warnings = newRateLimitedLog(log, time.Now)
	n.healthCheckSlots = make(chan struct{}, c.Limits.healthChecks())
	n.connections = newConnectionLimiter(c.Limits.connections(cap(n.healthCheckSlots)))
	var names []string
	for _, s := range c.Settings.Services {
		names = append(names, s.Name)
	}
	n.updates = newUpdateEncoder(names, inst.HostID, func() iter.Seq[int] { return maps.Keys(n.sessions) })
	n.watcher = newEndpointWatcher(log, n.warnings, inst.ZoneIndex, func(l watchEvent) { n.post(func() { n.applyWatchEvent(l, false) }) })
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
	n.log.Info().Str("name", n.config.Name).Stringer("listen", l.Addr()).Int("connections", n.connections.limit).
		Float64("cores", n.config.Limits.Cores).Float64("memory_mb", n.config.Limits.MemoryMB).Int("sockets", n.config.Limits.Sockets).
		Float64("lines_per_s", *n.config.Settings.FamilyInfo.ChannelRate).Float64("most_waiting", *n.config.Settings.FamilyInfo.MostWaiting).
		Float64("head", *n.config.Settings.FamilyInfo.PerMessage).Float64("grace_ms", *n.config.Settings.Rules.StopSendingWithinUs/1000).Float64("order_price", n.config.Settings.FamilyInfo.OrderPrice).Msg("in service")
	known := n.config.KnownEndpoints
	known.Reset = true
	// There is no older list to stand in for this one, so a malformed entry is left out alone.
	known.Instances = slices.DeleteFunc(known.Instances, func(e entry) bool {
		err := e.validate(n.balancer.ZoneIndex)
		if err != nil {
			n.warnings.warn("a malformed entry of the known list is dropped", err)
		}
		return err != nil
	})
	n.applyWatchEvent(known, true)
	n.config.KnownEndpoints = watchEvent{}
	n.goroutines.Go(func() { n.watcher.run(ctx, n.config.Discovery) })
	n.goroutines.Go(func() { n.acceptConnections(ctx, l) })
	n.loop(ctx)
	close(n.done)
	l.Close()
	n.connections.close()
	n.goroutines.Wait()
	return nil
}

// Reload takes over what of a new configuration may change while a steward serves: the list's address and the limits. The list
// is followed anew also where its address is the same. Health checks go on as many at once as before.
func (n *Node) Reload(c *Config) {
	c.Limits.Apply()
	n.connections.setLimit(c.Limits.connections(cap(n.healthCheckSlots)))
	n.watcher.setAddress(c.Discovery)
	n.log.Info().Str("discovery", c.Discovery).Float64("cores", c.Limits.Cores).Float64("memory_mb", c.Limits.MemoryMB).
		Int("sockets", c.Limits.Sockets).Strs("takes_a_restart", n.config.restartFields(c)).Msg("the configuration is read again")
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
	w := &balancerOutput{updateEncoder: n.updates, node: n, ctx: ctx}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.events:
			f()
			timer.Reset(n.config.RoundDelay)
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
		n.expireUnresponsive(now)
		n.balancer.Round(now, w)
		n.updates.flush(func(p int, message []byte, mark int) {
			s := n.sessions[p]
			if s == nil {
				return
			}
			if mark != 0 {
				s.recordStamp(mark, now)
			}
			s.enqueue(message)
		})
		n.traceHosts(now)
		timer.Reset(time.Duration(max(n.nextRoundMs-n.clock.Now(), 0) * 1e6))
	}
}

// connect begins a proxy's stream. Its connection accepted last is its present one, in whatever order the joinings are read: each
// stream is read by a goroutine of its own. Earlier ones are over.
func (n *Node) connect(s *session) {
	for _, other := range []*session{n.sessions[s.proxy], n.unresponsive[s.proxy]} {
		if other != nil && other.acceptNumber > s.acceptNumber {
			s.terminate()
			return
		}
	}
	for _, other := range []*session{n.sessions[s.proxy], n.unresponsive[s.proxy]} {
		if other != nil && other != s {
			other.terminate()
		}
	}
	delete(n.unresponsive, s.proxy)
	n.connections.markActive(s)
	n.sessions[s.proxy] = s
	s.unacknowledged = nil
	n.updates.forgetProxy(s.proxy)
	if n.balancer.HostIndexCount() > 0 { // until one is known the proxy keeps what it holds: a table of ours would be empty
		n.balancer.ConnectProxy(s.proxy, s.zone, s.weight)
	}
}

func (n *Node) disconnect(s *session) {
	if n.sessions[s.proxy] == s {
		delete(n.sessions, s.proxy)
		n.updates.forgetProxy(s.proxy)
		n.balancer.DisconnectProxy(s.proxy)
	}
	if n.unresponsive[s.proxy] == s {
		delete(n.unresponsive, s.proxy)
	}
}

// listen looks for streams that have fallen silent: a mark waits for its answer, and nothing was heard since it went out.
// Such a proxy has left, but its connection is kept for a while: if it speaks again, it is joined again.
func (n *Node) expireUnresponsive(now float64) {
	if now < n.lastSessionCheckMs+sessionCheckIntervalMs {
		return
	}
	n.lastSessionCheckMs, n.maxAckLatencyMs = now, n.maxAckLatencyMs*ackLatencyDecay
	n.releaseRemovedHosts(now)
	for _, s := range n.sessions {
		if len(s.unacknowledged) > 0 && float64(s.lastReadMs.Load()) < s.unacknowledged[0].sentMs && now > s.unacknowledged[0].sentMs+minAckTimeoutMs+2*n.maxAckLatencyMs {
			n.log.Debug().Int("proxy", s.proxy).Float64("since", s.unacknowledged[0].sentMs-now).Msg("a stream is silent")
			n.disconnect(s)
			n.unresponsive[s.proxy] = s
			n.connections.markUnresponsive(s)
		}
	}
	for _, s := range n.unresponsive {
		if now > s.unacknowledged[0].sentMs+unresponsiveRetentionMs {
			s.terminate()
		}
	}
}

func (n *Node) addCollector(s *session, zone int) {
	if all := n.collectors[zone]; len(all) >= maxCollectorsPerZone {
		all[0].terminate()
	}
	n.collectors[zone] = append(n.collectors[zone], s)
}

func (n *Node) removeCollector(s *session, zone int) {
	n.collectors[zone] = slices.DeleteFunc(n.collectors[zone], func(c *session) bool { return c == s })
}

// handle notes a message of a stream that has joined.
func (n *Node) handle(s *session, kind string, f fields) error {
	if s.proxy >= 0 && n.unresponsive[s.proxy] == s {
		n.connect(s)
	}
	switch kind {
	case "LOAD":
		r, err := n.bounds.hostReport(f, n.balancer)
		if err != nil {
			return err
		}
		n.balancer.ObserveHostStats(r.host, r.attempts, r.failed, r.meanMs, r.intervalMs, r.load)
	case "RATE":
		r, err := n.bounds.demandReport(f, n.balancer)
		if err != nil {
			return err
		}
		if s.proxy >= 0 && s.proxy != r.proxy {
			return fmt.Errorf("proxy is %d on the stream of %d", r.proxy, s.proxy)
		}
		n.balancer.ObserveDemand(r.proxy, r.class, r.attempts, r.intervalMs)
	case "ACK":
		proxy, mark, err := n.bounds.ack(f)
		if err != nil {
			return err
		}
		if s.proxy < 0 || proxy != s.proxy {
			return fmt.Errorf("proxy is %d on the stream of %d", proxy, s.proxy)
		}
		return n.acknowledge(s, mark)
	default:
		return fmt.Errorf("not a report")
	}
	return nil
}

// acknowledge notes the answer to a mark, and with it the answers to all marks sent before that are missing: streams keep
// their order, and an answer may come malformed.
func (n *Node) acknowledge(s *session, mark int) error {
	at := slices.IndexFunc(s.unacknowledged, func(t versionStamp) bool { return t.number == mark })
	if at < 0 {
		return fmt.Errorf("mark %d does not wait for an answer", mark)
	}
	if n.sessions[s.proxy] == s {
		n.balancer.Ack(s.proxy, mark)
		n.maxAckLatencyMs = max(n.maxAckLatencyMs, n.clock.Now()-s.unacknowledged[at].sentMs)
	}
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, at+1)
	return nil
}

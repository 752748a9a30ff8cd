// Package platform runs a controller as a node of the users' platform. Proxies and collectors connect to it and
// exchange RESP2 messages, the endpoint list is watched and hosts are health checked over HTTP/1.1. The package owns
// connections, encodings and timeouts; it never decides on routing: that is package routing's, whose Balancer it
// gives what comes in and asks for one round after each batch of events.
//
// One goroutine, the event loop, owns the balancer and all state about sessions and hosts, and never waits on a
// socket. Other goroutines read and write connections, watch the endpoint list and check hosts; they pass on what
// they find as events. Queues, goroutines and descriptors are bounded by the configuration, as said where each is
// made.
package platform

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/clock"
	"barleysail/internal/http1"
	"barleysail/internal/instance"
)

const (
	microsecondsPerMs = 1000

	// noIdleConnections has each health check use a connection of its own: one that was kept and has become
	// unresponsive would look like an unresponsive host.
	noIdleConnections = -1
)

// Node is a controller in service.
type Node struct {
	config *Config
	log    zerolog.Logger
	clock  clock.Clock

	decoder          *messageDecoder
	connections      *connectionLimiter
	watcher          *endpointWatcher
	healthClient     *http1.Client
	healthCheckSlots chan struct{} // holds an element for each health check in flight
	warnings         *rateLimitedLog

	events     chan func()    // run by the event loop, in order
	done       chan struct{}  // closed when the event loop has ended
	goroutines sync.WaitGroup // all but the event loop

	// What follows belongs to the event loop.
	balancer          *instance.Instance
	updates           *updateEncoder
	sessions          sessionRegistry
	hosts             hostRegistry
	nextRoundMs       float64 // when the balancer wants its next round
	lastMaintenanceMs float64 // when maintain last looked
	lastTraceMs       float64 // when the hosts were last logged
}

// New makes a node that does not run yet. The error is that of instance.New.
func New(config *Config, log zerolog.Logger) (*Node, error) {
	balancer, err := instance.New(config.Settings, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("starting the balancer: %w", err)
	}
	healthChecks := config.Limits.healthChecks()
	node := &Node{
		config:           config,
		log:              log,
		clock:            clock.New(),
		decoder:          newMessageDecoder(config.Settings, balancer),
		connections:      newConnectionLimiter(config.Limits.connections(healthChecks)),
		healthClient:     &http1.Client{Idle: noIdleConnections},
		healthCheckSlots: make(chan struct{}, healthChecks),
		warnings:         newRateLimitedLog(log, time.Now),
		events:           make(chan func(), maxQueuedEvents),
		done:             make(chan struct{}),
		balancer:         balancer,
		sessions:         newSessionRegistry(),
		hosts:            newHostRegistry(),
	}
	node.updates = newUpdateEncoder(classNames(config), balancer.HostID, node.connectedProxies)
	node.watcher = newEndpointWatcher(log, node.warnings, balancer.ZoneIndex, node.postWatchEvent)
	return node, nil
}

func classNames(config *Config) []string {
	var names []string
	for _, service := range config.Settings.Services {
		names = append(names, service.Name)
	}
	return names
}

// connectedProxies returns the proxies that have a session, in no order.
func (n *Node) connectedProxies() iter.Seq[int] { return maps.Keys(n.sessions.active) }

func (n *Node) postWatchEvent(event watchEvent) {
	n.post(func() { n.applyWatchEvent(event, false) })
}

// Run listens and serves until the context ends, and waits for all that it has started. The error says that the
// address cannot be listened on.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	n.serveListener(ctx, listener)
	return nil
}

// serveListener serves on a listener, which it closes, until the context ends, and waits for all that it has started.
func (n *Node) serveListener(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.logStart(listener.Addr())
	n.applyKnownEndpoints()
	n.goroutines.Go(func() { n.watcher.run(ctx, n.config.Discovery) })
	n.goroutines.Go(func() { n.acceptConnections(ctx, listener) })
	n.runEventLoop(ctx)
	close(n.done)
	_ = listener.Close() // ends acceptConnections, whatever it returns
	n.connections.close()
	n.goroutines.Wait()
}

func (n *Node) logStart(address net.Addr) {
	limits := n.config.Limits
	family := &n.config.Settings.FamilyInfo
	n.log.Info().
		Str("name", n.config.Name).
		Stringer("listen", address).
		Int("connections", n.connections.limit).
		Float64("cores", limits.Cores).
		Float64("memory_mb", limits.MemoryMB).
		Int("sockets", limits.Sockets).
		Float64("entries_per_s", *family.ChannelRate).
		Float64("max_backlog_entries", *family.MostWaiting).
		Float64("message_overhead_entries", *family.PerMessage).
		Float64("drain_grace_ms", *n.config.Settings.Rules.StopSendingWithinUs/microsecondsPerMs).
		Float64("update_cost", family.OrderPrice).
		Msg("in service")
}

// applyKnownEndpoints starts from the endpoints of the configuration. No older list could stand in for theirs, so a
// malformed entry is left out alone.
func (n *Node) applyKnownEndpoints() {
	known := n.config.knownEndpoints
	known.Snapshot = true
	known.Endpoints = slices.DeleteFunc(known.Endpoints, func(e endpointEntry) bool {
		err := e.validate(n.balancer.ZoneIndex)
		if err != nil {
			n.warnings.warn("malformed known endpoint dropped", err)
		}
		return err != nil
	})
	n.applyWatchEvent(known, true)
	n.config.knownEndpoints = watchEvent{}
}

// Reload takes over what a new configuration may change while the node serves: the address of the endpoint list and
// the limits. The list is watched anew, from a snapshot on, also where its address is the same. The number of health
// checks in flight stays as it is. It is safe to call from any goroutine.
func (n *Node) Reload(config *Config) {
	limits := config.Limits
	limits.Apply()
	n.connections.setLimit(limits.connections(cap(n.healthCheckSlots)))
	n.watcher.setAddress(config.Discovery)
	n.log.Info().
		Str("discovery", config.Discovery).
		Float64("cores", limits.Cores).
		Float64("memory_mb", limits.MemoryMB).
		Int("sockets", limits.Sockets).
		Strs("restart_required_for", n.config.restartFields(config)).
		Msg("configuration reloaded")
}

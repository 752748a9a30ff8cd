// Package platform runs a controller as a node of the users' platform. Proxies and collectors connect to it and
// exchange RESP2 messages; the node watches the endpoint list and checks the health of hosts over HTTP/1.1. The package
// owns connections, encodings and timeouts. It never makes a routing decision: it passes its inputs to the Balancer of
// package routing, and runs one round of it after each batch of events.
//
// One goroutine, the event loop, owns the balancer and all state about sessions and hosts, and never waits for a
// socket. Other goroutines read and write connections, watch the endpoint list and check hosts; they post their results
// to the loop as events. The configuration bounds queues, goroutines and file descriptors, as documented where each is
// created.
package platform

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"barleysail/internal/clock"
	"barleysail/internal/http1"
	"barleysail/internal/instance"
)

const (
	microsecondsPerMs = 1000

	// noIdleConnections makes each health check use a new connection: an idle one that has become unresponsive would
	// look like an unresponsive host.
	noIdleConnections = -1
)

// Node is a controller on the platform. Run serves, and Reload changes part of the configuration meanwhile.
type Node struct {
	config *Config
	log    zerolog.Logger
	clock  clock.Clock

	decoder          *messageDecoder
	connections      *connectionLimiter
	watcher          *endpointWatcher
	healthClient     *http1.Client
	healthCheckSlots chan struct{}       // holds an element for each health check in flight
	inputBudget      *semaphore.Weighted // bytes for large messages that are being read
	outputBudget     *semaphore.Weighted // bytes that wait to be written
	warnings         *rateLimitedLog

	events     chan func()    // run by the event loop, in order
	done       chan struct{}  // closed when the event loop has ended
	goroutines sync.WaitGroup // all except the event loop, which runs in the goroutine that calls Run

	// The fields below belong to the event loop.
	balancer          *instance.Instance
	updates           *updateEncoder
	sessions          sessionRegistry
	hosts             hostRegistry
	nextRoundMs       float64 // when the balancer has scheduled its next round, in ms of the clock
	lastMaintenanceMs float64 // when maintain last checked for expired hosts and sessions
	lastTraceMs       float64 // when the hosts were last traced
}

// New returns a node that does not serve yet. The error, for settings that are not supported, wraps that of
// instance.New.
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
		healthClient:     &http1.Client{MaxIdleConns: noIdleConnections},
		healthCheckSlots: make(chan struct{}, healthChecks),
		inputBudget:      config.Limits.newMemoryBudget(inputShareOfMemory),
		outputBudget:     config.Limits.newMemoryBudget(outputShareOfMemory),
		warnings:         newRateLimitedLog(log, time.Now),
		events:           make(chan func(), maxQueuedEvents),
		done:             make(chan struct{}),
		balancer:         balancer,
		sessions:         newSessionRegistry(),
		hosts:            newHostRegistry(),
	}
	node.updates = newUpdateEncoder(classNames(config), balancer.HostName, node.connectedProxies)
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

// connectedProxies returns the proxies that have a session, in no particular order.
func (n *Node) connectedProxies() iter.Seq[int] { return maps.Keys(n.sessions.active) }

func (n *Node) postWatchEvent(event watchEvent) {
	n.post(func() { n.applyWatchEvent(event, false) })
}

// Run listens and serves until the context ends, which "barleysail node" does on SIGTERM or SIGINT. Then it does a
// graceful shutdown: it closes the listener and all connections, and waits for all goroutines. Updates that are still
// queued are dropped; proxies keep their tables and connect to another controller, so nothing has to be saved. Run
// returns an error only if it cannot listen on the address.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	n.serveListener(ctx, listener)
	return nil
}

// serveListener serves on a listener until the context ends, closes the listener, and waits for all goroutines that it
// has started.
func (n *Node) serveListener(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.logStart(listener.Addr())
	n.applyKnownEndpoints()
	n.goroutines.Go(func() { n.watcher.run(ctx, n.config.Discovery) })
	n.goroutines.Go(func() { n.acceptConnections(ctx, listener) })
	n.runEventLoop(ctx)
	close(n.done)
	_ = listener.Close() // ends acceptConnections even if it returns an error
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

// Reload applies the part of a new configuration that may change while the node serves: the discovery address and the
// limits; "barleysail node" calls it on SIGHUP. It restarts the watch of the endpoint list with a snapshot, even if the
// address is the same. The limit of health checks in flight does not change. The log line "configuration reloaded"
// names the changed fields that need a restart. It is safe to call from any goroutine.
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

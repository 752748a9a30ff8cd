package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/http1"
	"barleysail/routing"
)

// entry is a host as the list shows it.
type entry struct {
	InstanceID, HostPort, Zone, Lifecycle string
	Weight                                float64
	StartedAtMs                           float64
}

// hostProcess is what a host is at present: a health check judges only the one that it was sent to.
type hostProcess struct {
	address     string
	startedMs   float64
	incarnation int // so often it was gone and came back
}

// watchEvent is the whole list of hosts (Reset), or what changed of it.
type watchEvent struct {
	Generation int64
	Reset      bool
	Instances  []entry
}

var lifecycleStates = map[string]routing.HostState{"Ready": routing.Ready, "Terminating": routing.Draining, "Gone": routing.Removed}

const (
	// longPollWait is how long a watch may wait. A connection that has fallen silent shows only after it, so it is short:
	// what the list has to tell counts as told 2 s after the wait is over.
	longPollWait           = 1500 * time.Millisecond
	longPollSlack          = 400 * time.Millisecond // for the answer to come after that
	snapshotTimeout        = time.Second            // for the whole list
	minPollInterval        = 50 * time.Millisecond  // between watches that end at once with nothing new
	removedHostRetentionMs = 30000.0                // ms that a host that is gone is remembered
	staleSnapshotLimit     = 6 * time.Second        // what the list has to tell counts as told by then, wherever it is on its way
	minBackoff             = 50 * time.Millisecond
	maxBackoff             = 400 * time.Millisecond
)

// endpointWatcher follows the list at an address that may change.
type endpointWatcher struct {
	client     *http1.Client
	log        zerolog.Logger
	faults     *rateLimitedLog
	zoneIndex  func(string) (int, bool)
	newAddress chan string // the newest address

	generation int64     // the generation that was told last
	staleSince time.Time // when an older one first came
	staleLimit time.Duration

	deliver func(watchEvent) // takes what came, in order
}

func newEndpointWatcher(log zerolog.Logger, faults *rateLimitedLog, zone func(string) (int, bool), tell func(watchEvent)) *endpointWatcher {
	return &endpointWatcher{client: &http1.Client{Idle: 1}, log: log, faults: faults, zoneIndex: zone, newAddress: make(chan string, 1), deliver: tell, staleLimit: staleSnapshotLimit}
}

// setAddress names another address; the newest counts.
func (w *endpointWatcher) setAddress(address string) {
	for {
		select {
		case w.newAddress <- address:
			return
		default:
		}
		select {
		case <-w.newAddress:
		default:
		}
	}
}

// run follows the list until the context ends. The first call at an address asks for the whole list.
func (w *endpointWatcher) run(ctx context.Context, address string) {
	for ctx.Err() == nil {
		at, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(address string) { defer close(done); w.follow(at, address) }(address)
		select {
		case <-ctx.Done():
		case address = <-w.newAddress:
			w.log.Info().Str("discovery", address).Msg("the list is followed elsewhere")
		}
		cancel()
		<-done
		w.client.Close()
	}
}

// follow asks for the whole list, then for what changes, until the context ends.
func (w *endpointWatcher) follow(ctx context.Context, address string) {
	whole, wait := true, minBackoff
	for ctx.Err() == nil {
		target, most := "/catalog/members", snapshotTimeout
		if !whole {
			target = fmt.Sprintf("%s?from=%d&hold_ms=%d", target, w.generation, longPollWait.Milliseconds())
			most = longPollWait + longPollSlack
		}
		began := time.Now()
		l, err := w.fetch(ctx, address, target, most)
		if err == nil {
			err = w.accept(l, whole)
		}
		pause := wait
		if err == nil {
			whole, wait, pause = false, minBackoff, 0
			if l.Reset || len(l.Instances) > 0 {
				w.deliver(l)
			} else if time.Since(began) < minPollInterval { // an agent that does not hold watches must not be asked in a loop
				pause = minPollInterval
			}
		} else if ctx.Err() != nil {
			return
		} else {
			w.faults.warn("list call failed", err)
			wait = min(2*wait, maxBackoff)
			whole = whole || errors.Is(err, errStaleGeneration)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

var errStaleGeneration = errors.New("the list is older than the one held")

// accept tells whether a list that is sound by itself follows on the one that is held, and notes its generation. An agent that
// has yet to catch up, after a move, a restart or a cut, answers with an older one: to take it would bring back hosts that have
// drained. One that stays older for longer than a change may be under way has begun to count anew, and is believed.
func (w *endpointWatcher) accept(l watchEvent, whole bool) error {
	if whole && !l.Reset {
		return errors.New("only changes came where the whole list is due")
	}
	if l.Generation < w.generation {
		if w.staleSince.IsZero() {
			w.staleSince = time.Now()
		}
		if !l.Reset || time.Since(w.staleSince) < w.staleLimit {
			return fmt.Errorf("%w: generation %d after %d", errStaleGeneration, l.Generation, w.generation)
		}
		w.log.Warn().Int64("generation", l.Generation).Int64("held", w.generation).Msg("the list counts anew")
	}
	w.generation, w.staleSince = l.Generation, time.Time{}
	return nil
}

func (w *endpointWatcher) fetch(ctx context.Context, address, target string, most time.Duration) (watchEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	r, err := w.client.Call(ctx, "GET", address, target, nil)
	if err != nil {
		return watchEvent{}, fmt.Errorf("calling the list: %w", err)
	}
	if r.Status != 200 {
		return watchEvent{}, fmt.Errorf("the list answers %d", r.Status)
	}
	l, err := decodeWatchEvent(r.Body)
	if err != nil {
		return watchEvent{}, fmt.Errorf("reading the list: %w", err)
	}
	return l, l.validate(w.zoneIndex)
}

// decodeWatchEvent decodes an answer; one without a generation, or that does not say whether it is whole, is none.
func decodeWatchEvent(body []byte) (watchEvent, error) {
	var raw struct {
		Generation *int64
		Reset      *bool
		Instances  []entry
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return watchEvent{}, err
	}
	if raw.Generation == nil || *raw.Generation < 0 {
		return watchEvent{}, errors.New("generation is missing or below 0")
	}
	if raw.Reset == nil {
		return watchEvent{}, errors.New("reset is missing")
	}
	return watchEvent{*raw.Generation, *raw.Reset, raw.Instances}, nil
}

// validate refuses a list whole where any of it makes no sense: half a list would take hosts for gone.
func (l watchEvent) validate(zone func(string) (int, bool)) error {
	for _, e := range l.Instances {
		if err := e.validate(zone); err != nil {
			return fmt.Errorf("reading the list: %w", err)
		}
	}
	return nil
}

func (e entry) validate(zone func(string) (int, bool)) error {
	phase, ok := lifecycleStates[e.Lifecycle]
	_, _, err := net.SplitHostPort(e.HostPort)
	_, there := zone(e.Zone)
	switch {
	case e.InstanceID == "" || !ok || e.Weight < 0 || e.StartedAtMs < 0:
		return fmt.Errorf("host %.40q: lifecycle %.20q, weight %g, started %g", e.InstanceID, e.Lifecycle, e.Weight, e.StartedAtMs)
	case phase != routing.Removed && (err != nil || !there):
		return fmt.Errorf("host %.40q: zone %.40q, address %.40q", e.InstanceID, e.Zone, e.HostPort)
	}
	return nil
}

// applyWatchEvent gives a list to the module; it has been checked. The first that brings hosts goes in as one of unknown age before
// anything else: its hosts without a start are old, not new.
func (n *Node) applyWatchEvent(l watchEvent, cached bool) {
	if first := n.balancer.HostIndexCount() == 0; first && !cached {
		n.applyWatchEvent(l, true)
	} else if first {
		defer n.connectEarlyProxies()
	}
	if l.Reset {
		for h := range n.balancer.HostIndexCount() {
			n.markRemoved(h)
		}
		n.balancer.ObserveSnapshot(cached)
	} else {
		n.balancer.ObserveDelta()
	}
	for _, e := range l.Instances {
		phase := lifecycleStates[e.Lifecycle]
		h, met := n.balancer.LookupHost(e.InstanceID)
		if !met && phase == routing.Removed {
			continue
		} else if !met {
			h = n.balancer.HostIndex(e.InstanceID)
		}
		zone, _ := n.balancer.ZoneIndex(e.Zone)
		returns := n.hosts[h].incarnation
		if phase == routing.Removed {
			n.markRemoved(h)
		} else if _, back := n.removedHosts[h]; back {
			delete(n.removedHosts, h)
			returns++
		}
		n.hosts[h] = hostProcess{e.HostPort, e.StartedAtMs, returns}
		n.balancer.ObserveEndpoint(h, zone, phase, e.Weight, e.StartedAtMs)
	}
	n.log.Debug().Int64("generation", l.Generation).Bool("whole", l.Reset).Int("entries", len(l.Instances)).Msg("list")
}

// connectEarlyProxies tells the module of the proxies that joined while no host was known.
func (n *Node) connectEarlyProxies() {
	if n.balancer.HostIndexCount() == 0 {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(n.sessions)) {
		s := n.sessions[p]
		n.balancer.ConnectProxy(p, s.zone, s.weight)
	}
}

// markRemoved notes that a host is gone, if it was not before.
func (n *Node) markRemoved(h int) {
	if _, before := n.removedHosts[h]; !before && n.balancer.HostID(h) != "" {
		n.removedHosts[h] = n.clock.Now()
	}
}

// releaseRemovedHosts forgets hosts that have been gone for long: a fleet that is replaced host by host would fill the memory.
func (n *Node) releaseRemovedHosts(now float64) {
	for h, since := range n.removedHosts {
		if now > since+removedHostRetentionMs && n.balancer.ReleaseHost(h) {
			delete(n.removedHosts, h)
			delete(n.hosts, h)
		}
	}
}

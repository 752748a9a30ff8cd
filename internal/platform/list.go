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

// process is what a host is at present: a health check judges only the one that it was sent to.
type process struct {
	address string
	started float64
	returns int // so often it was gone and came back
}

// list is the whole list of hosts (Reset), or what changed of it.
type list struct {
	Generation int64
	Reset      bool
	Instances  []entry
}

var phases = map[string]routing.HostState{"Ready": routing.Ready, "Terminating": routing.Draining, "Gone": routing.Removed}

const (
	// watchHold is how long a watch may wait. A connection that has fallen silent shows only after it, so it is short:
	// what the list has to tell counts as told 2 s after the wait is over.
	watchHold    = 1500 * time.Millisecond
	watchSlack   = 400 * time.Millisecond // for the answer to come after that
	listTimeout  = time.Second            // for the whole list
	emptyDelay   = 50 * time.Millisecond  // between watches that end at once with nothing new
	retiredKept  = 30000.0                // ms that a host that is gone is remembered
	olderMost    = 6 * time.Second        // what the list has to tell counts as told by then, wherever it is on its way
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 400 * time.Millisecond
)

// watcher follows the list at an address that may change.
type watcher struct {
	client *http1.Client
	log    zerolog.Logger
	faults *faultLog
	zone   func(string) (int, bool)
	moved  chan string // the newest address

	held       int64     // the generation that was told last
	olderSince time.Time // when an older one first came
	olderMost  time.Duration

	tell func(list) // takes what came, in order
}

func newWatcher(log zerolog.Logger, faults *faultLog, zone func(string) (int, bool), tell func(list)) *watcher {
	return &watcher{client: &http1.Client{Idle: 1}, log: log, faults: faults, zone: zone, moved: make(chan string, 1), tell: tell, olderMost: olderMost}
}

// move names another address; the newest counts.
func (w *watcher) move(address string) {
	for {
		select {
		case w.moved <- address:
			return
		default:
		}
		select {
		case <-w.moved:
		default:
		}
	}
}

// run follows the list until the context ends. The first call at an address asks for the whole list.
func (w *watcher) run(ctx context.Context, address string) {
	for ctx.Err() == nil {
		at, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(address string) { defer close(done); w.follow(at, address) }(address)
		select {
		case <-ctx.Done():
		case address = <-w.moved:
			w.log.Info().Str("discovery", address).Msg("the list is followed elsewhere")
		}
		cancel()
		<-done
		w.client.Close()
	}
}

// follow asks for the whole list, then for what changes, until the context ends.
func (w *watcher) follow(ctx context.Context, address string) {
	whole, wait := true, backoffFirst
	for ctx.Err() == nil {
		target, most := "/catalog/members", listTimeout
		if !whole {
			target = fmt.Sprintf("%s?from=%d&hold_ms=%d", target, w.held, watchHold.Milliseconds())
			most = watchHold + watchSlack
		}
		began := time.Now()
		l, err := w.call(ctx, address, target, most)
		if err == nil {
			err = w.judge(l, whole)
		}
		pause := wait
		if err == nil {
			whole, wait, pause = false, backoffFirst, 0
			if l.Reset || len(l.Instances) > 0 {
				w.tell(l)
			} else if time.Since(began) < emptyDelay { // an agent that does not hold watches must not be asked in a loop
				pause = emptyDelay
			}
		} else if ctx.Err() != nil {
			return
		} else {
			w.faults.count("list call failed", err)
			wait = min(2*wait, backoffMost)
			whole = whole || errors.Is(err, errOlder)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

var errOlder = errors.New("the list is older than the one held")

// judge tells whether a list that is sound by itself follows on the one that is held, and notes its generation. An agent that
// has yet to catch up, after a move, a restart or a cut, answers with an older one: to take it would bring back hosts that have
// drained. One that stays older for longer than a change may be under way has begun to count anew, and is believed.
func (w *watcher) judge(l list, whole bool) error {
	if whole && !l.Reset {
		return errors.New("only changes came where the whole list is due")
	}
	if l.Generation < w.held {
		if w.olderSince.IsZero() {
			w.olderSince = time.Now()
		}
		if !l.Reset || time.Since(w.olderSince) < w.olderMost {
			return fmt.Errorf("%w: generation %d after %d", errOlder, l.Generation, w.held)
		}
		w.log.Warn().Int64("generation", l.Generation).Int64("held", w.held).Msg("the list counts anew")
	}
	w.held, w.olderSince = l.Generation, time.Time{}
	return nil
}

func (w *watcher) call(ctx context.Context, address, target string, most time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	r, err := w.client.Call(ctx, "GET", address, target, nil)
	if err != nil {
		return list{}, fmt.Errorf("calling the list: %w", err)
	}
	if r.Status != 200 {
		return list{}, fmt.Errorf("the list answers %d", r.Status)
	}
	l, err := readList(r.Body)
	if err != nil {
		return list{}, fmt.Errorf("reading the list: %w", err)
	}
	return l, l.check(w.zone)
}

// readList decodes an answer; one without a generation, or that does not say whether it is whole, is none.
func readList(body []byte) (list, error) {
	var raw struct {
		Generation *int64
		Reset      *bool
		Instances  []entry
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return list{}, err
	}
	if raw.Generation == nil || *raw.Generation < 0 {
		return list{}, errors.New("generation is missing or below 0")
	}
	if raw.Reset == nil {
		return list{}, errors.New("reset is missing")
	}
	return list{*raw.Generation, *raw.Reset, raw.Instances}, nil
}

// check refuses a list whole where any of it makes no sense: half a list would take hosts for gone.
func (l list) check(zone func(string) (int, bool)) error {
	for _, e := range l.Instances {
		if err := e.check(zone); err != nil {
			return fmt.Errorf("reading the list: %w", err)
		}
	}
	return nil
}

func (e entry) check(zone func(string) (int, bool)) error {
	phase, ok := phases[e.Lifecycle]
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

// applyList gives a list to the module; it has been checked. The first that brings hosts goes in as one of unknown age before
// anything else: its hosts without a start are old, not new.
func (n *Node) applyList(l list, cached bool) {
	if first := n.inst.HostIndexCount() == 0; first && !cached {
		n.applyList(l, true)
	} else if first {
		defer n.joinEarly()
	}
	if l.Reset {
		for h := range n.inst.HostIndexCount() {
			n.retire(h)
		}
		n.inst.ObserveSnapshot(cached)
	} else {
		n.inst.ObserveDelta()
	}
	for _, e := range l.Instances {
		phase := phases[e.Lifecycle]
		h, met := n.inst.LookupHost(e.InstanceID)
		if !met && phase == routing.Removed {
			continue
		} else if !met {
			h = n.inst.HostIndex(e.InstanceID)
		}
		zone, _ := n.inst.ZoneIndex(e.Zone)
		returns := n.hosts[h].returns
		if phase == routing.Removed {
			n.retire(h)
		} else if _, back := n.retired[h]; back {
			delete(n.retired, h)
			returns++
		}
		n.hosts[h] = process{e.HostPort, e.StartedAtMs, returns}
		n.inst.ObserveEndpoint(h, zone, phase, e.Weight, e.StartedAtMs)
	}
	n.log.Debug().Int64("generation", l.Generation).Bool("whole", l.Reset).Int("entries", len(l.Instances)).Msg("list")
}

// joinEarly tells the module of the proxies that joined while no host was known.
func (n *Node) joinEarly() {
	if n.inst.HostIndexCount() == 0 {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(n.streams)) {
		s := n.streams[p]
		n.inst.ConnectProxy(p, s.zone, s.weight)
	}
}

// retire notes that a host is gone, if it was not before.
func (n *Node) retire(h int) {
	if _, before := n.retired[h]; !before && n.inst.HostID(h) != "" {
		n.retired[h] = n.clock.Now()
	}
}

// forgetRetired forgets hosts that have been gone for long: a fleet that is replaced host by host would fill the memory.
func (n *Node) forgetRetired(now float64) {
	for h, since := range n.retired {
		if now > since+retiredKept && n.inst.ReleaseHost(h) {
			delete(n.retired, h)
			delete(n.hosts, h)
		}
	}
}

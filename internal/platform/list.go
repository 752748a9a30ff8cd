package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"barleysail/decide"
	"barleysail/internal/http1"
)

// entry is a host as the list shows it.
type entry struct {
	InstanceID, HostPort, Zone, Lifecycle string
	Weight                                float64
	StartedAtMs                           float64
}

// list is the whole list of hosts (Reset), or what changed of it.
type list struct {
	Generation int64
	Reset      bool
	Instances  []entry
}

var phases = map[string]decide.Phase{"Ready": decide.Ready, "Terminating": decide.Draining, "Gone": decide.Gone}

const (
	// watchHold is how long a watch may wait. A connection that has fallen silent shows only after it, so it is short:
	// what the list has to tell counts as told 2 s after the wait is over.
	watchHold  = 1500 * time.Millisecond
	watchSlack = 400 * time.Millisecond // for the answer to come after that
	listMost   = time.Second            // for the whole list
	quietLeast = 50 * time.Millisecond  // between watches that end at once with nothing new
	goneKept   = 30000.0                // ms that a host that is gone is remembered
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	resetMost  = 3 // calls of a probe: a network that resets connections says nothing of the host
)

// watcher follows the list at an address that may change.
type watcher struct {
	client *http1.Client
	log    zerolog.Logger
	odd    *troubles
	zone   func(string) (int, bool)
	moved  chan string // the newest address
	tell   func(list)  // takes what came, in order
}

func newWatcher(log zerolog.Logger, odd *troubles, zone func(string) (int, bool), tell func(list)) *watcher {
	return &watcher{client: &http1.Client{Idle: 1}, log: log, odd: odd, zone: zone, moved: make(chan string, 1), tell: tell}
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

func (w *watcher) follow(ctx context.Context, address string) {
	version, known, wait := int64(0), false, retryFirst
	for ctx.Err() == nil {
		target, most := "/catalog/members", listMost
		if known {
			target = fmt.Sprintf("%s?from=%d&hold_ms=%d", target, version, watchHold.Milliseconds())
			most = watchHold + watchSlack
		}
		began := time.Now()
		l, err := w.call(ctx, address, target, most)
		pause := wait
		if err == nil {
			known, version, wait, pause = true, l.Generation, retryFirst, 0
			if l.Reset || len(l.Instances) > 0 {
				w.tell(l)
			} else if time.Since(began) < quietLeast { // an agent that does not hold watches must not be asked in a loop
				pause = quietLeast
			}
		} else if ctx.Err() != nil {
			return
		} else {
			w.odd.count("list call failed", err)
			wait = min(2*wait, retryMost)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *watcher) call(ctx context.Context, address, target string, most time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var l list
	r, err := w.client.Call(ctx, "GET", address, target, nil)
	if err != nil {
		return l, fmt.Errorf("calling the list: %w", err)
	}
	if r.Status != 200 {
		return l, fmt.Errorf("the list answers %d", r.Status)
	}
	if err := json.Unmarshal(r.Body, &l); err != nil {
		return l, fmt.Errorf("reading the list: %w", err)
	}
	return l, l.check(w.zone)
}

// check refuses a list whole where any of it makes no sense: half a list would take hosts for gone.
func (l list) check(zone func(string) (int, bool)) error {
	for _, e := range l.Instances {
		phase, ok := phases[e.Lifecycle]
		_, _, err := net.SplitHostPort(e.HostPort)
		_, there := zone(e.Zone)
		switch {
		case e.InstanceID == "" || !ok || e.Weight < 0 || e.StartedAtMs < 0:
			return fmt.Errorf("reading the list: host %.40q: lifecycle %.20q, weight %g, started %g", e.InstanceID, e.Lifecycle, e.Weight, e.StartedAtMs)
		case phase != decide.Gone && (err != nil || !there):
			return fmt.Errorf("reading the list: host %.40q: zone %.40q, address %.40q", e.InstanceID, e.Zone, e.HostPort)
		}
	}
	return nil
}

// note gives a list to the module; it has been checked.
func (n *Node) note(l list, cached bool) {
	if l.Reset {
		for h := range n.inst.Hosts() {
			n.mourn(h)
		}
		n.inst.WholeList(cached)
	} else {
		n.inst.ListChange()
	}
	for _, e := range l.Instances {
		phase := phases[e.Lifecycle]
		h, met := n.inst.Known(e.InstanceID)
		if !met && phase == decide.Gone {
			continue
		} else if !met {
			h = n.inst.Host(e.InstanceID)
		}
		zone, _ := n.inst.Zone(e.Zone)
		if n.address[h] = e.HostPort; phase == decide.Gone {
			n.mourn(h)
		} else {
			delete(n.gone, h)
		}
		n.inst.Entry(h, zone, phase, e.Weight, e.StartedAtMs)
	}
	n.log.Debug().Int64("generation", l.Generation).Bool("whole", l.Reset).Int("entries", len(l.Instances)).Msg("list")
}

// mourn notes that a host is gone, if it was not before.
func (n *Node) mourn(h int) {
	if _, before := n.gone[h]; !before && n.inst.ID(h) != "" {
		n.gone[h] = n.clock.Now()
	}
}

// bury forgets hosts that have been gone for long: a fleet that is replaced host by host would fill the memory.
func (n *Node) bury(now float64) {
	for h, since := range n.gone {
		if now > since+goneKept && n.inst.Drop(h) {
			delete(n.gone, h)
			delete(n.address, h)
		}
	}
}

// probe asks a host how it is, and notes the outcome.
func (n *Node) probe(ctx context.Context, h int, address string) {
	began := time.Now()
	how, load, err := examine(ctx, n.prober, address, n.config.AnswerMost)
	if err != nil {
		n.log.Debug().Int("host", h).Int("outcome", int(how)).Dur("took", time.Since(began)).Err(err).Msg("probe")
	}
	n.put(func() { n.inst.Probed(h, how, load) })
}

// examine probes a host: only a refused connection proves that nothing is there. A reset one may be the network's doing,
// so it is tried again: a process that has just ended refuses then. A host refuses at once; one that does so only after it
// has held the probe for long could not serve it, which is silence. The error says why a probe was not fine.
func examine(ctx context.Context, c *http1.Client, address string, most time.Duration) (decide.Outcome, decide.Load, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var r *http1.Response
	var err error
	for range resetMost {
		r, err = c.Call(ctx, "GET", address, "/_load", http1.Header("Connection", "close"))
		if err == nil || ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return decide.Unreachable, decide.NoLoad, err
	case err != nil:
		return decide.Silent, decide.NoLoad, err
	case r.Status != 200 && time.Since(began) > most/2:
		return decide.Silent, decide.NoLoad, fmt.Errorf("held and then answered %d", r.Status)
	case r.Status != 200:
		return decide.Refused, decide.NoLoad, fmt.Errorf("answered %d", r.Status)
	}
	var values map[string]json.RawMessage
	if json.Unmarshal(r.Body, &values) != nil {
		return decide.Fine, decide.NoLoad, nil
	}
	return decide.Fine, loadOf(func(name string) (float64, bool) {
		v, err := strconv.ParseFloat(string(values[name]), 64)
		return v, err == nil
	}), nil
}

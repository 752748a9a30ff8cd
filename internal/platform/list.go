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
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	resetMost  = 3 // calls of a probe: a network that resets connections says nothing of the host
)

// watcher follows the list at an address that may change.
type watcher struct {
	client *http1.Client
	log    zerolog.Logger
	moved  chan string // the newest address
	tell   func(list)  // takes what came, in order
}

func newWatcher(log zerolog.Logger, tell func(list)) *watcher {
	return &watcher{client: &http1.Client{Idle: 1}, log: log, moved: make(chan string, 1), tell: tell}
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
		l, err := w.call(ctx, address, target, most)
		if err == nil {
			known, version, wait = true, l.Generation, retryFirst
			if l.Reset || len(l.Instances) > 0 {
				w.tell(l)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.log.Debug().Err(err).Str("target", target).Msg("list call failed")
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, retryMost)
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
	return l, nil
}

// note gives a list to the module. An entry that makes no sense is passed over: the rest of the list still holds.
func (n *Node) note(l list, cached bool) {
	if l.Reset {
		n.inst.WholeList(cached)
	} else {
		n.inst.ListChange()
	}
	for _, e := range l.Instances {
		phase, ok := phases[e.Lifecycle]
		zone, there := n.inst.Zone(e.Zone)
		h, met := n.inst.Known(e.InstanceID)
		if phase == decide.Gone && met {
			there = true
		}
		if !ok || !there || e.InstanceID == "" || e.Weight < 0 {
			n.log.Warn().Str("host", e.InstanceID).Str("zone", e.Zone).Str("lifecycle", e.Lifecycle).Msg("odd list entry")
			continue
		}
		if !met {
			h = n.inst.Host(e.InstanceID)
		}
		if _, _, err := net.SplitHostPort(e.HostPort); err == nil {
			n.address[h] = e.HostPort
		}
		n.inst.Entry(h, zone, phase, e.Weight, e.StartedAtMs)
	}
	n.log.Debug().Int64("generation", l.Generation).Bool("whole", l.Reset).Int("entries", len(l.Instances)).Msg("list")
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

package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/http1"
)

const (
	endpointListPath = "/catalog/members"

	// longPollWait is how long the discovery service may hold a long poll until the list changes. It is short, since an
	// unresponsive connection is detected only when the wait is over, and the platform counts a change as delivered 2 s
	// after that.
	longPollWait = 1500 * time.Millisecond
	// longPollSlack is the time for the response to arrive after the wait.
	longPollSlack = 400 * time.Millisecond
	// snapshotTimeout bounds a call for a snapshot.
	snapshotTimeout = time.Second
	// minPollInterval limits the rate of calls to a service that responds to long polls at once.
	minPollInterval = 50 * time.Millisecond

	// staleSnapshotLimit is how long snapshots with an older generation than the one in force are rejected. By then the
	// platform counts every change as delivered, so the service must have restarted its generations.
	staleSnapshotLimit = 6 * time.Second

	minBackoff = 50 * time.Millisecond  // pause after the first failed call
	maxBackoff = 400 * time.Millisecond // longest pause after repeated failures
)

var (
	errStaleGeneration = errors.New("endpoint list is older than the one in force")
	errNoSnapshot      = errors.New("endpoint list: received a delta in response to a call for a snapshot")
)

// endpointWatcher watches the endpoint list at an address that may change. It asks for a snapshot, then long-polls for
// deltas, and retries with backoff after a failure. A rejected list, that is, one with a malformed entry or of an older
// generation, is logged as "endpoint list call failed"; the endpoint list in force stays. Every valid list is accepted,
// however many hosts it removes: only "barleysail run" holds such lists back, see package guard. One goroutine runs the
// watcher. It starts a follower goroutine for each address, one at a time, which uses one connection.
type endpointWatcher struct {
	client     *http1.Client
	log        zerolog.Logger
	warnings   *rateLimitedLog
	zoneIndex  func(name string) (int, bool)
	newAddress chan string      // holds the newest address until run receives it
	deliver    func(watchEvent) // is called with each valid event, in order
	staleLimit time.Duration    // staleSnapshotLimit, except in tests

	// The fields below belong to the follower goroutine.
	generation int64     // of the last accepted event
	staleSince time.Time // when an older list was first received; zero: the last one was not older
}

func newEndpointWatcher(log zerolog.Logger, warnings *rateLimitedLog, zoneIndex func(string) (int, bool),
	deliver func(watchEvent)) *endpointWatcher {
	return &endpointWatcher{
		client:     &http1.Client{MaxIdleConns: 1}, // calls follow each other on one connection
		log:        log,
		warnings:   warnings,
		zoneIndex:  zoneIndex,
		newAddress: make(chan string, 1),
		deliver:    deliver,
		staleLimit: staleSnapshotLimit,
	}
}

// setAddress makes the watcher watch the list at another address; only the newest of several addresses counts. It never
// blocks and is safe to call from any goroutine.
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

// run watches the list until the context ends. At each new address it begins with a snapshot.
func (w *endpointWatcher) run(ctx context.Context, address string) {
	for ctx.Err() == nil {
		followCtx, cancel := context.WithCancel(ctx)
		var follower sync.WaitGroup
		follower.Go(func() { w.follow(followCtx, address) })
		var next string
		select {
		case <-ctx.Done():
		case next = <-w.newAddress:
			w.log.Info().Str("discovery", next).Msg("endpoint list address set")
		}
		cancel()
		follower.Wait()
		w.client.Close()
		address = next
	}
}

// follow polls one address for a snapshot, then for deltas, until the context ends. After a failure it keeps the list
// in force and retries with backoff; after an older list it asks for a snapshot again.
func (w *endpointWatcher) follow(ctx context.Context, address string) {
	retries := backoff{min: minBackoff, max: maxBackoff}
	snapshotDue := true
	for ctx.Err() == nil {
		began := time.Now()
		event, err := w.poll(ctx, address, snapshotDue)
		var pause time.Duration
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			w.warnings.warn("endpoint list call failed", err)
			pause = retries.next()
			snapshotDue = snapshotDue || errors.Is(err, errStaleGeneration)
		default:
			retries.reset()
			snapshotDue = false
			if !event.isEmpty() {
				w.deliver(event)
			} else if time.Since(began) < minPollInterval {
				pause = minPollInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// poll makes one call and returns an event that is valid and not older than the last one. The error is
// errNoSnapshot, that of fetch, or wraps errStaleGeneration.
func (w *endpointWatcher) poll(ctx context.Context, address string, snapshotDue bool) (watchEvent, error) {
	target := endpointListPath
	timeout := snapshotTimeout
	if !snapshotDue {
		target += fmt.Sprintf("?from=%d&hold_ms=%d", w.generation, longPollWait.Milliseconds())
		timeout = longPollWait + longPollSlack
	}
	event, err := w.fetch(ctx, address, target, timeout)
	if err != nil {
		return watchEvent{}, err
	}
	return event, w.accept(event, snapshotDue)
}

// accept checks that a valid event is not older than the last one, and records its generation. After a change of
// address, a restart or a partition, a replica of the discovery service that has not caught up may respond with an
// older list, which would bring back hosts that have drained: accept then returns errStaleGeneration. If the lists stay
// older for staleLimit, the next snapshot is accepted.
func (w *endpointWatcher) accept(event watchEvent, snapshotDue bool) error {
	if snapshotDue && !event.Snapshot {
		return errNoSnapshot
	}
	if event.Generation < w.generation {
		if w.staleSince.IsZero() {
			w.staleSince = time.Now()
		}
		if !event.Snapshot || time.Since(w.staleSince) < w.staleLimit {
			return fmt.Errorf("%w: generation %d after %d", errStaleGeneration, event.Generation, w.generation)
		}
		w.log.Warn().
			Int64("generation", event.Generation).
			Int64("previous_generation", w.generation).
			Msg("endpoint list generations restarted")
	}
	w.generation = event.Generation
	w.staleSince = time.Time{}
	return nil
}

// fetch calls the discovery service and returns its response, decoded and validated. The timeout bounds the whole call.
func (w *endpointWatcher) fetch(ctx context.Context, address, target string, timeout time.Duration) (
	watchEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := w.client.Call(ctx, http.MethodGet, address, target, nil)
	if err != nil {
		return watchEvent{}, fmt.Errorf("calling for the endpoint list: %w", err)
	}
	if response.Status != http.StatusOK {
		return watchEvent{}, fmt.Errorf("calling for the endpoint list: status %d", response.Status)
	}
	event, err := decodeWatchEvent(response.Body)
	if err != nil {
		return watchEvent{}, fmt.Errorf("decoding the endpoint list: %w", err)
	}
	return event, event.validate(w.zoneIndex)
}

// backoff doubles the pause between retries from min up to max.
type backoff struct {
	min, max time.Duration
	last     time.Duration // 0: no retry since the reset
}

// next returns the pause before the next retry.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, b.min), b.max)
	return b.last
}

// reset makes the next pause the shortest one, after a success.
func (b *backoff) reset() { b.last = 0 }

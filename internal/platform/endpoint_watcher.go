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

	// longPollWait is how long the discovery service may hold a watch call for something new. It is short, since a
	// connection that has become unresponsive shows only after it: what the list has to say counts as delivered 2 s
	// after the wait is over.
	longPollWait = 1500 * time.Millisecond
	// longPollSlack is the time for the answer to arrive after that.
	longPollSlack = 400 * time.Millisecond
	// snapshotTimeout bounds a call for a snapshot.
	snapshotTimeout = time.Second
	// minPollInterval keeps a service that does not hold watch calls from being called in a tight loop.
	minPollInterval = 50 * time.Millisecond

	// staleSnapshotLimit is when a list that is still older than the one held is accepted: what the list has to say
	// counts as delivered by then, so the service must have begun a new count of generations.
	staleSnapshotLimit = 6 * time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

var (
	errStaleGeneration = errors.New("endpoint list is older than the one held")
	errNoSnapshot      = errors.New("endpoint list: a delta came where a snapshot is due")
)

// endpointWatcher watches the endpoint list at an address that may change. One goroutine runs it, with one follower
// at a time, and one connection.
type endpointWatcher struct {
	client     *http1.Client
	log        zerolog.Logger
	warnings   *rateLimitedLog
	zoneIndex  func(name string) (int, bool)
	newAddress chan string      // holds the newest address, until it is followed
	deliver    func(watchEvent) // takes valid events, in order
	staleLimit time.Duration    // staleSnapshotLimit but in tests

	// What follows belongs to the follower.
	generation int64     // of the last event
	staleSince time.Time // when an older list first came; zero: the last one was not older
}

func newEndpointWatcher(log zerolog.Logger, warnings *rateLimitedLog, zoneIndex func(string) (int, bool),
	deliver func(watchEvent)) *endpointWatcher {
	return &endpointWatcher{
		client:     &http1.Client{Idle: 1}, // calls follow each other on one connection
		log:        log,
		warnings:   warnings,
		zoneIndex:  zoneIndex,
		newAddress: make(chan string, 1),
		deliver:    deliver,
		staleLimit: staleSnapshotLimit,
	}
}

// setAddress has the list followed at another address. Of several the newest counts. It is safe to call from any
// goroutine.
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

// run follows the list until the context ends, at each new address from a snapshot on.
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

// follow asks for a snapshot, then for changes, until the context ends.
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

// poll makes one call and returns an event that is valid and follows on the last one.
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

// accept checks that a valid event follows on the last one, and notes its generation. An agent that has yet to catch
// up, after a change of address, a restart or a partition, answers with an older list, which would bring back hosts
// that have drained: that is errStaleGeneration. A snapshot that stays older for the stale limit is accepted.
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

// fetch calls the discovery service and returns its answer, decoded and valid.
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

// reset notes a success.
func (b *backoff) reset() { b.last = 0 }

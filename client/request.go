package client

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Result is the result of an attempt.
type Result int

const (
	// Fulfilled is the result of a successful attempt.
	Fulfilled Result = iota
	// Failed is the result of an attempt that failed and may have been executed.
	Failed
	// NeverRan is the result of an attempt that provably was not executed: the connection was refused, or the response
	// says so.
	NeverRan
)

// Outcome is what the proxy observed of one attempt.
type Outcome struct {
	Result  Result
	Metrics string // value of the response header endpoint-load-metrics (ORCA); "" without one
	Err     error  // why the attempt failed; may be nil
}

// Request is the record of one request and its attempts, for Options.OnRequestEnd.
type Request struct {
	Class     string    // request class
	ArrivedAt time.Time // instant of arrival
	Admitted  bool      // admitted by the admission ratio (Table.AdmissionRatio)
	Attempts  []Attempt // in order
	Fulfilled bool
}

// Attempt is one attempt of a Request.
type Attempt struct {
	Host      string
	StartedAt time.Time
	Duration  time.Duration
	Result    Result
}

// Values of Table.RetryPolicy: the retry policy of a request class.
const (
	noRetry       = 0
	retryNeverRan = 1 // one retry, after NeverRan
	retryOnce     = 2 // one retry, after any failure
	retryTwice    = 3 // two retries, after any failure
)

var (
	// ErrNotAdmitted is returned for a request that the admission ratio (Table.AdmissionRatio) did not admit.
	ErrNotAdmitted = errors.New("the request is not admitted")
	// ErrNoHost is returned for a request if no host remains for it.
	ErrNoHost = errors.New("no host is available")

	errAttemptFailed = errors.New("the attempt failed") // for an attempt that failed without Outcome.Err
)

// Do executes a request of a class: it admits it by the table's admission ratio, calls attempt with a picked host, and
// retries at other hosts by the table's retry policy, until the context ends. It returns ErrNotAdmitted, ErrNoHost, or
// an error that wraps that of the last attempt.
func (c *Client) Do(ctx context.Context, class string, attempt func(ctx context.Context, host string) Outcome) error {
	c.mu.Lock()
	table := c.table(class)
	admitted := table.AdmissionRatio >= 1 || c.random() < table.AdmissionRatio
	c.stats.countArrival(class)
	c.mu.Unlock()

	request := Request{Class: class, ArrivedAt: c.options.Now(), Admitted: admitted}
	err := ErrNotAdmitted
	if admitted {
		err = c.makeAttempts(ctx, &request, table.RetryPolicy, attempt)
	}
	request.Fulfilled = err == nil
	if c.options.OnRequestEnd != nil {
		c.options.OnRequestEnd(request)
	}
	return err
}

// makeAttempts makes the attempts of an admitted request and appends them to the request.
func (c *Client) makeAttempts(ctx context.Context, request *Request, retryPolicy int,
	attempt func(ctx context.Context, host string) Outcome) error {
	class := request.Class
	var tried []string
	for {
		host, ok := c.Pick(class, tried...)
		if !ok {
			c.countUnfulfilled(class)
			return ErrNoHost
		}
		startedAt := c.options.Now()
		outcome := attempt(ctx, host)
		duration := c.options.Now().Sub(startedAt)
		record := Attempt{Host: host, StartedAt: startedAt, Duration: duration, Result: outcome.Result}
		request.Attempts = append(request.Attempts, record)
		c.observeAttempt(host, outcome, duration)
		if outcome.Result == Fulfilled {
			return nil
		}
		tried = append(tried, host)
		if ctx.Err() != nil || !c.mayRetry(class, retryPolicy, len(tried), outcome.Result) {
			c.countUnfulfilled(class)
			if outcome.Err == nil {
				outcome.Err = errAttemptFailed
			}
			return fmt.Errorf("attempt %d at host %s: %w", len(tried), host, outcome.Err)
		}
	}
}

// mayRetry reports whether a request may be retried after the given number of attempts: as the retry policy allows,
// and for a class that is not idempotent only after NeverRan.
func (c *Client) mayRetry(class string, retryPolicy, attempts int, last Result) bool {
	if attempts > maxRetries(retryPolicy) {
		return false
	}
	return last == NeverRan || retryPolicy >= retryOnce && c.idempotent[class]
}

func maxRetries(retryPolicy int) int {
	switch retryPolicy {
	case noRetry:
		return 0
	case retryTwice:
		return 2
	default:
		return 1
	}
}

// observeAttempt counts an attempt in the request stats, and ejects a host after too many failures in a row.
func (c *Client) observeAttempt(host string, outcome Outcome, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.countAttempt(host, outcome, duration)
	if c.options.EjectAfterFailures != 0 {
		c.updateEjection(host, outcome.Result)
	}
}

func (c *Client) countUnfulfilled(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.countUnfulfilled(class)
}

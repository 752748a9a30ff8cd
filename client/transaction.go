package client

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Result of a try.
type Result int

// A try was fulfilled; it failed and may have run; or it failed with proof that it never ran, such as a
// connection refused or an answer that says so.
const (
	Fulfilled Result = iota
	Failed
	NeverRan
)

// Try is what became of a try. Metrics is the value of the answer's field endpoint-load-metrics, if it had one.
type Try struct {
	Result  Result
	Metrics string
	Err     error
}

// Transaction is what became of one, with its tries in order.
type Transaction struct {
	Class     string
	Came      time.Time
	LetIn     bool
	Tries     []Attempt
	Fulfilled bool
}

// Attempt is a try with its host and times.
type Attempt struct {
	Host   string
	Began  time.Time
	Took   time.Duration
	Result Result
}

// ErrNotLetIn tells that the level of the class kept a transaction out, ErrNoHost that no host is left to try.
var (
	ErrNotLetIn = errors.New("not let in")
	ErrNoHost   = errors.New("no host to pick")
)

// Do carries a transaction out: it is let in or not by the class's level, sent to a host, and tried again at
// another as the table says, while the context lasts. try makes one try and tells what became of it.
func (c *Client) Do(ctx context.Context, class string, try func(ctx context.Context, host string) Try) error {
	c.mu.Lock()
	t := c.table(class)
	letIn := t.Share >= 1 || c.random() < t.Share
	c.stats.countArrival(class)
	c.mu.Unlock()
	x := Transaction{Class: class, Came: c.options.Now(), LetIn: letIn}
	err := error(ErrNotLetIn)
	if letIn {
		err = c.attempt(ctx, class, t.Tries, &x, try)
	}
	x.Fulfilled = err == nil
	if c.options.Ended != nil {
		c.options.Ended(x)
	}
	return err
}

// attempt makes the tries of a transaction that was let in.
func (c *Client) attempt(ctx context.Context, class string, tries int, x *Transaction,
	try func(ctx context.Context, host string) Try) error {
	var tried []string
	for {
		c.mu.Lock()
		host, ok := c.pick(class, tried)
		c.mu.Unlock()
		if !ok {
			c.countUnanswered(class)
			return ErrNoHost
		}
		began := c.options.Now()
		r := try(ctx, host)
		took := c.options.Now().Sub(began)
		x.Tries = append(x.Tries, Attempt{host, began, took, r.Result})
		c.observeAttempt(host, r, took)
		if r.Result == Fulfilled {
			return nil
		}
		tried = append(tried, host)
		if ctx.Err() != nil || !c.mayRetry(class, tries, len(tried), r.Result) {
			c.countUnanswered(class)
			if r.Err == nil {
				r.Err = errors.New("no good answer")
			}
			return fmt.Errorf("try %d at %s: %w", len(tried), host, r.Err)
		}
	}
}

// mayRetry tells whether a further try may follow so many: as the table says, and for classes that must not run
// twice only after proof that the try before never ran.
func (c *Client) mayRetry(class string, tries, made int, last Result) bool {
	most := tries
	if tries > 1 {
		most = tries - 1
	}
	if made > most {
		return false
	}
	return last == NeverRan || tries > 1 && c.idempotent[class]
}

// observeAttempt counts a try.
func (c *Client) observeAttempt(host string, r Try, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.countAttempt(host, r, took)
	if c.options.Ejects == 0 {
		return
	}
	s := c.ejections[host]
	if r.Result == Fulfilled {
		delete(c.ejections, host)
		return
	} else if s == nil {
		s = &ejection{}
		c.ejections[host] = s
	}
	if s.consecutiveFailures++; s.consecutiveFailures >= c.options.Ejects {
		s.consecutiveFailures, s.until = 0, c.options.Now().Add(c.options.Shuns)
	}
}

func (c *Client) countUnanswered(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.countUnanswered(class)
}

package intake

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits say how much may come in, in lines (about what is told of one host).
type RateLimits struct {
	PerSource float64 // lines a second of one source; it may send a second's worth at once
	Total     float64 // of all sources together
}

// DefaultRateLimits are the limits where none are set.
func DefaultRateLimits() RateLimits { return RateLimits{PerSource: 5000, Total: 50000} }

const (
	guaranteedFraction = 0.5              // of all that may come is dealt out to the sources evenly; the rest goes to who comes first
	sourceIdleTimeout  = 10 * time.Second // after which a source is forgotten, and counts no more
	maxSources         = 100000           // known at once; any others share what one may send
	minBurst           = 100              // a source may send at once whatever its rate: the report of a table of that size
	overflowSource     = "\x00others"
)

// RateLimiter lets reports in before anything else is done for them, reading them among it: each source has a bucket of its own,
// and of what may come in all, half is promised to the sources evenly. So a source that floods takes what it is due and
// what nobody else wants, never what is due to another. It is safe for use by several goroutines.
type RateLimiter struct {
	mu          sync.Mutex
	limits      RateLimits
	ratio       float64 // of the limits that are in force
	sources     map[string]*list.Element
	recent      *list.List // of *source, the one that came last first
	shared      *rate.Limiter
	balancedFor int // among so many the promised part was last dealt
	rejected    int64
	shed        int64
}

type source struct {
	name       string
	guaranteed *rate.Limiter
	own        *rate.Limiter
	lastSeen   time.Time
}

// NewRateLimiter makes an open one.
func NewRateLimiter(l RateLimits) *RateLimiter {
	return &RateLimiter{limits: l, ratio: 1, sources: map[string]*list.Element{}, recent: list.New(),
		shared: rate.NewLimiter(rate.Limit(l.Total*(1-guaranteedFraction)), burstFor(l.Total))}
}

func burstFor(lines float64) int { return int(math.Max(lines, minBurst)) }

// Allow tells whether a report of so many lines of a source may come in now, and if not, after how long it may be tried
// again.
func (d *RateLimiter) Allow(now time.Time, name string, lines int) (ok bool, again time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evictIdle(now)
	s := d.sourceBucket(now, name)
	lines = min(max(lines, 1), s.own.Burst())
	if !s.own.AllowN(now, lines) {
		d.rejected++
		return false, d.retryAfter(s.own, now, lines)
	}
	if s.guaranteed.AllowN(now, lines) || d.shared.AllowN(now, lines) {
		return true, 0
	}
	d.shed++
	return false, d.retryAfter(s.guaranteed, now, lines)
}

// retryAfter is how long it takes until a bucket holds so many lines again.
func (d *RateLimiter) retryAfter(l *rate.Limiter, now time.Time, lines int) time.Duration {
	lack := float64(lines) - l.TokensAt(now)
	return time.Duration(math.Min(math.Max(lack/float64(l.Limit()), 0.1), 60) * float64(time.Second))
}

func (d *RateLimiter) sourceBucket(now time.Time, name string) *source {
	e := d.sources[name]
	if e == nil && len(d.sources) >= maxSources {
		name = overflowSource
		e = d.sources[name]
	}
	if e == nil {
		s := &source{name: name, own: rate.NewLimiter(rate.Limit(d.limits.PerSource*d.ratio), burstFor(d.limits.PerSource)),
			guaranteed: rate.NewLimiter(d.guaranteedRate(len(d.sources)+1), minBurst)}
		e = d.recent.PushFront(s)
		d.sources[name] = e
	}
	s := e.Value.(*source)
	s.lastSeen = now
	d.recent.MoveToFront(e)
	if n := len(d.sources); n > d.balancedFor*5/4 || n < d.balancedFor*3/4 || d.balancedFor == 0 {
		d.rebalance(now)
	}
	return s
}

// evictIdle gives up sources that have not come for long.
func (d *RateLimiter) evictIdle(now time.Time) {
	for e := d.recent.Back(); e != nil && now.Sub(e.Value.(*source).lastSeen) > sourceIdleTimeout; e = d.recent.Back() {
		delete(d.sources, e.Value.(*source).name)
		d.recent.Remove(e)
	}
}

// guaranteedRate is what is promised to each of so many sources.
func (d *RateLimiter) guaranteedRate(sources int) rate.Limit {
	return rate.Limit(math.Max(d.limits.Total*d.ratio*guaranteedFraction/float64(sources), 1e-3))
}

// rebalance sets the buckets by the number of sources and the part that is in force.
func (d *RateLimiter) rebalance(now time.Time) {
	d.balancedFor = len(d.sources)
	each := d.guaranteedRate(d.balancedFor)
	for e := d.recent.Front(); e != nil; e = e.Next() {
		s := e.Value.(*source)
		s.guaranteed.SetLimitAt(now, each)
		s.own.SetLimitAt(now, rate.Limit(d.limits.PerSource*d.ratio))
	}
	d.shared.SetLimitAt(now, rate.Limit(d.limits.Total*d.ratio*(1-guaranteedFraction)))
}

// SetRatio lets only a part of the limits in, 1 for all of them.
func (d *RateLimiter) SetRatio(now time.Time, part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if part != d.ratio {
		d.ratio = part
		if len(d.sources) > 0 {
			d.rebalance(now)
		}
	}
}

// RateLimiterReport is how the door stands.
type RateLimiterReport struct {
	Sources  int     `json:"sources"` // that came lately
	Ratio    float64 `json:"part"`    // of the limits that is in force
	Rejected int64   `json:"refused"` // reports of sources that sent more than one may
	Shed     int64   `json:"shed"`    // reports beyond what all may send and their source is promised
}

// Report tells how the door stands.
func (d *RateLimiter) Report() RateLimiterReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return RateLimiterReport{len(d.sources), d.ratio, d.rejected, d.shed}
}

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
	promised    = 0.5              // of all that may come is dealt out to the sources evenly; the rest goes to who comes first
	idle        = 10 * time.Second // after which a source is forgotten, and counts no more
	mostSources = 100000           // known at once; any others share what one may send
	leastLines  = 100              // a source may send at once whatever its rate: the report of a table of that size
	others      = "\x00others"
)

// RateLimiter lets reports in before anything else is done for them, reading them among it: each source has a bucket of its own,
// and of what may come in all, half is promised to the sources evenly. So a source that floods takes what it is due and
// what nobody else wants, never what is due to another. It is safe for use by several goroutines.
type RateLimiter struct {
	mu      sync.Mutex
	limits  RateLimits
	part    float64 // of the limits that are in force
	sources map[string]*list.Element
	recent  *list.List // of *source, the one that came last first
	common  *rate.Limiter
	dealt   int // among so many the promised part was last dealt
	refused int64
	sheds   int64
}

type source struct {
	name     string
	promised *rate.Limiter
	own      *rate.Limiter
	seen     time.Time
}

// NewRateLimiter makes an open one.
func NewRateLimiter(l RateLimits) *RateLimiter {
	return &RateLimiter{limits: l, part: 1, sources: map[string]*list.Element{}, recent: list.New(),
		common: rate.NewLimiter(rate.Limit(l.Total*(1-promised)), burst(l.Total))}
}

func burst(lines float64) int { return int(math.Max(lines, leastLines)) }

// Allow tells whether a report of so many lines of a source may come in now, and if not, after how long it may be tried
// again.
func (d *RateLimiter) Allow(now time.Time, name string, lines int) (ok bool, again time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	s := d.source(now, name)
	lines = min(max(lines, 1), s.own.Burst())
	if !s.own.AllowN(now, lines) {
		d.refused++
		return false, d.wait(s.own, now, lines)
	}
	if s.promised.AllowN(now, lines) || d.common.AllowN(now, lines) {
		return true, 0
	}
	d.sheds++
	return false, d.wait(s.promised, now, lines)
}

// wait is how long it takes until a bucket holds so many lines again.
func (d *RateLimiter) wait(l *rate.Limiter, now time.Time, lines int) time.Duration {
	lack := float64(lines) - l.TokensAt(now)
	return time.Duration(math.Min(math.Max(lack/float64(l.Limit()), 0.1), 60) * float64(time.Second))
}

func (d *RateLimiter) source(now time.Time, name string) *source {
	e := d.sources[name]
	if e == nil && len(d.sources) >= mostSources {
		name = others
		e = d.sources[name]
	}
	if e == nil {
		s := &source{name: name, own: rate.NewLimiter(rate.Limit(d.limits.PerSource*d.part), burst(d.limits.PerSource)),
			promised: rate.NewLimiter(d.each(len(d.sources)+1), leastLines)}
		e = d.recent.PushFront(s)
		d.sources[name] = e
	}
	s := e.Value.(*source)
	s.seen = now
	d.recent.MoveToFront(e)
	if n := len(d.sources); n > d.dealt*5/4 || n < d.dealt*3/4 || d.dealt == 0 {
		d.deal(now)
	}
	return s
}

// forget gives up sources that have not come for long.
func (d *RateLimiter) forget(now time.Time) {
	for e := d.recent.Back(); e != nil && now.Sub(e.Value.(*source).seen) > idle; e = d.recent.Back() {
		delete(d.sources, e.Value.(*source).name)
		d.recent.Remove(e)
	}
}

// each is what is promised to each of so many sources.
func (d *RateLimiter) each(sources int) rate.Limit {
	return rate.Limit(math.Max(d.limits.Total*d.part*promised/float64(sources), 1e-3))
}

// deal sets the buckets by the number of sources and the part that is in force.
func (d *RateLimiter) deal(now time.Time) {
	d.dealt = len(d.sources)
	each := d.each(d.dealt)
	for e := d.recent.Front(); e != nil; e = e.Next() {
		s := e.Value.(*source)
		s.promised.SetLimitAt(now, each)
		s.own.SetLimitAt(now, rate.Limit(d.limits.PerSource*d.part))
	}
	d.common.SetLimitAt(now, rate.Limit(d.limits.Total*d.part*(1-promised)))
}

// SetRatio lets only a part of the limits in, 1 for all of them.
func (d *RateLimiter) SetRatio(now time.Time, part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if part != d.part {
		d.part = part
		if len(d.sources) > 0 {
			d.deal(now)
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
	return RateLimiterReport{len(d.sources), d.part, d.refused, d.sheds}
}

package intake

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits bound the rate of reports. The request stats of one host or one request class count as one report.
type RateLimits struct {
	PerSource float64 // reports per second of one source; the burst is that of one second
	Total     float64 // reports per second of all sources together
}

// DefaultRateLimits returns the limits that apply where the settings give none.
func DefaultRateLimits() RateLimits { return RateLimits{PerSource: 5000, Total: 50000} }

const (
	// guaranteedFraction of the total rate is split evenly among the sources; the rest is shared first come, first
	// served.
	guaranteedFraction = 0.5
	// minGuaranteedRate keeps the wait for a guaranteed token finite, in reports per second.
	minGuaranteedRate = 1e-3
	// sourceIdleTimeout is the time without requests after which a source is forgotten and loses its guaranteed rate.
	sourceIdleTimeout = 10 * time.Second
	// maxSources bounds the memory. Further sources share the buckets of overflowSource.
	maxSources = 100000
	// overflowSource is the common name of all sources beyond maxSources. No real source has a name that begins with
	// NUL.
	overflowSource = "\x00others"
	// minBurst is the number of reports that any source may send at once, however low its rate.
	minBurst = 100
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request, in seconds.
	minRetryAfter = 0.1
	maxRetryAfter = 60
)

// RateLimiter admits or rejects requests with reports before their bodies are read. Each source has its own token
// bucket. Of the total rate, [guaranteedFraction] is guaranteed to the sources in equal parts, and the rest is shared
// first come, first served, so that a source that floods the controller never uses the rate that is guaranteed to
// another one. The caller must only pass sources that may report: with ever new names a sender would use up the memory,
// and the rates that are guaranteed to others. It is safe for concurrent use.
type RateLimiter struct {
	mu              sync.Mutex
	limits          RateLimits
	ratio           float64                  // of the limits that is in force, at most 1
	sources         map[string]*list.Element // by name, elements of recent
	recent          *list.List               // of *source, the most recently seen first
	shared          *rate.Limiter            // the fraction of the total rate that is not guaranteed
	balancedSources int                      // number of sources at the last rebalance; 0: there was none
	rejected        int64                    // requests of sources that exceeded their own limit
	shed            int64                    // requests beyond the guaranteed and the shared rate
}

// source is one sender of reports with its token buckets.
type source struct {
	name       string
	guaranteed *rate.Limiter
	own        *rate.Limiter
	lastSeen   time.Time
}

// NewRateLimiter returns a limiter with the full limits in force.
func NewRateLimiter(limits RateLimits) *RateLimiter {
	return &RateLimiter{
		limits:  limits,
		ratio:   1,
		sources: map[string]*list.Element{},
		recent:  list.New(),
		shared:  rate.NewLimiter(rate.Limit(limits.Total*(1-guaranteedFraction)), burstFor(limits.Total)),
	}
}

// burstFor returns the capacity of a token bucket: the tokens of one second, and at least minBurst.
func burstFor(perSecond float64) int { return int(math.Max(perSecond, minBurst)) }

// Knows reports whether a source has sent a request within sourceIdleTimeout.
func (l *RateLimiter) Knows(sourceName string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sources[sourceName] != nil
}

// Allow reports whether a source may send a request with the given number of reports now. If not, it returns the
// Retry-After of the rejection.
func (l *RateLimiter) Allow(now time.Time, sourceName string, reports int) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictIdle(now)
	sender := l.getOrAddSource(now, sourceName)
	reports = min(max(reports, 1), sender.own.Burst())
	if !sender.own.AllowN(now, reports) {
		l.rejected++
		return false, timeUntilAvailable(sender.own, now, reports)
	}
	if sender.guaranteed.AllowN(now, reports) || l.shared.AllowN(now, reports) {
		return true, 0
	}
	l.shed++
	return false, timeUntilAvailable(sender.guaranteed, now, reports)
}

// timeUntilAvailable returns the time until a token bucket holds the given tokens, within the bounds of a
// Retry-After.
func timeUntilAvailable(bucket *rate.Limiter, now time.Time, tokens int) time.Duration {
	missing := float64(tokens) - bucket.TokensAt(now)
	seconds := math.Min(math.Max(missing/float64(bucket.Limit()), minRetryAfter), maxRetryAfter)
	return time.Duration(seconds * float64(time.Second))
}

// getOrAddSource returns the source of a name, and creates it if it is unknown. It marks the source as seen.
func (l *RateLimiter) getOrAddSource(now time.Time, name string) *source {
	element := l.sources[name]
	if element == nil && len(l.sources) >= maxSources {
		name = overflowSource
		element = l.sources[name]
	}
	if element == nil {
		element = l.recent.PushFront(l.newSource(name))
		l.sources[name] = element
	}
	found := sourceOf(element)
	found.lastSeen = now
	l.recent.MoveToFront(element)
	if l.needsRebalance() {
		l.rebalance(now)
	}
	return found
}

func (l *RateLimiter) newSource(name string) *source {
	return &source{
		name:       name,
		own:        rate.NewLimiter(l.sourceRate(), burstFor(l.limits.PerSource)),
		guaranteed: rate.NewLimiter(l.guaranteedRate(len(l.sources)+1), minBurst),
	}
}

// sourceOf returns the source that an element of RateLimiter.recent holds.
func sourceOf(element *list.Element) *source { return element.Value.(*source) }

// evictIdle removes the sources without a request for sourceIdleTimeout.
func (l *RateLimiter) evictIdle(now time.Time) {
	for {
		oldest := l.recent.Back()
		if oldest == nil || now.Sub(sourceOf(oldest).lastSeen) <= sourceIdleTimeout {
			return
		}
		delete(l.sources, sourceOf(oldest).name)
		l.recent.Remove(oldest)
	}
}

// sourceRate returns the rate of one source's own bucket, in reports per second.
func (l *RateLimiter) sourceRate() rate.Limit { return rate.Limit(l.limits.PerSource * l.ratio) }

// guaranteedRate returns the rate that is guaranteed to each of the given number of sources, in reports per second.
func (l *RateLimiter) guaranteedRate(sources int) rate.Limit {
	return rate.Limit(math.Max(l.limits.Total*l.ratio*guaranteedFraction/float64(sources), minGuaranteedRate))
}

// needsRebalance reports whether the number of sources has changed by more than a quarter since the last rebalance. A
// rebalance at each new source would cost time linear in their number.
func (l *RateLimiter) needsRebalance() bool {
	count := len(l.sources)
	return l.balancedSources == 0 || count > l.balancedSources*5/4 || count < l.balancedSources*3/4
}

// rebalance sets the rates of all buckets by the number of sources and the ratio in force.
func (l *RateLimiter) rebalance(now time.Time) {
	l.balancedSources = len(l.sources)
	guaranteed := l.guaranteedRate(l.balancedSources)
	for element := l.recent.Front(); element != nil; element = element.Next() {
		sender := sourceOf(element)
		sender.guaranteed.SetLimitAt(now, guaranteed)
		sender.own.SetLimitAt(now, l.sourceRate())
	}
	l.shared.SetLimitAt(now, rate.Limit(l.limits.Total*l.ratio*(1-guaranteedFraction)))
}

// SetRatio puts a fraction of the limits in force: 1 for the full limits, 0.5 for half of them.
func (l *RateLimiter) SetRatio(now time.Time, ratio float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ratio == l.ratio {
		return
	}
	l.ratio = ratio
	if len(l.sources) > 0 {
		l.rebalance(now)
	}
}

// RateLimiterReport is the state of a RateLimiter in the status API.
type RateLimiterReport struct {
	Sources  int     `json:"sources"` // that sent something within sourceIdleTimeout
	Ratio    float64 `json:"part"`    // of the limits that is in force
	Rejected int64   `json:"refused"` // requests of sources that exceeded RateLimits.PerSource
	Shed     int64   `json:"shed"`    // requests beyond RateLimits.Total and the source's guaranteed rate
}

// Report returns the state for the status API.
func (l *RateLimiter) Report() RateLimiterReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return RateLimiterReport{Sources: len(l.sources), Ratio: l.ratio, Rejected: l.rejected, Shed: l.shed}
}

package intake

import (
	"fmt"
	"testing"
	"time"
)

// limiterTest sends requests to a RateLimiter and counts their reports by source.
type limiterTest struct {
	*RateLimiter
	now      time.Time
	admitted map[string]int
	rejected map[string]int
}

func newLimiterTest(limits RateLimits) *limiterTest {
	return &limiterTest{
		RateLimiter: NewRateLimiter(limits),
		now:         time.Unix(1000, 0),
		admitted:    map[string]int{},
		rejected:    map[string]int{},
	}
}

func (l *limiterTest) send(t *testing.T, source string, reports int) {
	t.Helper()
	ok, retryAfter := l.Allow(l.now, source, reports)
	if ok {
		l.admitted[source] += reports
		return
	}
	l.rejected[source] += reports
	if retryAfter <= 0 {
		t.Errorf("source %s is rejected with retry after %v, want a positive duration", source, retryAfter)
	}
}

// runFlood sends 5000 reports a second of one source for 20 s, ahead of those of 20 others with 20 a second each.
func (l *limiterTest) runFlood(t *testing.T) {
	t.Helper()
	for tick := range 200 {
		l.now = l.now.Add(100 * time.Millisecond)
		for range 100 {
			l.send(t, "flood", 5)
		}
		for i := range 20 {
			if tick%10 == i%10 {
				l.send(t, fmt.Sprint("p", i), 20)
			}
		}
	}
}

// A source that floods gets its guaranteed rate and the shared rate that no other source needs; all reports of the
// others are admitted.
func TestRateLimiterIsolatesFlood(t *testing.T) {
	limiter := newLimiterTest(RateLimits{PerSource: 2000, Total: 1000})
	limiter.runFlood(t)
	for i := range 20 {
		source := fmt.Sprint("p", i)
		if limiter.rejected[source] > 0 || limiter.admitted[source] != 400 {
			t.Errorf("%s: got %d reports admitted and %d rejected, want 400 and 0",
				source, limiter.admitted[source], limiter.rejected[source])
		}
	}
	if admitted := limiter.admitted["flood"]; admitted < 20*500 || admitted > 20*560+2000 {
		t.Errorf("got %d reports of the flood admitted in 20 s, want %d to %d", admitted, 20*500, 20*560+2000)
	}
	if report := limiter.Report(); report.Sources != 21 || report.Shed+report.Rejected == 0 {
		t.Errorf("got %+v, want 21 sources and some requests shed or rejected", report)
	}

	limiter.SetRatio(limiter.now, 0.25)
	clear(limiter.admitted)
	for range 100 {
		limiter.now = limiter.now.Add(100 * time.Millisecond)
		for range 20 {
			limiter.send(t, "flood", 5)
		}
	}
	if admitted := limiter.admitted["flood"]; admitted > 10*140+700 {
		t.Errorf("got %d reports of the flood admitted in 10 s at ratio 0.25, want at most %d", admitted, 10*140+700)
	}

	limiter.now = limiter.now.Add(time.Minute)
	limiter.send(t, "p1", 1)
	if sources := limiter.Report().Sources; sources != 1 {
		t.Errorf("got %d known sources after all but one were idle, want 1", sources)
	}
}

// The number of known sources is bounded, however many names send reports.
func TestRateLimiterBoundsSources(t *testing.T) {
	limiter := NewRateLimiter(DefaultRateLimits())
	for i := range maxSources + 1000 {
		limiter.Allow(time.Unix(1000, 0), fmt.Sprint("p", i), 1)
	}
	if sources := limiter.Report().Sources; sources > maxSources+1 {
		t.Errorf("got %d known sources, want at most %d", sources, maxSources+1)
	}
}

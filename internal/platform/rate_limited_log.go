package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// minLogInterval is the least time between two lines on one kind of fault.
const minLogInterval = 5 * time.Second

// rateLimitedLog counts faults by kind and logs one line a kind at a limited rate. The kinds are few and our own words.
type rateLimitedLog struct {
	log zerolog.Logger
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*warningCount
}

type warningCount struct {
	count        int
	lastLoggedAt time.Time
}

func newRateLimitedLog(log zerolog.Logger, now func() time.Time) *rateLimitedLog {
	return &rateLimitedLog{log: log, now: now, kinds: map[string]*warningCount{}}
}

func (t *rateLimitedLog) warn(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &warningCount{}
		t.kinds[kind] = k
	}
	k.count++
	if now := t.now(); k.count == 1 || now.Sub(k.lastLoggedAt) >= minLogInterval {
		k.lastLoggedAt = now
		t.log.Warn().Int("so_far", k.count).Err(err).Msg(kind)
	}
}

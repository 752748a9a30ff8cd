package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// logEvery is the least time between two lines on one kind of fault.
const logEvery = 5 * time.Second

// faultLog counts faults by kind and logs one line a kind at a limited rate. The kinds are few and our own words.
type faultLog struct {
	log zerolog.Logger
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*fault
}

type fault struct {
	count    int
	loggedAt time.Time
}

func newFaultLog(log zerolog.Logger, now func() time.Time) *faultLog {
	return &faultLog{log: log, now: now, kinds: map[string]*fault{}}
}

func (t *faultLog) count(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &fault{}
		t.kinds[kind] = k
	}
	k.count++
	if now := t.now(); k.count == 1 || now.Sub(k.loggedAt) >= logEvery {
		k.loggedAt = now
		t.log.Warn().Int("so_far", k.count).Err(err).Msg(kind)
	}
}

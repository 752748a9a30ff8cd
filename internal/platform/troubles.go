package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// tellEvery is the least time between two lines on one kind of trouble.
const tellEvery = 5 * time.Second

// troubles counts what goes wrong by kind, and says so in one line a kind now and then. The kinds are few and our own words.
type troubles struct {
	log zerolog.Logger
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*trouble
}

type trouble struct {
	count  int
	toldAt time.Time
}

func newTroubles(log zerolog.Logger, now func() time.Time) *troubles {
	return &troubles{log: log, now: now, kinds: map[string]*trouble{}}
}

func (t *troubles) count(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &trouble{}
		t.kinds[kind] = k
	}
	k.count++
	if now := t.now(); k.count == 1 || now.Sub(k.toldAt) >= tellEvery {
		k.toldAt = now
		t.log.Warn().Int("so_far", k.count).Err(err).Msg(kind)
	}
}

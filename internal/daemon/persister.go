package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/statefile"
)

// persister keeps what the steward learned in a folder. A disk that is full, slow or broken costs what would be kept, never a
// decision: the state is taken under the steward's lock, and written without it.
type persister struct {
	loop     *controllerLoop
	log      zerolog.Logger
	folder   *statefile.Folder
	store    *statefile.Store
	program  string
	interval time.Duration

	saveMu sync.Mutex
	mu     sync.Mutex
	report PersisterReport
}

// PersisterReport is how the keeping of the state stands.
type PersisterReport struct {
	Failed   string  `json:"failed"`     // why the last state was not kept; empty: it was
	SavedMs  float64 `json:"saved_ms"`   // ms since 1970 when one last was; 0: never
	Saves    int64   `json:"saves"`      // so often
	TookMs   float64 `json:"took_ms"`    // the last one, syncing among it
	LockedMs float64 `json:"locked_ms"`  // of which the steward waited
	Dropped  int     `json:"dropped"`    // entries that did not fit
	Notes    string  `json:"found_note"` // what was wrong with the state that was found
}

// openPersister opens the folder and recalls what it holds.
func openPersister(path string, every time.Duration, most int, cold float64, program string, c *controllerLoop, log zerolog.Logger) (*persister, error) {
	folder, err := statefile.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	k := &persister{loop: c, log: log, folder: folder, program: program, interval: every}
	found, err := statefile.Load(folder)
	if err != nil {
		folder.Close()
		return nil, err
	}
	for _, note := range found.Warnings {
		log.Warn().Str("note", note).Msg("a part of the state is left out")
		k.report.Notes += note + "; "
	}
	k.store = statefile.NewStore(folder, found, most)
	if found.State == nil {
		return k, nil
	}
	r, err := c.restore(found.State, cold)
	if err != nil {
		folder.Close()
		return nil, err
	}
	log.Info().Str("life", r.Incarnation).Float64("passed_ms", r.ElapsedMs).Int("hosts", len(r.Hosts)).Int("proxies", len(r.Proxies)).Str("why", r.Reason).Msg("an earlier life is recalled")
	return k, nil
}

// run saves until the context ends.
func (k *persister) run(ctx context.Context) {
	tick := time.NewTicker(k.interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			k.save()
		case <-ctx.Done():
			return
		}
	}
}

// save takes the state and makes it last. A steward without a list has learned nothing: what was kept before stays.
func (k *persister) save() {
	k.saveMu.Lock()
	defer k.saveMu.Unlock()
	began := time.Now()
	s, listed := k.loop.snapshot()
	locked := time.Since(began)
	if !listed {
		return
	}
	s.Program = k.program
	err := k.store.Save(s)
	k.mu.Lock()
	defer k.mu.Unlock()
	r := &k.report
	failed := ""
	if err != nil {
		failed = err.Error()
	} else {
		r.SavedMs, r.Saves = s.At, r.Saves+1
	}
	if failed != r.Failed {
		if err != nil {
			k.log.Error().Err(err).Msg("the state is not kept")
		} else {
			k.log.Info().Msg("the state is kept again")
		}
	}
	r.Failed, r.Dropped = failed, k.store.DroppedEntries
	r.TookMs, r.LockedMs = float64(time.Since(began).Microseconds())/1000, float64(locked.Microseconds())/1000
}

func (k *persister) status() *PersisterReport {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.report
	r.LockedMs = math.Round(r.LockedMs*1000) / 1000
	return &r
}

func (k *persister) close() {
	k.store.Close()
	k.folder.Close()
}

package daemon

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/statefile"
	"barleysail/state/statepb"
)

// persister saves the controller's state to a folder at intervals, and restores it at the start. It takes a snapshot
// under the controller loop's mutex and writes it without the mutex, so a full, slow or broken disk never delays the
// controller: only the state after the next restart is lost or outdated.
type persister struct {
	loop     *controllerLoop
	log      zerolog.Logger
	folder   *statefile.Folder
	store    *statefile.Store
	program  string // version of the program, stored with the state
	interval time.Duration

	saveMu sync.Mutex // held during a save
	closed bool       // guarded by saveMu; the folder may belong to another process

	mu     sync.Mutex // guards report
	report PersisterReport
}

// persisterConfig configures a persister.
type persisterConfig struct {
	folder   string
	interval time.Duration // between saves
	maxBytes int           // of the stored state; entries that do not fit are dropped
	coldMs   float64       // guard.cold_ms: how long after its start a host is warming up
	program  string        // version of the program
}

// PersisterReport is the persister's part of the status document.
type PersisterReport struct {
	LastError   string  `json:"failed"`     // why the last save failed; empty: it succeeded
	SavedAtMs   float64 `json:"saved_ms"`   // time of the last save that succeeded, ms since 1970; 0: none did
	Saves       int64   `json:"saves"`      // number of saves that succeeded
	DurationMs  float64 `json:"took_ms"`    // duration of the last save, including its sync to the disk
	LockedMs    float64 `json:"locked_ms"`  // part of it for the snapshot, including the wait for the loop's mutex
	ShrinkSteps int     `json:"dropped"`    // how often entries were dropped to meet the size limit
	Warnings    string  `json:"found_note"` // warnings about the state that was found at the start
}

// openPersister opens the folder and restores the state in it. It locks the folder until close, and returns an error if
// another process has locked it.
func openPersister(cfg persisterConfig, loop *controllerLoop, log zerolog.Logger) (*persister, error) {
	folder, err := statefile.OpenFolder(cfg.folder)
	if err != nil {
		return nil, err
	}
	p := &persister{loop: loop, log: log, folder: folder, program: cfg.program, interval: cfg.interval}
	if err := p.load(cfg); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return p, nil
}

// load reads the folder, opens the store that continues from it, and restores the state.
func (p *persister) load(cfg persisterConfig) error {
	found, err := statefile.Load(p.folder)
	if err != nil {
		return err
	}
	for _, warning := range found.Warnings {
		p.log.Warn().Str("note", warning).Msg("part of the state was dropped")
		p.report.Warnings += warning + "; "
	}
	p.store = statefile.NewStore(p.folder, found, cfg.maxBytes)
	if found.State == nil {
		return nil
	}
	restored, err := p.loop.restore(found.State, cfg.coldMs)
	if err != nil {
		return err
	}
	p.log.Info().
		Str("incarnation", restored.Incarnation).
		Float64("elapsed_ms", restored.ElapsedMs).
		Int("hosts", len(restored.Hosts)).
		Int("proxies", len(restored.Proxies)).
		Str("reason", restored.Reason).
		Msg("state restored")
	return nil
}

// run saves at every interval until the context ends.
func (p *persister) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = p.save() // the report has the error
		case <-ctx.Done():
			return
		}
	}
}

// save writes the controller's state to the disk and records the result in the report. It does nothing until the
// controller has an endpoint list: until then it has learned nothing that should replace the stored state. Of several
// callers that wait, the first one saves for all: the others find nothing more to write.
func (p *persister) save() error {
	p.saveMu.Lock()
	defer p.saveMu.Unlock()
	if p.closed {
		return errStopping
	}
	began := time.Now()
	snapshot, endpointsKnown := p.loop.snapshot()
	locked := time.Since(began)
	if !endpointsKnown {
		return nil
	}
	snapshot.Program = p.program
	err := p.store.Save(snapshot)
	p.recordSave(snapshot, err, time.Since(began), locked)
	return err
}

// checkWritable returns an error if the folder cannot be written: the last save failed, and another one fails too. It
// returns nil if no state is persisted.
func (p *persister) checkWritable() error {
	if p == nil || p.status().LastError == "" {
		return nil
	}
	return p.save()
}

// recordSave records the result of a save in the report, and logs when saves begin to fail or to succeed again.
func (p *persister) recordSave(snapshot *statepb.State, err error, took, locked time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := ""
	if err != nil {
		failed = err.Error()
	} else {
		p.report.SavedAtMs = snapshot.At
		p.report.Saves++
	}
	if failed != p.report.LastError {
		if err != nil {
			p.log.Error().Err(err).Msg("saving the state failed")
		} else {
			p.log.Info().Msg("saving the state succeeded again")
		}
	}
	p.report.LastError = failed
	p.report.ShrinkSteps = p.store.ShrinkSteps
	p.report.DurationMs = wholeMicroseconds(took)
	p.report.LockedMs = wholeMicroseconds(locked)
}

// status returns the report, or nil if no state is persisted.
func (p *persister) status() *PersisterReport {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	report := p.report
	report.LockedMs = math.Round(report.LockedMs*microsecondsPerMs) / microsecondsPerMs
	return &report
}

// close closes the store and unlocks the folder. It must be called after run has returned.
func (p *persister) close() {
	p.saveMu.Lock()
	defer p.saveMu.Unlock()
	p.closed = true
	p.store.Close()
	if err := p.folder.Close(); err != nil {
		p.log.Warn().Err(err).Msg("closing the state folder failed")
	}
}

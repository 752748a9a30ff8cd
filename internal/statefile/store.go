// Package statefile stores a controller's state in a folder so that it survives crashes and power cuts.
//
// It owns the files of the folder: a snapshot of the state and a log of the changes since then, in numbered
// generations. Each record has a checksum. After a crash a reader finds the state that was last synced or a later one
// that was saved, but never a mixture. The package decides neither what is stored nor how far a stored state is trusted
// after a restart; package state does.
//
// A file begins with the seven bytes "BSTATE\x00", the byte 'S' for a snapshot or 'L' for a log, and the major and
// minor version of its format (uint32 each). Records follow: the length of the body (uint32), the CRC-32C of the
// file's generation and the body (uint32), and the body, which is a statepb.State in a snapshot (one record) and a
// statepb.Change in a log. All integers are little endian. The files of generation 17 are snapshot-00000017 and
// log-00000017.
package statefile

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

const (
	// retainedGenerations is the number of generations that are kept: the current one, and the previous one in case the
	// current one is damaged.
	retainedGenerations = 2

	// minCompactBytes is the size that a log may reach, even if its snapshot is smaller, before a new snapshot replaces
	// both. It keeps small states from causing frequent snapshots.
	minCompactBytes = 64 << 10
)

// Store writes a state into a folder. It is not safe for concurrent use.
type Store struct {
	fsys             FS
	maxSnapshotBytes int
	generation       uint64         // number of the newest generation
	saved            *statepb.State // state that Load would return; nil: the next save begins a generation
	log              File           // log of the current generation; nil: no generation is open
	logBytes         int            // size of the records in the log
	snapshotBytes    int            // size of the snapshot of the current generation

	// ShrinkSteps counts the steps of state.Shrink that were needed for snapshots to fit.
	ShrinkSteps int
}

// NewStore returns a store for a folder that was loaded. Its first save begins a generation with a number greater than
// those of all files that were found. Snapshots are shrunk to maxSnapshotBytes, see state.Shrink.
func NewStore(fsys FS, loaded *LoadResult, maxSnapshotBytes int) *Store {
	return &Store{fsys: fsys, maxSnapshotBytes: maxSnapshotBytes, generation: loaded.newestGeneration}
}

// Save makes a state durable. It appends the change since the last save to the log, or begins a generation with a
// snapshot if none is open or the log is larger than its snapshot. After an error the next save begins a generation,
// and what was saved before remains readable.
func (s *Store) Save(current *statepb.State) error {
	var err error
	if s.saved == nil || s.logBytes > max(s.snapshotBytes, minCompactBytes) {
		err = s.beginGeneration(current)
	} else {
		err = s.appendChange(current)
	}
	if err != nil {
		s.closeGeneration()
	}
	return err
}

// SaveSnapshot makes a state durable as the snapshot of a new generation.
func (s *Store) SaveSnapshot(current *statepb.State) error {
	s.closeGeneration()
	return s.Save(current)
}

// Close closes the log. A later save begins a generation.
func (s *Store) Close() { s.closeGeneration() }

func (s *Store) closeGeneration() {
	if s.log != nil {
		// Each record was synced when it was saved, so an error of Close loses nothing.
		_ = s.log.Close()
	}
	s.log = nil
	s.saved = nil
}

// appendChange appends the change since the last save to the log and syncs it.
func (s *Store) appendChange(current *statepb.State) error {
	change := state.Diff(s.saved, current)
	if change == nil {
		return nil
	}
	body, err := proto.Marshal(change)
	if err != nil {
		return fmt.Errorf("encoding a change: %w", err)
	}
	record := encodeRecord(body, s.generation)
	if _, err := s.log.Write(record); err != nil {
		return fmt.Errorf("writing the log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("syncing the log: %w", err)
	}
	s.logBytes += len(record)
	state.Apply(s.saved, proto.CloneOf(change))
	return nil
}

// beginGeneration writes a snapshot, begins its log, and removes generations that are no longer needed. The order of
// the steps keeps a power cut at any of them harmless: the snapshot is synced before it gets its name, and the names
// are synced before any older generation is removed.
func (s *Store) beginGeneration(current *statepb.State) error {
	s.closeGeneration()
	snapshot := proto.CloneOf(current)
	snapshot.Major = state.FormatMajor
	snapshot.Minor = state.FormatMinor
	s.ShrinkSteps += state.Shrink(snapshot, s.maxSnapshotBytes)
	body, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encoding the state: %w", err)
	}
	s.generation++
	content := append(encodeHeader(snapshotFile), encodeRecord(body, s.generation)...)
	if err := s.writeFile(temporaryName, content); err != nil {
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	if err := s.fsys.Rename(temporaryName, fileName(snapshotFile, s.generation)); err != nil {
		return fmt.Errorf("renaming a snapshot: %w", err)
	}
	if err := s.beginLog(); err != nil {
		return fmt.Errorf("beginning a log: %w", err)
	}
	if err := s.fsys.SyncDir(); err != nil {
		return fmt.Errorf("syncing the state folder: %w", err)
	}
	s.saved = snapshot
	s.snapshotBytes = len(content)
	s.logBytes = 0
	return s.removeOldGenerations()
}

// beginLog creates the empty log of the current generation and syncs it.
func (s *Store) beginLog() error {
	log, err := s.fsys.Create(fileName(logFile, s.generation))
	if err != nil {
		return err
	}
	s.log = log
	if _, err := log.Write(encodeHeader(logFile)); err != nil {
		return err
	}
	return log.Sync()
}

// writeFile writes and syncs a file.
func (s *Store) writeFile(name string, content []byte) error {
	file, err := s.fsys.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// removeOldGenerations removes the generations before the retained ones. It keeps files in a newer format, so that a
// newer program can read them when a downgrade is reverted.
func (s *Store) removeOldGenerations() error {
	names, err := s.fsys.Names()
	if err != nil {
		return fmt.Errorf("listing the state folder: %w", err)
	}
	for _, name := range names {
		kind, generation, ok := parseFileName(name)
		if !ok || generation+retainedGenerations > s.generation || s.isNewer(name, kind) {
			continue
		}
		if err := s.fsys.Remove(name); err != nil {
			return fmt.Errorf("removing an old generation: %w", err)
		}
	}
	return nil
}

// isNewer reports whether a file has a newer major format version. It is false for a file that cannot be read.
func (s *Store) isNewer(name string, kind fileKind) bool {
	content, err := s.fsys.ReadFile(name)
	if err != nil {
		return false
	}
	_, err = decodeHeader(content, kind)
	return errors.Is(err, ErrNewer)
}

// Package statefile keeps a steward's state in a folder: a snapshot and a log of changes since, in generations, each part
// with a checksum, written so that a reader finds either what was last synced, or more, but never a mixture.
//
// A file begins with the eight bytes "BSTATE\x00" and 'S' for a snapshot or 'L' for a log, and the major and minor of its
// format (uint32 each). Then come records: the length of the body (uint32), its CRC-32C together with the file's generation
// (uint32), and the body, a statepb.State in a snapshot (one record) and a statepb.Change in a log. All figures are little
// endian. The files of generation 17 are snapshot-00000017 and log-00000017.
package statefile

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

// Store writes a folder's state.
type Store struct {
	fs             FS
	most           int // bytes of a snapshot
	gen            uint64
	state          *statepb.State // as it stands in the folder; nil: to be written anew
	log            File
	logBytes       int
	snapshot       int
	DroppedEntries int // entries that did not fit
}

// NewStore writes on from what was found: the first state goes into a snapshot of a new generation.
func NewStore(fs FS, found *LoadResult, mostBytes int) *Store {
	return &Store{fs: fs, most: mostBytes, gen: found.newest}
}

// Save makes a state last: what is other than before goes into the log, or all into a snapshot when the log has grown
// longer than one. After an error the next call begins a new generation; what lasted before lasts.
func (s *Store) Save(now *statepb.State) (err error) {
	defer func() {
		if err != nil {
			s.abandon()
		}
	}()
	if s.state == nil || s.logBytes > max(s.snapshot, leastLog) {
		return s.whole(now)
	}
	c := state.Diff(s.state, now)
	if c == nil {
		return nil
	}
	body, err := proto.Marshal(c)
	if err != nil {
		return fmt.Errorf("encoding a change: %w", err)
	}
	text := append(mark(body, s.gen), body...)
	if _, err := s.log.Write(text); err != nil {
		return fmt.Errorf("writing the log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("syncing the log: %w", err)
	}
	s.logBytes += len(text)
	state.Apply(s.state, proto.CloneOf(c))
	return nil
}

// SaveSnapshot writes a state into a generation of its own, whatever stood there.
func (s *Store) SaveSnapshot(now *statepb.State) error {
	s.abandon()
	return s.Save(now)
}

// whole begins a generation: a snapshot under another name, synced, renamed, the folder synced; then its log; then what is
// older than the generation before goes.
func (s *Store) whole(now *statepb.State) error {
	s.abandon()
	now = proto.CloneOf(now)
	now.Major, now.Minor = state.FormatMajor, state.FormatMinor
	s.DroppedEntries += state.Shrink(now, s.most)
	body, err := proto.Marshal(now)
	if err != nil {
		return fmt.Errorf("encoding the state: %w", err)
	}
	s.gen++
	text := append(append(first('S'), mark(body, s.gen)...), body...)
	if err := s.write("next", text); err != nil {
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	if err := s.fs.Rename("next", file('S', s.gen)); err != nil {
		return fmt.Errorf("naming a snapshot: %w", err)
	}
	if s.log, err = s.fs.Create(file('L', s.gen)); err != nil {
		return fmt.Errorf("beginning a log: %w", err)
	}
	if _, err := s.log.Write(first('L')); err != nil {
		return fmt.Errorf("beginning a log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("beginning a log: %w", err)
	}
	if err := s.fs.Sync(); err != nil {
		return fmt.Errorf("syncing the state folder: %w", err)
	}
	s.state, s.snapshot, s.logBytes = now, len(text), 0
	return s.clean()
}

func (s *Store) write(name string, text []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// clean removes generations that are no longer needed. Files of a newer program stay.
func (s *Store) clean() error {
	names, err := s.fs.Names()
	if err != nil {
		return fmt.Errorf("looking into the state folder: %w", err)
	}
	for _, n := range names {
		kind, gen, ok := parse(n)
		if !ok || gen+stay > s.gen {
			continue
		}
		if text, err := s.fs.Read(n); err == nil {
			if _, err := head(text, kind); errors.Is(err, ErrNewer) {
				continue
			}
		}
		if err := s.fs.Remove(n); err != nil {
			return fmt.Errorf("removing an old generation: %w", err)
		}
	}
	return nil
}

func (s *Store) abandon() {
	if s.log != nil {
		s.log.Close()
	}
	s.log, s.state = nil, nil
}

// Close ends the writing.
func (s *Store) Close() { s.abandon() }

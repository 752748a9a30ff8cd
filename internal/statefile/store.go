package statefile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

const (
	magic     = "BSTATE\x00"
	headBytes = 16 // of a file
	markBytes = 8  // of a record
	stay      = 2  // generations
	leastLog  = 64 << 10
	mostBytes = 256 << 20 // a record that claims more is damage
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// LoadResult is what a folder held.
type LoadResult struct {
	State      *statepb.State // nil: nothing that may be gone by
	Generation uint64         // it is from; 0: none
	Changes    int            // of the log that were applied
	Warnings   []string       // what was damaged, refused or left out
	newest     uint64         // generation of any file
}

// Load reads the newest state that is whole: a snapshot and as many of the changes after it as are whole. What is damaged
// is told, and the generation before serves then.
func Load(fs FS) (*LoadResult, error) {
	names, err := fs.Names()
	if err != nil {
		return nil, fmt.Errorf("looking into the state folder: %w", err)
	}
	f, gens := &LoadResult{}, []uint64(nil)
	for _, n := range names {
		if kind, gen, ok := parse(n); ok {
			if f.newest = max(f.newest, gen); kind == 'S' {
				gens = append(gens, gen)
			}
		}
	}
	slices.Sort(gens)
	slices.Reverse(gens)
	for _, gen := range gens {
		s, err := readSnapshot(fs, gen)
		if err != nil {
			f.Warnings = append(f.Warnings, fmt.Sprintf("%s: %v", file('S', gen), err))
			continue
		}
		f.State, f.Generation = s, gen
		f.replay(fs, gen)
		return f, nil
	}
	return f, nil
}

// replay applies a generation's log as far as it is whole.
func (f *LoadResult) replay(fs FS, gen uint64) {
	text, err := fs.Read(file('L', gen))
	if err != nil {
		return // not begun
	}
	rest, err := head(text, 'L')
	for err == nil && len(rest) > 0 {
		var body []byte
		if body, rest, err = record(rest, gen); err != nil {
			break
		}
		c := &statepb.Change{}
		if err = proto.Unmarshal(body, c); err == nil {
			state.Apply(f.State, c)
			f.Changes++
		}
	}
	if err != nil {
		f.Warnings = append(f.Warnings, fmt.Sprintf("%s after %d changes: %v", file('L', gen), f.Changes, err))
	}
}

func file(kind byte, gen uint64) string {
	if kind == 'S' {
		return fmt.Sprintf("snapshot-%08d", gen)
	}
	return fmt.Sprintf("log-%08d", gen)
}

func parse(name string) (kind byte, gen uint64, ok bool) {
	word, number, _ := strings.Cut(name, "-")
	gen, err := strconv.ParseUint(number, 10, 64)
	switch {
	case err != nil:
	case word == "snapshot":
		return 'S', gen, true
	case word == "log":
		return 'L', gen, true
	}
	return 0, 0, false
}

// ErrNewer says that a file is of a newer major format.
var ErrNewer = errors.New("it is of a newer program")

// head checks the first bytes of a file.
func head(text []byte, kind byte) (rest []byte, err error) {
	if len(text) < headBytes {
		return nil, errors.New("it ends in its first bytes")
	}
	if string(text[:7]) != magic || text[7] != kind {
		return nil, errors.New("it is no such file")
	}
	if major := binary.LittleEndian.Uint32(text[8:]); major > state.FormatMajor {
		return nil, fmt.Errorf("format %d, %d is the newest known here: %w", major, state.FormatMajor, ErrNewer)
	}
	return text[headBytes:], nil
}

// sum is a body's checksum in a generation: a record of another file's is none here.
func sum(body []byte, gen uint64) uint32 {
	return crc32.Update(crc32.Checksum(binary.LittleEndian.AppendUint64(nil, gen), castagnoli), castagnoli, body)
}

func record(text []byte, gen uint64) (body, rest []byte, err error) {
	if len(text) < markBytes {
		return nil, nil, errors.New("it ends inside a record")
	}
	n, want := binary.LittleEndian.Uint32(text), binary.LittleEndian.Uint32(text[4:])
	if n > mostBytes || int(n) > len(text)-markBytes {
		return nil, nil, errors.New("it ends inside a record")
	}
	if body = text[markBytes : markBytes+int(n)]; sum(body, gen) != want {
		return nil, nil, errors.New("a checksum does not fit")
	}
	return body, text[markBytes+int(n):], nil
}

func readSnapshot(fs FS, gen uint64) (*statepb.State, error) {
	text, err := fs.Read(file('S', gen))
	if err != nil {
		return nil, err
	}
	rest, err := head(text, 'S')
	if err != nil {
		return nil, err
	}
	body, rest, err := record(rest, gen)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, errors.New("something follows the record")
	}
	s := &statepb.State{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("reading it: %w", err)
	}
	if s.Major > state.FormatMajor {
		return nil, fmt.Errorf("format %d, %d is the newest known here: %w", s.Major, state.FormatMajor, ErrNewer)
	}
	return s, nil
}

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

func mark(body []byte, gen uint64) []byte {
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), sum(body, gen))
}

func first(kind byte) []byte {
	b := append([]byte(magic), kind)
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, state.FormatMajor), state.FormatMinor)
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

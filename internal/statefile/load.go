package statefile

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

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

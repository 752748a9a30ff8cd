package statefile

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

// LoadResult is what was read from a folder.
type LoadResult struct {
	State      *statepb.State // nil: the folder has no readable state
	Generation uint64         // generation of the state; 0: none
	Changes    int            // number of changes of the log that were applied to the snapshot
	Warnings   []string       // one line for each file, or rest of a log, that was ignored, with the reason

	newestGeneration uint64 // greatest generation of any file, readable or not
}

// DamageError is the reason why a file is ignored, or why the log is ignored after a number of changes.
type DamageError struct {
	FileName string
	Changes  int // number of undamaged changes of the log before the damage
	Err      error
}

func (e *DamageError) Error() string {
	if kind, _, _ := parseFileName(e.FileName); kind == logFile {
		return fmt.Sprintf("%s after %d changes: %v", e.FileName, e.Changes, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.FileName, e.Err)
}

// Unwrap returns the cause of the damage.
func (e *DamageError) Unwrap() error { return e.Err }

// Load reads the newest readable snapshot, and applies the changes of its log up to the first damaged one. Damage is
// not an error: it is listed in the warnings, and the state before it is returned. Load fails only if the folder cannot
// be listed.
func Load(fsys FS) (*LoadResult, error) {
	names, err := fsys.Names()
	if err != nil {
		return nil, fmt.Errorf("listing the state folder: %w", err)
	}
	result := &LoadResult{}
	var snapshots []uint64
	for _, name := range names {
		kind, generation, ok := parseFileName(name)
		if !ok {
			continue
		}
		result.newestGeneration = max(result.newestGeneration, generation)
		if kind == snapshotFile {
			snapshots = append(snapshots, generation)
		}
	}
	slices.Sort(snapshots)
	for _, generation := range slices.Backward(snapshots) {
		snapshot, err := readSnapshot(fsys, generation)
		if err != nil {
			result.warn(&DamageError{FileName: fileName(snapshotFile, generation), Err: err})
			continue
		}
		result.State = snapshot
		result.Generation = generation
		result.replayLog(fsys)
		break
	}
	return result, nil
}

func (r *LoadResult) warn(damage *DamageError) { r.Warnings = append(r.Warnings, damage.Error()) }

// replayLog applies the log of the snapshot's generation up to the first damaged record.
func (r *LoadResult) replayLog(fsys FS) {
	name := fileName(logFile, r.Generation)
	content, err := fsys.ReadFile(name)
	if err != nil {
		return // a power cut at the start of a generation may leave it without a log
	}
	if err := r.applyChanges(content); err != nil {
		r.warn(&DamageError{FileName: name, Changes: r.Changes, Err: err})
	}
}

// applyChanges applies the changes of a log to the state, up to the first damaged one, whose error it returns.
func (r *LoadResult) applyChanges(log []byte) error {
	records, err := decodeHeader(log, logFile)
	if err != nil {
		return err
	}
	for len(records) > 0 {
		body, rest, err := decodeRecord(records, r.Generation)
		if err != nil {
			return err
		}
		change := &statepb.Change{}
		if err := proto.Unmarshal(body, change); err != nil {
			return err
		}
		state.Apply(r.State, change)
		r.Changes++
		records = rest
	}
	return nil
}

// readSnapshot reads the snapshot of a generation. It returns an error if the file is damaged or in a newer format.
func readSnapshot(fsys FS, generation uint64) (*statepb.State, error) {
	content, err := fsys.ReadFile(fileName(snapshotFile, generation))
	if err != nil {
		return nil, err
	}
	records, err := decodeHeader(content, snapshotFile)
	if err != nil {
		return nil, err
	}
	body, rest, err := decodeRecord(records, generation)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, ErrTrailingData
	}
	snapshot := &statepb.State{}
	if err := proto.Unmarshal(body, snapshot); err != nil {
		return nil, fmt.Errorf("decoding the state: %w", err)
	}
	if err := checkMajorVersion(int64(snapshot.Major)); err != nil {
		return nil, err
	}
	return snapshot, nil
}

package statefile

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state"
	"barleysail/state/statepb"
)

// A folder with any content of its files can be loaded, and the next state can be saved to it and loaded again.
func FuzzLoad(f *testing.F) {
	fsys := newCrashFS()
	runScript(fsys, scriptSaves)
	names, err := fsys.Names()
	if err != nil {
		f.Fatal(err)
	}
	snapshot := mustReadFile(f, fsys, names[len(names)-1])
	log := mustReadFile(f, fsys, names[0])
	f.Add(snapshot, log)
	f.Add(log, snapshot)
	f.Add([]byte(magic), []byte{})
	f.Fuzz(func(t *testing.T, snapshot, log []byte) {
		fsys := newCrashFS()
		fsys.put(fileName(snapshotFile, 3), snapshot)
		fsys.put(fileName(logFile, 3), log)
		loaded := mustLoad(t, fsys)
		mustSave(t, NewStore(fsys, loaded, maxTestSnapshotBytes), testState(3))
		if reloaded := mustLoad(t, fsys); reloaded.State.GetAt() != 3000 {
			t.Fatalf("loaded %+v, want the state of 3000 ms, which was saved last", reloaded)
		}
	})
}

func mustReadFile(t testing.TB, fsys FS, name string) []byte {
	t.Helper()
	content, err := fsys.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func TestParseFileName(t *testing.T) {
	tests := []struct {
		name       string
		kind       fileKind
		generation uint64
		ok         bool
	}{
		{"snapshot-00000017", snapshotFile, 17, true},
		{"log-123456789", logFile, 123456789, true},
		{"log-", 0, 0, false},
		{"snapshot-x", 0, 0, false},
		{"other-00000017", 0, 0, false},
		{lockFileName, 0, 0, false},
		{temporaryName, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			kind, generation, ok := parseFileName(test.name)
			if kind != test.kind || generation != test.generation || ok != test.ok {
				t.Errorf("parsed as %q, %d, %v, want %q, %d, %v", kind, generation, ok, test.kind, test.generation, test.ok)
			}
			if ok && fileName(kind, generation) != test.name {
				t.Errorf("the name of the parsed file is %s, want %s", fileName(kind, generation), test.name)
			}
		})
	}
}

// Each kind of damage is reported by its own error.
func TestDecodeErrors(t *testing.T) {
	header := encodeHeader(logFile)
	record := encodeRecord([]byte("body"), 1)
	newer := encodeHeader(logFile)
	newer[len(magic)+1]++
	decode := func(content []byte, generation uint64) error {
		records, err := decodeHeader(content, logFile)
		if err != nil {
			return err
		}
		_, _, err = decodeRecord(records, generation)
		return err
	}
	tests := []struct {
		name       string
		content    []byte
		generation uint64
		want       error
	}{
		{"undamaged", slices.Concat(header, record), 1, nil},
		{"truncated header", header[:headerBytes-1], 1, ErrTruncatedHeader},
		{"another kind", encodeHeader(snapshotFile), 1, ErrWrongMagic},
		{"newer major version", newer, 1, ErrNewer},
		{"truncated record header", slices.Concat(header, record[:recordHeaderBytes-1]), 1, ErrTruncatedRecord},
		{"truncated body", slices.Concat(header, record[:len(record)-1]), 1, ErrTruncatedRecord},
		{"record of another generation", slices.Concat(header, record), 2, ErrChecksum},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := decode(test.content, test.generation); !errors.Is(err, test.want) {
				t.Errorf("the error is %v, want %v", err, test.want)
			}
		})
	}
}

// The damaged part of a file is ignored, with a warning that names the file and the reason.
func TestLoadWarnings(t *testing.T) {
	undecodable := []byte{0xff}
	newerState := encodeState(t, &statepb.State{Major: state.FormatMajor + 1})
	snapshot := func(body []byte) []byte { return append(encodeHeader(snapshotFile), encodeRecord(body, 1)...) }
	readable := snapshot(encodeState(t, testState(1)))
	tests := []struct {
		name          string
		snapshot, log []byte
		want          string // part of the only warning; empty: no warning
		loaded        bool   // whether a state is loaded
	}{
		{"undamaged", readable, encodeHeader(logFile), "", true},
		{"trailing data", append(readable, 0), nil, "snapshot-00000001: " + ErrTrailingData.Error(), false},
		{"empty snapshot", nil, nil, "snapshot-00000001: " + ErrTruncatedHeader.Error(), false},
		{"no record", encodeHeader(snapshotFile), nil, "snapshot-00000001: " + ErrTruncatedRecord.Error(), false},
		{"undecodable state", snapshot(undecodable), nil, "snapshot-00000001: decoding the state: ", false},
		{"newer state", snapshot(newerState), nil, ErrNewer.Error(), false},
		{"empty log", readable, []byte{}, "log-00000001 after 0 changes: " + ErrTruncatedHeader.Error(), true},
		{"undecodable change", readable, append(encodeHeader(logFile), encodeRecord(undecodable, 1)...),
			"log-00000001 after 0 changes: ", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fsys := newCrashFS()
			fsys.put(fileName(snapshotFile, 1), test.snapshot)
			if test.log != nil {
				fsys.put(fileName(logFile, 1), test.log)
			}
			loaded := mustLoad(t, fsys)
			if (loaded.State != nil) != test.loaded {
				t.Errorf("the loaded state is %v, want one: %v", loaded.State, test.loaded)
			}
			warnings := strings.Join(loaded.Warnings, "; ")
			if (warnings == "") != (test.want == "") || !strings.Contains(warnings, test.want) || len(loaded.Warnings) > 1 {
				t.Errorf("the warnings are %q, want %q", loaded.Warnings, test.want)
			}
		})
	}
}

func encodeState(t *testing.T, s *statepb.State) []byte {
	t.Helper()
	body, err := proto.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestDamageErrorWrapsReason(t *testing.T) {
	err := error(&DamageError{FileName: fileName(logFile, 1), Changes: 2, Err: ErrChecksum})
	if !errors.Is(err, ErrChecksum) || !strings.Contains(err.Error(), "after 2 changes") {
		t.Errorf("the error is %v, want one that wraps %v and names 2 changes", err, ErrChecksum)
	}
}

var errListing = errors.New("listing failed")

// unlistableFS fails to list its files.
type unlistableFS struct{ *crashFS }

func (unlistableFS) Names() ([]string, error) { return nil, errListing }

func TestListingFails(t *testing.T) {
	fsys := unlistableFS{newCrashFS()}
	if _, err := Load(fsys); !errors.Is(err, errListing) {
		t.Errorf("the error of Load is %v, want %v", err, errListing)
	}
	if err := NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes).Save(testState(1)); !errors.Is(err, errListing) {
		t.Errorf("the error of Save is %v, want %v", err, errListing)
	}
}

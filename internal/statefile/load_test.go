package statefile

import (
	"errors"
	"slices"
	"testing"
)

// Whatever the files hold: loading ends, and the next state can be saved.
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
			t.Fatalf("loaded %+v", reloaded)
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
				t.Errorf("parsed as %q, %d, %v", kind, generation, ok)
			}
			if ok && fileName(kind, generation) != test.name {
				t.Errorf("the name of the parsed file is %s", fileName(kind, generation))
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
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

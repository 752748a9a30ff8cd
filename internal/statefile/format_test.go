package statefile

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"barleysail/internal/golden"
	"barleysail/state"
)

// format10Saves is how many saves of the script wrote the files in testdata/format-1.0.
const format10Saves = 7

// The files in testdata/format-1.0 were written when the format was new and are never written again.
func TestReadFormat10(t *testing.T) {
	loaded := loadTestdata(t, "format-1.0")
	golden.Compare(t, "format-1.0", loadedText(t, loaded))
}

// The script still writes the same files, byte for byte.
func TestWriteFormat10(t *testing.T) {
	want := openTestdata(t, "format-1.0")
	names, err := want.Names()
	if err != nil {
		t.Fatal(err)
	}
	fsys := newCrashFS()
	runScript(fsys, format10Saves)
	if written := slices.Sorted(maps.Keys(fsys.current)); !slices.Equal(written, names) {
		t.Fatalf("files %v, want %v", written, names)
	}
	for _, name := range names {
		if !bytes.Equal(mustReadFile(t, fsys, name), mustReadFile(t, want, name)) {
			t.Errorf("%s differs", name)
		}
	}
}

func openTestdata(t *testing.T, name string) *Folder {
	t.Helper()
	folder, err := OpenReadOnly(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFolder(t, folder) })
	return folder
}

func loadTestdata(t *testing.T, name string) *LoadResult {
	t.Helper()
	loaded := mustLoad(t, openTestdata(t, name))
	if loaded.State == nil {
		t.Fatalf("no state: %+v", loaded)
	}
	return loaded
}

// loadedText is the state as protobuf text, whose encoder varies the spaces after a colon on purpose.
func loadedText(t *testing.T, loaded *LoadResult) string {
	t.Helper()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(loaded.State)
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ":  ", ": ") + fmt.Sprint(loaded.Changes, " changes\n")
}

// Fields that a newer minor version added, to the state and to a host, are kept when the state is loaded and saved
// again.
func TestKeepUnknownFields(t *testing.T) {
	const unknownField = 999
	unknown := protowire.AppendTag(nil, unknownField, protowire.BytesType)
	unknown = protowire.AppendString(unknown, "from later")
	s := testState(1)
	s.Minor = 7
	s.ProtoReflect().SetUnknown(unknown)
	s.Hosts[0].ProtoReflect().SetUnknown(unknown)
	for range 2 {
		fsys := newCrashFS()
		mustSave(t, NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes), s)
		s = mustLoad(t, fsys).State
	}
	for _, message := range []protoreflect.ProtoMessage{s, s.Hosts[0]} {
		if got := message.ProtoReflect().GetUnknown(); string(got) != string(unknown) {
			t.Errorf("unknown fields %q, want %q, in %v", got, unknown, message)
		}
	}
}

// A file of a newer major version is refused with a warning and stays, while older generations are read and removed.
func TestNewerMajorVersion(t *testing.T) {
	const ours, newer = 1, 5 // generations
	fsys := newCrashFS()
	mustSave(t, NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes), testState(1))
	content := mustReadFile(t, fsys, fileName(snapshotFile, ours))
	content[len(magic)+1] = state.FormatMajor + 1
	fsys.put(fileName(snapshotFile, newer), content)

	loaded := mustLoad(t, fsys)
	if loaded.State == nil || loaded.Generation != ours || len(loaded.Warnings) != 1 {
		t.Errorf("loaded %+v", loaded)
	}
	store := NewStore(fsys, loaded, maxTestSnapshotBytes)
	for n := range 4 {
		store.outgrowLog()
		mustSave(t, store, testState(n))
	}
	names, err := fsys.Names()
	if err != nil {
		t.Fatal(err)
	}
	if fsys.current[fileName(snapshotFile, newer)] == nil {
		t.Errorf("the newer snapshot was removed, left are %v", names)
	}
	if fsys.current[fileName(snapshotFile, ours)] != nil {
		t.Errorf("the old snapshot was not removed, left are %v", names)
	}
	if loaded := mustLoad(t, fsys); loaded.Generation <= newer {
		t.Errorf("loaded %+v", loaded)
	}
}

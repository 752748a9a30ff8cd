package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"

	"barleysail/internal/golden"
	"barleysail/state"
)

// A file of an older format is read; what a newer minor format adds is kept through a round; one of a newer major format is
// refused, told and left where it is.
func TestFormats(t *testing.T) {
	// Written by this program's format 1.0, by KEEP=1 when it was new.
	name := filepath.Join("testdata", "format-1.0")
	if _, err := os.Stat(name); err != nil && os.Getenv("KEEP") != "" {
		m := newMemory()
		script(m, 1<<20)
		os.MkdirAll(name, 0o755)
		for n := range m.now {
			text, _ := m.Read(n)
			if err := os.WriteFile(filepath.Join(name, n), text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	folder, err := OpenReadOnly(name)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	f, err := Load(folder)
	if err != nil || f.State == nil {
		t.Fatalf("%+v, %v", f, err)
	}
	text, _ := prototext.MarshalOptions{Multiline: true}.Marshal(f.State)
	golden.Compare(t, "format-1.0", strings.ReplaceAll(string(text), ":  ", ": ")+fmt.Sprint(f.Changes, " changes\n"))

	// A field that is not known, at the top and in a host.
	odd := protowire.AppendString(protowire.AppendTag(nil, 999, protowire.BytesType), "from later")
	s := told(1)
	s.ProtoReflect().SetUnknown(odd)
	s.Hosts[0].ProtoReflect().SetUnknown(odd)
	s.Minor = 7
	m := newMemory()
	store := NewStore(m, &LoadResult{}, 1<<20)
	if err := store.Save(s); err != nil {
		t.Fatal(err)
	}
	f, _ = Load(m)
	again := newMemory()
	if err := NewStore(again, &LoadResult{}, 1<<20).Save(f.State); err != nil {
		t.Fatal(err)
	}
	f, _ = Load(again)
	if string(f.State.ProtoReflect().GetUnknown()) != string(odd) || string(f.State.Hosts[0].ProtoReflect().GetUnknown()) != string(odd) {
		t.Errorf("what was not known is gone: %v", f.State)
	}

	// A newer major format in a generation of its own, with one of ours before it.
	text, _ = m.Read(file('S', 1))
	text[8] = state.FormatMajor + 1
	m.now[file('S', 5)] = &inode{synced: text}
	f, _ = Load(m)
	if f.State == nil || f.Generation != 1 || len(f.Warnings) != 1 {
		t.Errorf("%+v", f)
	}
	store = NewStore(m, f, 1<<20)
	for n := range 4 {
		store.logBytes = 1 << 30
		if err := store.Save(told(n)); err != nil {
			t.Fatal(err)
		}
	}
	if m.now[file('S', 5)] == nil || m.now[file('S', 1)] != nil {
		names, _ := m.Names()
		t.Errorf("left are %v", names)
	}
	if f, _ = Load(m); f.Generation < 6 {
		t.Errorf("%+v", f)
	}
}

package statefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/golden"
	"barleysail/state"
	"barleysail/state/statepb"
)

// told is the n-th state of a small steward whose hosts fail and return, proxies come and go and an operator sets things.
func told(n int) *statepb.State {
	s := &statepb.State{Program: "test", Life: "L", At: float64(1000 * n), Fleet: &statepb.Fleet{Level: 1 - 0.1*float64(n%4), At: float64(1000 * n)}}
	for i := range 3 + n%2 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprint("h", i), Zone: "a", Weight: 1 + 0.2*float64((n+i)%3), R: 50, Out: n%3 == i, At: float64(1000 * n)})
	}
	for i := range n % 3 {
		s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprint("p", i), Zone: "a", Tag: fmt.Sprint("L-", n), Table: fmt.Sprint("t", n%2), At: float64(1000 * n)})
	}
	if n%3 > 0 {
		s.Tables = append(s.Tables, &statepb.Table{Id: fmt.Sprint("t", n%2), Classes: []*statepb.Class{{Name: "sheet", Ordered: true, Hosts: []string{"h0", "h1"}, Weights: []float64{1, 2}, Share: 1, Tries: 1}}})
	}
	if n%4 == 1 {
		s.Settings = append(s.Settings, &statepb.Setting{Host: "h1", State: 1, By: "op", At: 1})
	}
	return s
}

const saves = 13

// script saves states one after the other, a snapshot again in between, and gives what stood in the folder after each, and
// how many were saved for sure.
func script(m *memory, most int) (stood []*statepb.State, sure int) {
	found, err := Load(m)
	if err != nil {
		return nil, 0
	}
	s := NewStore(m, found, most)
	for n := 1; n <= saves; n++ {
		if n%4 == 0 {
			s.logBytes = 1 << 30 // the log is long: a snapshot is next
		}
		if err := s.Save(told(n)); err != nil {
			if errors.Is(err, errCut) {
				return stood, sure
			}
			continue
		}
		stood, sure = append(stood, proto.CloneOf(s.state)), n
	}
	return stood, sure
}

// plain gives what stands after each save when nothing goes wrong.
func plain(t *testing.T) []*statepb.State {
	all, sure := script(newMemory(), 1<<20)
	if sure != saves {
		t.Fatalf("%d of %d saved", sure, saves)
	}
	return all
}

// sound tells what is wrong with what was found after a cut: it has to be a state that was saved, the last one that was sure
// or a later one; and the folder has to take a state again.
func sound(m *memory, all []*statepb.State, sure int) error {
	f, err := Load(m)
	if err != nil {
		return err
	}
	is := 0
	for n, s := range all {
		if f.State != nil && proto.Equal(s, f.State) {
			is = n + 1
		}
	}
	switch {
	case f.State != nil && is == 0:
		return fmt.Errorf("a state that never was: %v", f.State)
	case is < sure:
		return fmt.Errorf("state %d of %d that were sure, notes %v", is, sure, f.Warnings)
	}
	s := NewStore(m, f, 1<<20)
	if err := s.Save(told(9)); err != nil {
		return fmt.Errorf("saving again: %w", err)
	}
	again, err := Load(m)
	if err != nil || again.State == nil || again.State.At != 9000 {
		return fmt.Errorf("saved again, and found %v, %v", again.State, err)
	}
	return nil
}

// cuts cuts the power at every step, and looks at every folder that may be left. It gives the number of both.
func cuts(all []*statepb.State, mutate func(*memory)) (steps, folders int, err error) {
	for cut := 0; ; cut++ {
		m := newMemory()
		mutate(m)
		m.cut = cut
		_, sure := script(m, 1<<20)
		if m.steps <= cut {
			return cut, folders, nil
		}
		if err := m.after(func(left *memory) error { folders++; return sound(left, all, sure) }); err != nil {
			return cut, folders, fmt.Errorf("cut at step %d: %w", cut, err)
		}
	}
}

// The power is cut at every step of a run of saves, and each write that was not synced is whole, torn, wrong or lost, each
// name that was not synced old or new, in every combination: what is found is always a state that was saved, and none that
// was sure is lost. A protocol without its syncs is caught.
func TestPowerCuts(t *testing.T) {
	all := plain(t)
	steps, folders, err := cuts(all, func(*memory) {})
	if err != nil {
		t.Fatal(err)
	}
	if steps < 50 || folders < 300 {
		t.Errorf("only %d steps and %d folders were looked at", steps, folders)
	}
	t.Logf("%d steps, %d folders", steps, folders)
	for name, mutant := range map[string]func(*memory){"without syncing files": func(m *memory) { m.noSync = true },
		"without syncing the folder": func(m *memory) { m.noFolder = true }} {
		if _, _, err := cuts(all, mutant); err == nil {
			t.Errorf("a protocol %s was not caught", name)
		}
	}
}

// A disk that is full for some saves, at any of them, costs these and nothing else.
func TestDiskFull(t *testing.T) {
	for from := 1; from <= saves; from++ {
		for to := from; to <= saves; to++ {
			m := newMemory()
			found, _ := Load(m)
			s := NewStore(m, found, 1<<20)
			last := 0.0
			for n := 1; n <= saves; n++ {
				if n%4 == 0 {
					s.logBytes = 1 << 30
				}
				m.full = n >= from && n <= to
				err := s.Save(told(n))
				if m.full != (err != nil) {
					t.Fatalf("save %d, full %v: %v", n, m.full, err)
				}
				if err == nil {
					last = told(n).At
				}
				f, err := Load(m)
				if at := f.State.GetAt(); err != nil || at != last {
					t.Fatalf("full from %d to %d, after %d: found %v, not %v; %v %v", from, to, n, at, last, f.Warnings, err)
				}
			}
		}
	}
}

// Each byte of each file wrong in turn: what is found is a state that was saved, or none.
func TestWrongBytes(t *testing.T) {
	all := plain(t)
	m := newMemory()
	script(m, 1<<20)
	for name, f := range m.now {
		for i := range f.bytes() {
			left := newMemory()
			for n, x := range m.now {
				left.now[n] = &inode{synced: x.bytes()}
			}
			left.now[name].synced[i] ^= 1 << (i % 8)
			if err := sound(left, all, 0); err != nil {
				t.Fatalf("byte %d of %s: %v", i, name, err)
			}
		}
	}
}

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

// Of two stewards one has the folder.
func TestFolderIsTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	one, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(path); !errors.Is(err, ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	s := NewStore(one, &LoadResult{}, 1<<20)
	for n := 1; n < 4; n++ {
		if err := s.Save(told(n)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	one.Close()
	two, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer two.Close()
	if f, err := Load(two); err != nil || f.State.GetAt() != 3000 || f.Changes != 2 {
		t.Errorf("%+v, %v", f, err)
	}
}

// A state that is too large loses what is least missed; what operators set stays.
func TestShrink(t *testing.T) {
	s := told(5)
	for i := range 2000 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("x%04d", i), Weight: 1, At: 1})
	}
	m := newMemory()
	store := NewStore(m, &LoadResult{}, 20000)
	if err := store.Save(s); err != nil {
		t.Fatal(err)
	}
	f, _ := Load(m)
	if proto.Size(f.State) > 20000 || len(f.State.Settings) != 1 || len(f.State.Tables) != 0 || len(f.State.Hosts) < 100 || store.DroppedEntries == 0 {
		t.Errorf("%d bytes, %d hosts, %d tables, %d settings", proto.Size(f.State), len(f.State.Hosts), len(f.State.Tables), len(f.State.Settings))
	}
}

// full is a state of the largest deployment: 506 hosts, and 607 proxies that hold the whole table or one of two before it.
func full(n int) *statepb.State {
	s := &statepb.State{Life: "abcdef012345", At: float64(n * 1000), Fleet: &statepb.Fleet{Level: 1, Classes: []string{"sheet", "finish"}, Shares: []float64{1, 1}, Median: 80}}
	for i := range 506 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("10.0.%d.%03d:9000", i/250, i%250), Zone: "addis", Weight: 1 + float64((i+n)%20)/100, Rate: 4, R: 80, Won: 20, Lost: float64((i + n) % 3), Trust: 1, At: float64(n * 1000)})
	}
	for k := range 3 {
		t := &statepb.Table{Id: fmt.Sprint("t", n/5+k)}
		for _, class := range []string{"sheet", "finish"} {
			c := &statepb.Class{Name: class, Ordered: true, Share: 1, Tries: 1}
			for _, h := range s.Hosts {
				c.Hosts, c.Weights = append(c.Hosts, h.Name), append(c.Weights, h.Weight)
			}
			t.Classes = append(t.Classes, c)
		}
		s.Tables = append(s.Tables, t)
	}
	for i := range 607 {
		s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprintf("forwarder-%03d", i), Zone: "addis", Tag: fmt.Sprintf("abcdef012345-%d", 100000+i+n/5*607), Table: s.Tables[i%3].Id, Rates: []float64{2, 1}, At: float64(n * 1000)})
	}
	return s
}

// BenchmarkSave writes a full-size state that changes each second to the disk, and BenchmarkLoad reads one.
func BenchmarkSave(b *testing.B) {
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	s := NewStore(folder, &LoadResult{}, 64<<20)
	bytes := 0
	states := []*statepb.State{}
	for n := range 20 {
		states = append(states, full(n))
	}
	b.ResetTimer()
	for n := range b.N {
		x := states[n%20]
		x.At = float64(n * 1000)
		if err := s.Save(x); err != nil {
			b.Fatal(err)
		}
		bytes = max(bytes, s.snapshot+s.logBytes)
	}
	b.ReportMetric(float64(bytes), "B-most")
}

func BenchmarkLoad(b *testing.B) {
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	s := NewStore(folder, &LoadResult{}, 64<<20)
	for n := range 10 {
		if err := s.Save(full(n)); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for range b.N {
		f, err := Load(folder)
		if err != nil || f.State == nil {
			b.Fatal(err)
		}
		state.ApplyDecay(f.State, 20000, state.DefaultLimits(18000))
	}
}

// Whatever the files hold, reading them ends, and what comes next is kept.
func FuzzLoad(f *testing.F) {
	m := newMemory()
	script(m, 1<<20)
	names, _ := m.Names()
	snapshot, _ := m.Read(names[len(names)-1])
	log, _ := m.Read(names[0])
	f.Add(snapshot, log)
	f.Add(log, snapshot)
	f.Add([]byte(magic), []byte{})
	f.Fuzz(func(t *testing.T, snapshot, log []byte) {
		m := newMemory()
		m.now[file('S', 3)], m.now[file('L', 3)] = &inode{synced: snapshot}, &inode{synced: log}
		found, err := Load(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := NewStore(m, found, 1<<20).Save(told(3)); err != nil {
			t.Fatal(err)
		}
		if again, err := Load(m); err != nil || again.State.GetAt() != 3000 {
			t.Fatalf("%+v, %v", again, err)
		}
	})
}

package statefile

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

// maxTestSnapshotBytes is above the size of all test states except those that have to be shrunk.
const maxTestSnapshotBytes = 1 << 20

// testState returns the n-th state of a small deployment whose hosts fail and recover, whose proxies connect and
// disconnect, and whose operator sets and removes an override.
func testState(n int) *statepb.State {
	atMs := float64(1000 * n)
	s := &statepb.State{
		Program: "test",
		Life:    "L",
		At:      atMs,
		Fleet:   &statepb.Fleet{Level: 1 - 0.1*float64(n%4), At: atMs},
	}
	for i := range 3 + n%2 {
		s.Hosts = append(s.Hosts, &statepb.Host{
			Name: fmt.Sprint("h", i), Zone: "a", Weight: 1 + 0.2*float64((n+i)%3), R: 50, Out: n%3 == i, At: atMs,
		})
	}
	tableID := fmt.Sprint("t", n%2)
	for i := range n % 3 {
		s.Proxies = append(s.Proxies, &statepb.Proxy{
			Name: fmt.Sprint("p", i), Zone: "a", Tag: fmt.Sprint("L-", n), Table: tableID, At: atMs,
		})
	}
	if n%3 > 0 {
		s.Tables = append(s.Tables, &statepb.Table{Id: tableID, Classes: []*statepb.Class{
			{Name: "sheet", Ordered: true, Hosts: []string{"h0", "h1"}, Weights: []float64{1, 2}, Share: 1, Tries: 1},
		}})
	}
	if n%4 == 1 {
		s.Settings = append(s.Settings, &statepb.Setting{Host: "h1", State: 1, By: "op", At: 1})
	}
	return s
}

// outgrowLog makes the next save begin a generation.
func (s *Store) outgrowLog() { s.logBytes = math.MaxInt }

func mustLoad(t testing.TB, fsys FS) *LoadResult {
	t.Helper()
	loaded, err := Load(fsys)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func mustSave(t testing.TB, store *Store, s *statepb.State) {
	t.Helper()
	if err := store.Save(s); err != nil {
		t.Fatal(err)
	}
}

// A state that is too large is shrunk before it is saved, and keeps its overrides.
func TestSaveShrinksLargeState(t *testing.T) {
	const maxBytes = 20000
	s := testState(5)
	for i := range 2000 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("x%04d", i), Weight: 1, At: 1})
	}
	fsys := newCrashFS()
	store := NewStore(fsys, &LoadResult{}, maxBytes)
	mustSave(t, store, s)
	loaded := mustLoad(t, fsys).State
	if size := proto.Size(loaded); size > maxBytes {
		t.Errorf("the loaded state has %d bytes, want at most %d", size, maxBytes)
	}
	if len(loaded.Settings) != 1 || len(loaded.Tables) != 0 || len(loaded.Hosts) < 100 {
		t.Errorf("the loaded state has %d hosts, %d tables and %d overrides, want at least 100, none and 1",
			len(loaded.Hosts), len(loaded.Tables), len(loaded.Settings))
	}
	if store.ShrinkSteps == 0 {
		t.Error("ShrinkSteps is 0, want at least 1")
	}
}

// SaveSnapshot begins a generation even if a change in the log would do, so that after two calls no earlier state is
// left in the folder.
func TestSaveSnapshotBeginsGeneration(t *testing.T) {
	fsys := newCrashFS()
	store := NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes)
	mustSave(t, store, testState(1))
	for range 2 {
		if err := store.SaveSnapshot(testState(2)); err != nil {
			t.Fatal(err)
		}
	}
	if loaded := mustLoad(t, fsys); loaded.Generation != 3 || loaded.Changes != 0 || loaded.State.At != testState(2).At {
		t.Errorf("loaded %+v, want generation 3 with the state of 2000 ms and no changes", loaded)
	}
	if fsys.current[fileName(snapshotFile, 1)] != nil || fsys.current[fileName(logFile, 1)] != nil {
		t.Error("files of the first generation are left, want them removed")
	}
}

package statefile

import (
	"errors"
	"path/filepath"
	"testing"
)

func openTestFolder(t testing.TB, path string) *Folder {
	t.Helper()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

func closeFolder(t testing.TB, folder *Folder) {
	t.Helper()
	if err := folder.Close(); err != nil {
		t.Error(err)
	}
}

// A folder is locked until it is closed, and then holds what was saved.
func TestFolderLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	first := openTestFolder(t, path)
	if _, err := OpenFolder(path); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a locked folder: %v", err)
	}
	store := NewStore(first, &LoadResult{}, maxTestSnapshotBytes)
	for n := 1; n < 4; n++ {
		mustSave(t, store, testState(n))
	}
	store.Close()
	closeFolder(t, first)

	second := openTestFolder(t, path)
	t.Cleanup(func() { closeFolder(t, second) })
	if loaded := mustLoad(t, second); loaded.State.GetAt() != 3000 || loaded.Changes != 2 {
		t.Errorf("loaded %+v", loaded)
	}
}

// Opening for reading neither creates a folder nor needs its lock.
func TestOpenReadOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if _, err := OpenReadOnly(path); err == nil {
		t.Error("a missing folder was opened")
	}
	writer := openTestFolder(t, path)
	t.Cleanup(func() { closeFolder(t, writer) })
	mustSave(t, NewStore(writer, &LoadResult{}, maxTestSnapshotBytes), testState(1))
	reader, err := OpenReadOnly(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFolder(t, reader) })
	if loaded := mustLoad(t, reader); loaded.State.GetAt() != 1000 {
		t.Errorf("loaded %+v", loaded)
	}
}

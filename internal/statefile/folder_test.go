package statefile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
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

// A folder is locked until it is closed. After that it can be opened again and holds what was saved.
func TestFolderLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	first := openTestFolder(t, path)
	if _, err := OpenFolder(path); !errors.Is(err, ErrLocked) {
		t.Errorf("the error of opening a locked folder is %v, want %v", err, ErrLocked)
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
		t.Errorf("loaded %+v, want the state of 3000 ms with 2 changes", loaded)
	}
}

// Opening for reading neither creates a folder nor needs its lock.
func TestOpenReadOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if _, err := OpenReadOnly(path); err == nil {
		t.Error("a missing folder was opened, want an error")
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
		t.Errorf("loaded %+v, want the state of 1000 ms", loaded)
	}
}

// A path that is a file, or a folder whose lock cannot be opened, fails without ErrLocked.
func TestOpenFolderFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(file); err == nil {
		t.Error("a file was opened as a folder, want an error")
	}
	path := t.TempDir()
	if err := os.Mkdir(filepath.Join(path, lockFileName), folderMode); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(path); err == nil || errors.Is(err, ErrLocked) {
		t.Errorf("the error of opening a folder whose lock is a directory is %v, want one other than %v", err, ErrLocked)
	}
}

// Old generations are removed from the disk, and a save into a folder that was removed fails.
func TestSaveToFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	folder := openTestFolder(t, path)
	t.Cleanup(func() { closeFolder(t, folder) })
	store := NewStore(folder, &LoadResult{}, maxTestSnapshotBytes)
	for n := range 3 {
		if err := store.SaveSnapshot(testState(n)); err != nil {
			t.Fatal(err)
		}
	}
	names, err := folder.Names()
	if err != nil {
		t.Fatal(err)
	}
	want := []string{lockFileName, "log-00000002", "log-00000003", "snapshot-00000002", "snapshot-00000003"}
	if !slices.Equal(names, want) {
		t.Errorf("the folder has the files %v, want %v", names, want)
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(testState(4)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the error of saving into a missing folder is %v, want %v", err, fs.ErrNotExist)
	}
}

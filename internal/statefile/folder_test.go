package statefile

import (
	"errors"
	"path/filepath"
	"testing"
)

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

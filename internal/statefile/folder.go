package statefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is a folder of the disk that one process has for itself.
type Folder struct {
	path string
	dir  *os.File
	lock *os.File
}

// ErrLocked says that another process has the folder.
var ErrLocked = errors.New("another steward keeps its state there")

// OpenFolder makes the folder where it is missing, and takes it for this process.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("making the state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("locking the state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("locking the state folder %s: %w", path, err)
	}
	dir, err := os.Open(path)
	if err != nil {
		lock.Close()
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	return &Folder{path, dir, lock}, nil
}

// OpenReadOnly opens a folder to be read only, be it another process's.
func OpenReadOnly(path string) (*Folder, error) {
	dir, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	return &Folder{path, dir, nil}, nil
}

// Close gives the folder up.
func (f *Folder) Close() error {
	err := f.dir.Close()
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
	}
	return err
}

func (f *Folder) name(name string) string { return filepath.Join(f.path, name) }

// Names of the files.
func (f *Folder) Names() (names []string, err error) {
	all, err := os.ReadDir(f.path)
	for _, e := range all {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read gives a file whole.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.name(name)) }

// Create makes a file empty.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.name(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename a file.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.name(from), f.name(to)) }

// Remove a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.name(name)) }

// Sync makes the names last.
func (f *Folder) Sync() error { return f.dir.Sync() }

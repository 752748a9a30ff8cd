package statefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	lockFileName = "lock"

	folderMode = 0o700 // only for the controller's user, since the state holds names of hosts and operators
	fileMode   = 0o600
)

// ErrLocked is the error of OpenFolder if another process has locked the folder.
var ErrLocked = errors.New("another controller uses the folder")

// Folder is a directory on disk. It implements FS.
type Folder struct {
	path string
	dir  *os.File
	lock *os.File // nil: opened for reading only
}

// OpenFolder opens a folder for reading and writing, creates it if it is missing, and locks it against other
// processes until Close. If another process holds the lock, the error wraps ErrLocked.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("creating the state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("locking the state folder: %w", err)
	}
	if err := lockExclusively(lock); err != nil {
		return nil, errors.Join(fmt.Errorf("locking the state folder %s: %w", path, err), lock.Close())
	}
	dir, err := os.Open(path)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("opening the state folder: %w", err), lock.Close())
	}
	return &Folder{path: path, dir: dir, lock: lock}, nil
}

// lockExclusively locks a file without waiting, or returns ErrLocked. The kernel releases the lock when the file is
// closed or the process ends.
func lockExclusively(file *os.File) error {
	err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return ErrLocked
	}
	return err
}

// OpenReadOnly opens a folder for reading only. It takes no lock, so the folder may be that of a running controller.
func OpenReadOnly(path string) (*Folder, error) {
	dir, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	return &Folder{path: path, dir: dir}, nil
}

// Close closes the folder and releases its lock.
func (f *Folder) Close() error {
	err := f.dir.Close()
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
	}
	return err
}

func (f *Folder) join(name string) string { return filepath.Join(f.path, name) }

// Names returns the names of all files, without directories.
func (f *Folder) Names() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// ReadFile returns the content of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// Create opens an empty file for writing, in place of any file of that name.
func (f *Folder) Create(name string) (File, error) {
	file, err := os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err // a nil *os.File in the result would be a File that is not nil
	}
	return file, nil
}

// Rename renames a file and replaces any file of the new name.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(f.join(oldName), f.join(newName))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.join(name)) }

// SyncDir makes the names of all files durable.
func (f *Folder) SyncDir() error { return f.dir.Sync() }

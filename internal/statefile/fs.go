package statefile

import (
	"io"
)

// FS is the folder as the store sees it. Names have no separators.
type FS interface {
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // empty, whatever was there
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // makes the names last
}

// File is one that is being written.
type File interface {
	io.WriteCloser
	Sync() error // makes what was written last
}

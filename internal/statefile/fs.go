package statefile

import "io"

// FS is the folder of a store. File names have no separators. A change is durable, so that it survives a power cut,
// only after the sync that the comment of its method names.
type FS interface {
	// Names returns the names of all files.
	Names() ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing, in place of any file of that name. SyncDir makes the name durable.
	Create(name string) (File, error)
	// Rename replaces any file of the new name. SyncDir makes the names durable.
	Rename(oldName, newName string) error
	// Remove deletes a file. SyncDir makes that durable.
	Remove(name string) error
	// SyncDir makes the names of all files durable, but not their contents.
	SyncDir() error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync makes everything written so far durable.
	Sync() error
}

package statefile

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
)

var (
	errPowerCut = errors.New("the power is cut")
	errDiskFull = errors.New("no space left")
)

const neverCrash = -1

// crashFS is a folder in memory that tracks which changes are durable: the content of a file after a sync of the file,
// and names after a sync of the folder. Its operations can be made to fail from a step on, or while the disk is full.
// It derives the folders that may be found after a power cut.
type crashFS struct {
	steps       int // operations so far
	crashAtStep int // every operation after this many fails; or neverCrash
	diskFull    bool

	skipFileSync   bool // a mutant: syncing files has no effect
	skipFolderSync bool // a mutant: syncing the folder has no effect

	current            map[string]*crashFile // by name, as a running process finds them
	durable            map[string]*crashFile // by the names that are durable
	pendingNameChanges []nameChange
}

// nameChange is a change of names that is not durable yet. A new name that is not empty is given to the file, and an
// old name that is not empty is removed.
type nameChange struct {
	oldName, newName string
	file             *crashFile
}

type crashFile struct {
	synced        []byte
	pendingWrites [][]byte // writes that are not durable yet
}

func newCrashFS() *crashFS {
	return &crashFS{crashAtStep: neverCrash, current: map[string]*crashFile{}, durable: map[string]*crashFile{}}
}

func (c *crashFS) step() error {
	c.steps++
	if c.crashAtStep != neverCrash && c.steps > c.crashAtStep {
		return errPowerCut
	}
	return nil
}

func (f *crashFile) content() []byte {
	content := slices.Clone(f.synced)
	for _, write := range f.pendingWrites {
		content = append(content, write...)
	}
	return content
}

func (c *crashFS) Names() ([]string, error) { return slices.Sorted(maps.Keys(c.current)), nil }

func (c *crashFS) ReadFile(name string) ([]byte, error) {
	file := c.current[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return file.content(), nil
}

func (c *crashFS) Create(name string) (File, error) {
	if err := c.step(); err != nil {
		return nil, err
	}
	file := &crashFile{}
	c.current[name] = file
	c.pendingNameChanges = append(c.pendingNameChanges, nameChange{newName: name, file: file})
	return &openCrashFile{fsys: c, file: file}, nil
}

func (c *crashFS) Rename(oldName, newName string) error {
	if err := c.step(); err != nil {
		return err
	}
	file := c.current[oldName]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(c.current, oldName)
	c.current[newName] = file
	c.pendingNameChanges = append(c.pendingNameChanges, nameChange{oldName: oldName, newName: newName, file: file})
	return nil
}

func (c *crashFS) Remove(name string) error {
	if err := c.step(); err != nil {
		return err
	}
	delete(c.current, name)
	c.pendingNameChanges = append(c.pendingNameChanges, nameChange{oldName: name})
	return nil
}

func (c *crashFS) SyncDir() error {
	if err := c.step(); err != nil {
		return err
	}
	if !c.skipFolderSync {
		c.durable = maps.Clone(c.current)
		c.pendingNameChanges = nil
	}
	return nil
}

// put adds a durable file.
func (c *crashFS) put(name string, content []byte) {
	file := &crashFile{synced: content}
	c.current[name] = file
	c.durable[name] = file
}

// openCrashFile is a crashFile that is being written.
type openCrashFile struct {
	fsys *crashFS
	file *crashFile
}

func (o *openCrashFile) Write(content []byte) (int, error) {
	if err := o.fsys.step(); err != nil {
		return 0, err
	}
	if o.fsys.diskFull {
		half := content[:len(content)/2]
		o.file.pendingWrites = append(o.file.pendingWrites, slices.Clone(half))
		return len(half), errDiskFull
	}
	o.file.pendingWrites = append(o.file.pendingWrites, slices.Clone(content))
	return len(content), nil
}

func (o *openCrashFile) Sync() error {
	if err := o.fsys.step(); err != nil {
		return err
	}
	if !o.fsys.skipFileSync {
		o.file.synced = o.file.content()
		o.file.pendingWrites = nil
	}
	return nil
}

func (o *openCrashFile) Close() error { return nil }

// writeOutcome is the state of a write that was not durable after a power cut.
type writeOutcome int

const (
	writeComplete writeOutcome = iota
	writeTorn                  // only its first half is written
	writeCorrupt               // one bit is wrong
	writeLost
	writeOutcomes // number of outcomes
)

func (o writeOutcome) apply(write []byte) []byte {
	switch o {
	case writeComplete:
		return write
	case writeTorn:
		return write[:len(write)/2]
	case writeCorrupt:
		corrupt := slices.Clone(write)
		corrupt[len(corrupt)/3] ^= 0x10
		return corrupt
	default:
		return nil
	}
}

// forEachCrashOutcome visits all folders that may be found after a power cut at this point: each subset of the pending
// name changes together with each combination of outcomes of the pending writes. It stops at the first error.
func (c *crashFS) forEachCrashOutcome(visit func(*crashFS) error) error {
	files := c.filesWithPendingWrites()
	combinations := 1
	for _, file := range files {
		for range file.pendingWrites {
			combinations *= int(writeOutcomes)
		}
	}
	for nameChanges := range 1 << len(c.pendingNameChanges) {
		for combination := range combinations {
			if err := visit(c.crashOutcome(files, combination, nameChanges)); err != nil {
				return err
			}
		}
	}
	return nil
}

// filesWithPendingWrites returns the files with pending writes in the order of their names, each once.
func (c *crashFS) filesWithPendingWrites() (files []*crashFile) {
	seen := map[*crashFile]bool{}
	for _, names := range []map[string]*crashFile{c.current, c.durable} {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			file := names[name]
			if !seen[file] && len(file.pendingWrites) > 0 {
				seen[file] = true
				files = append(files, file)
			}
		}
	}
	return files
}

// crashOutcome returns one folder that may be found. The digits of combination, in base writeOutcomes, are the outcomes
// of the pending writes of the files. Bit i of nameChanges is set if the pending name change i took place.
func (c *crashFS) crashOutcome(files []*crashFile, combination, nameChanges int) *crashFS {
	recovered := map[*crashFile]*crashFile{}
	recoverFile := func(file *crashFile) *crashFile {
		if recovered[file] == nil {
			recovered[file] = &crashFile{synced: slices.Clone(file.synced)}
		}
		return recovered[file]
	}
	for _, file := range files {
		found := recoverFile(file)
		for _, write := range file.pendingWrites {
			outcome := writeOutcome(combination % int(writeOutcomes))
			combination /= int(writeOutcomes)
			found.synced = append(found.synced, outcome.apply(write)...)
		}
	}

	outcome := newCrashFS()
	for name, file := range c.durable {
		outcome.current[name] = recoverFile(file)
	}
	for i, change := range c.pendingNameChanges {
		if nameChanges>>i&1 == 0 {
			continue
		}
		if change.oldName != "" {
			delete(outcome.current, change.oldName)
		}
		if change.newName != "" {
			outcome.current[change.newName] = recoverFile(change.file)
		}
	}
	outcome.durable = maps.Clone(outcome.current)
	return outcome
}

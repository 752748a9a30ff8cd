package statefile

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
)

// errCut ends everything at the moment of a power cut.
var errCut = errors.New("the power is cut")

// memory is a folder that remembers what would last: file contents by Sync of the file, names by Sync of the folder.
// Before the step numbered cut, or while full, it fails.
type memory struct {
	steps, cut int  // cut at this step; below 0: never
	full       bool // no room for another byte
	noSync     bool // mutants: a file's Sync, or the folder's, does nothing
	noFolder   bool

	now     map[string]*inode
	lasting map[string]*inode
	pending []change
}

// change of a name that does not last yet: to, where not nil, gets the name, and from goes.
type change struct {
	from, to string
	file     *inode
}

type inode struct {
	synced  []byte
	pending [][]byte // writes that do not last yet
}

func newMemory() *memory {
	return &memory{cut: -1, now: map[string]*inode{}, lasting: map[string]*inode{}}
}

func (m *memory) step() error {
	if m.steps++; m.cut >= 0 && m.steps > m.cut {
		return errCut
	}
	return nil
}

func (i *inode) bytes() []byte {
	all := slices.Clone(i.synced)
	for _, w := range i.pending {
		all = append(all, w...)
	}
	return all
}

func (m *memory) Names() ([]string, error) { return slices.Sorted(maps.Keys(m.now)), nil }

func (m *memory) Read(name string) ([]byte, error) {
	if f := m.now[name]; f != nil {
		return f.bytes(), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memory) Create(name string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &inode{}
	m.now[name] = f
	m.pending = append(m.pending, change{to: name, file: f})
	return &memoryFile{m, f}, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	f := m.now[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(m.now, from)
	m.now[to] = f
	m.pending = append(m.pending, change{from, to, f})
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.now, name)
	m.pending = append(m.pending, change{from: name})
	return nil
}

func (m *memory) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	if !m.noFolder {
		m.lasting, m.pending = maps.Clone(m.now), nil
	}
	return nil
}

type memoryFile struct {
	m *memory
	f *inode
}

func (x *memoryFile) Write(b []byte) (int, error) {
	if err := x.m.step(); err != nil {
		return 0, err
	}
	if x.m.full {
		half := b[:len(b)/2]
		x.f.pending = append(x.f.pending, slices.Clone(half))
		return len(half), errors.New("no space left")
	}
	x.f.pending = append(x.f.pending, slices.Clone(b))
	return len(b), nil
}

func (x *memoryFile) Sync() error {
	if err := x.m.step(); err != nil {
		return err
	}
	if !x.m.noSync {
		x.f.synced, x.f.pending = x.f.bytes(), nil
	}
	return nil
}

func (x *memoryFile) Close() error { return nil }

// fates of a write that did not last: it may be there whole, in part, with a wrong bit, or not at all.
const fates = 4

// after gives the folders that may be found after the power was cut, each to look; names change in part, in any subset, and
// each write that does not last has one of its fates. It stops at an error.
func (m *memory) after(look func(*memory) error) error {
	var writes []*inode
	seen := map[*inode]bool{}
	for _, all := range []map[string]*inode{m.now, m.lasting} {
		for _, n := range slices.Sorted(maps.Keys(all)) {
			if f := all[n]; !seen[f] && len(f.pending) > 0 {
				seen[f] = true
				writes = append(writes, f)
			}
		}
	}
	ways := 1
	for _, f := range writes {
		for range f.pending {
			ways *= fates
		}
	}
	for names := range 1 << len(m.pending) {
		for way := range ways {
			left, way := newMemory(), way
			fresh := map[*inode]*inode{}
			get := func(f *inode) *inode {
				if fresh[f] == nil {
					fresh[f] = &inode{synced: slices.Clone(f.synced)}
				}
				return fresh[f]
			}
			for _, f := range writes {
				to := get(f)
				for _, w := range f.pending {
					switch way % fates {
					case 0:
						to.synced = append(to.synced, w...)
					case 1:
						to.synced = append(to.synced, w[:len(w)/2]...)
					case 2:
						w = slices.Clone(w)
						w[len(w)/3] ^= 0x10
						to.synced = append(to.synced, w...)
					}
					way /= fates
				}
			}
			for n, f := range m.lasting {
				left.now[n] = get(f)
			}
			for i, c := range m.pending {
				if names>>i&1 == 0 {
					continue
				}
				if c.from != "" {
					delete(left.now, c.from)
				}
				if c.to != "" {
					left.now[c.to] = get(c.file)
				}
			}
			left.lasting = maps.Clone(left.now)
			if err := look(left); err != nil {
				return err
			}
		}
	}
	return nil
}

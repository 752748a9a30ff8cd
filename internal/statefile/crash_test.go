package statefile

import (
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

const saves = 13

// script saves states one after the other, a snapshot again in between, and gives what stood in the folder after each, and
// how many were saved for sure.
func script(m *memory, most int) (stood []*statepb.State, sure int) {
	found, err := Load(m)
	if err != nil {
		return nil, 0
	}
	s := NewStore(m, found, most)
	for n := 1; n <= saves; n++ {
		if n%4 == 0 {
			s.logBytes = 1 << 30 // the log is long: a snapshot is next
		}
		if err := s.Save(told(n)); err != nil {
			if errors.Is(err, errCut) {
				return stood, sure
			}
			continue
		}
		stood, sure = append(stood, proto.CloneOf(s.state)), n
	}
	return stood, sure
}

// plain gives what stands after each save when nothing goes wrong.
func plain(t *testing.T) []*statepb.State {
	all, sure := script(newMemory(), 1<<20)
	if sure != saves {
		t.Fatalf("%d of %d saved", sure, saves)
	}
	return all
}

// sound tells what is wrong with what was found after a cut: it has to be a state that was saved, the last one that was sure
// or a later one; and the folder has to take a state again.
func sound(m *memory, all []*statepb.State, sure int) error {
	f, err := Load(m)
	if err != nil {
		return err
	}
	is := 0
	for n, s := range all {
		if f.State != nil && proto.Equal(s, f.State) {
			is = n + 1
		}
	}
	switch {
	case f.State != nil && is == 0:
		return fmt.Errorf("a state that never was: %v", f.State)
	case is < sure:
		return fmt.Errorf("state %d of %d that were sure, notes %v", is, sure, f.Warnings)
	}
	s := NewStore(m, f, 1<<20)
	if err := s.Save(told(9)); err != nil {
		return fmt.Errorf("saving again: %w", err)
	}
	again, err := Load(m)
	if err != nil || again.State == nil || again.State.At != 9000 {
		return fmt.Errorf("saved again, and found %v, %v", again.State, err)
	}
	return nil
}

// cuts cuts the power at every step, and looks at every folder that may be left. It gives the number of both.
func cuts(all []*statepb.State, mutate func(*memory)) (steps, folders int, err error) {
	for cut := 0; ; cut++ {
		m := newMemory()
		mutate(m)
		m.cut = cut
		_, sure := script(m, 1<<20)
		if m.steps <= cut {
			return cut, folders, nil
		}
		if err := m.after(func(left *memory) error { folders++; return sound(left, all, sure) }); err != nil {
			return cut, folders, fmt.Errorf("cut at step %d: %w", cut, err)
		}
	}
}

// The power is cut at every step of a run of saves, and each write that was not synced is whole, torn, wrong or lost, each
// name that was not synced old or new, in every combination: what is found is always a state that was saved, and none that
// was sure is lost. A protocol without its syncs is caught.
func TestPowerCuts(t *testing.T) {
	all := plain(t)
	steps, folders, err := cuts(all, func(*memory) {})
	if err != nil {
		t.Fatal(err)
	}
	if steps < 50 || folders < 300 {
		t.Errorf("only %d steps and %d folders were looked at", steps, folders)
	}
	t.Logf("%d steps, %d folders", steps, folders)
	for name, mutant := range map[string]func(*memory){"without syncing files": func(m *memory) { m.noSync = true },
		"without syncing the folder": func(m *memory) { m.noFolder = true }} {
		if _, _, err := cuts(all, mutant); err == nil {
			t.Errorf("a protocol %s was not caught", name)
		}
	}
}

// A disk that is full for some saves, at any of them, costs these and nothing else.
func TestDiskFull(t *testing.T) {
	for from := 1; from <= saves; from++ {
		for to := from; to <= saves; to++ {
			m := newMemory()
			found, _ := Load(m)
			s := NewStore(m, found, 1<<20)
			last := 0.0
			for n := 1; n <= saves; n++ {
				if n%4 == 0 {
					s.logBytes = 1 << 30
				}
				m.full = n >= from && n <= to
				err := s.Save(told(n))
				if m.full != (err != nil) {
					t.Fatalf("save %d, full %v: %v", n, m.full, err)
				}
				if err == nil {
					last = told(n).At
				}
				f, err := Load(m)
				if at := f.State.GetAt(); err != nil || at != last {
					t.Fatalf("full from %d to %d, after %d: found %v, not %v; %v %v", from, to, n, at, last, f.Warnings, err)
				}
			}
		}
	}
}

// Each byte of each file wrong in turn: what is found is a state that was saved, or none.
func TestWrongBytes(t *testing.T) {
	all := plain(t)
	m := newMemory()
	script(m, 1<<20)
	for name, f := range m.now {
		for i := range f.bytes() {
			left := newMemory()
			for n, x := range m.now {
				left.now[n] = &inode{synced: x.bytes()}
			}
			left.now[name].synced[i] ^= 1 << (i % 8)
			if err := sound(left, all, 0); err != nil {
				t.Fatalf("byte %d of %s: %v", i, name, err)
			}
		}
	}
}

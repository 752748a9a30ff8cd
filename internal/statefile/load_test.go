package statefile

import (
	"testing"
)

// Whatever the files hold, reading them ends, and what comes next is kept.
func FuzzLoad(f *testing.F) {
	m := newMemory()
	script(m, 1<<20)
	names, _ := m.Names()
	snapshot, _ := m.Read(names[len(names)-1])
	log, _ := m.Read(names[0])
	f.Add(snapshot, log)
	f.Add(log, snapshot)
	f.Add([]byte(magic), []byte{})
	f.Fuzz(func(t *testing.T, snapshot, log []byte) {
		m := newMemory()
		m.now[file('S', 3)], m.now[file('L', 3)] = &inode{synced: snapshot}, &inode{synced: log}
		found, err := Load(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := NewStore(m, found, 1<<20).Save(told(3)); err != nil {
			t.Fatal(err)
		}
		if again, err := Load(m); err != nil || again.State.GetAt() != 3000 {
			t.Fatalf("%+v, %v", again, err)
		}
	})
}

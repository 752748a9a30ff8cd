package statefile

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

// told is the n-th state of a small steward whose hosts fail and return, proxies come and go and an operator sets things.
func told(n int) *statepb.State {
	s := &statepb.State{Program: "test", Life: "L", At: float64(1000 * n), Fleet: &statepb.Fleet{Level: 1 - 0.1*float64(n%4), At: float64(1000 * n)}}
	for i := range 3 + n%2 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprint("h", i), Zone: "a", Weight: 1 + 0.2*float64((n+i)%3), R: 50, Out: n%3 == i, At: float64(1000 * n)})
	}
	for i := range n % 3 {
		s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprint("p", i), Zone: "a", Tag: fmt.Sprint("L-", n), Table: fmt.Sprint("t", n%2), At: float64(1000 * n)})
	}
	if n%3 > 0 {
		s.Tables = append(s.Tables, &statepb.Table{Id: fmt.Sprint("t", n%2), Classes: []*statepb.Class{{Name: "sheet", Ordered: true, Hosts: []string{"h0", "h1"}, Weights: []float64{1, 2}, Share: 1, Tries: 1}}})
	}
	if n%4 == 1 {
		s.Settings = append(s.Settings, &statepb.Setting{Host: "h1", State: 1, By: "op", At: 1})
	}
	return s
}

// A state that is too large loses what is least missed; what operators set stays.
func TestShrink(t *testing.T) {
	s := told(5)
	for i := range 2000 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("x%04d", i), Weight: 1, At: 1})
	}
	m := newMemory()
	store := NewStore(m, &LoadResult{}, 20000)
	if err := store.Save(s); err != nil {
		t.Fatal(err)
	}
	f, _ := Load(m)
	if proto.Size(f.State) > 20000 || len(f.State.Settings) != 1 || len(f.State.Tables) != 0 || len(f.State.Hosts) < 100 || store.DroppedEntries == 0 {
		t.Errorf("%d bytes, %d hosts, %d tables, %d settings", proto.Size(f.State), len(f.State.Hosts), len(f.State.Tables), len(f.State.Settings))
	}
}

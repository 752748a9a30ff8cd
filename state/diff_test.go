package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"barleysail/state/statepb"
)

var drawnTableIDs = []string{"t1", "t2", "t3"}

// drawState draws a state whose entries are sorted by name and whose tables are those that its proxies refer to.
func drawState(t *rapid.T) *statepb.State {
	s := &statepb.State{At: rapid.Float64Range(0, 1e5).Draw(t, "instant")}
	for i := range 6 {
		if rapid.Bool().Draw(t, "has host") {
			s.Hosts = append(s.Hosts, &statepb.Host{
				Name:   fmt.Sprint("h", i),
				Weight: rapid.SampledFrom([]float64{1, 1.01, 2}).Draw(t, "weight"),
				Out:    rapid.Bool().Draw(t, "ejected"),
				At:     s.At,
			})
		}
		if rapid.Bool().Draw(t, "has proxy") {
			s.Proxies = append(s.Proxies, &statepb.Proxy{
				Name:  fmt.Sprint("p", i),
				Tag:   rapid.SampledFrom([]string{"L-1", "L-2"}).Draw(t, "tag"),
				Table: rapid.SampledFrom(drawnTableIDs).Draw(t, "table"),
				At:    s.At,
			})
		}
		if rapid.Bool().Draw(t, "has override") {
			s.Settings = append(s.Settings, &statepb.Setting{
				Host:   fmt.Sprint("h", i),
				Weight: rapid.SampledFrom([]float64{1, 2}).Draw(t, "override weight"),
			})
		}
		if rapid.Bool().Draw(t, "has queued command") {
			host := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host of the command")
			s.Queue = append(s.Queue, &statepb.QueuedCommand{Host: host, State: 1})
		}
	}
	referenced := referencedTables(s.Proxies)
	for _, id := range drawnTableIDs {
		if referenced[id] {
			s.Tables = append(s.Tables, &statepb.Table{Id: id})
		}
	}
	return s
}

func compareHostNames(a, b *statepb.Host) int { return strings.Compare(a.Name, b.Name) }

// A change applied to the first state gives the second one, within the tolerance of figures. Hosts stay sorted, and
// tables that no proxy refers to are dropped.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := drawState(t)
		current := drawState(t)
		if Diff(previous, proto.CloneOf(previous)) != nil {
			t.Fatal("Diff of a state and its copy returns a change, want none")
		}
		applied := proto.CloneOf(previous)
		if change := Diff(previous, current); change != nil {
			Apply(applied, proto.CloneOf(change))
		}
		if remaining := Diff(applied, current); remaining != nil {
			t.Fatalf("after the change was applied, Diff still returns %v, want no change", remaining)
		}
		if !slices.IsSortedFunc(applied.Hosts, compareHostNames) {
			t.Fatalf("after the change was applied, the hosts are %v, want them sorted by name", applied.Hosts)
		}
		if len(applied.Hosts) != len(current.Hosts) || len(applied.Proxies) != len(current.Proxies) ||
			len(applied.Settings) != len(current.Settings) || len(applied.Tables) != len(current.Tables) ||
			!slices.EqualFunc(applied.Queue, current.Queue, queuedCommandEqual) {
			t.Fatalf("the state with the change applied is\n%v\nwant as many entries of each kind as in\n%v", applied, current)
		}
	})
}

// An entry is stored again when a figure has changed by more than the tolerance, or when its age has to be refreshed.
func TestDiffTolerance(t *testing.T) {
	tests := []struct {
		name       string
		modify     func(*statepb.State)
		wantChange bool
	}{
		{"unchanged", func(*statepb.State) {}, false},
		{"weight within tolerance", func(s *statepb.State) { s.Hosts[1].Weight = 1.04 }, false},
		{"weight beyond tolerance", func(s *statepb.State) { s.Hosts[1].Weight = 1.06 }, true},
		{"few more failures", func(s *statepb.State) { s.Hosts[1].Lost = 0.5 }, false},
		{"many more failures", func(s *statepb.State) { s.Hosts[1].Lost = 3 }, true},
		{"host recently measured", func(s *statepb.State) { s.Hosts[1].At += refreshIntervalMs }, false},
		{"host to be refreshed", func(s *statepb.State) { s.Hosts[1].At += refreshIntervalMs + 1 }, true},
		{"request rate beyond tolerance", func(s *statepb.State) { s.Proxies[0].Rates[0] = 13 }, true},
		{"proxy to be refreshed", func(s *statepb.State) { s.Proxies[0].At += refreshIntervalMs + 1 }, true},
		{"admission ratio within tolerance", func(s *statepb.State) { s.Fleet.Level = 0.41 }, false},
		{"admission ratio beyond tolerance", func(s *statepb.State) { s.Fleet.Level = 0.5 }, true},
		{"admission quota beyond tolerance", func(s *statepb.State) { s.Fleet.Shares[0] = 0.3 }, true},
		{"override changed", func(s *statepb.State) { s.Settings[0].Weight = 2 }, true},
		{"command queued", func(s *statepb.State) { s.Queue = []*statepb.QueuedCommand{{Host: "h"}} }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current := sampleState()
			test.modify(current)
			change := Diff(sampleState(), current)
			if (change != nil) != test.wantChange {
				t.Fatalf("the change is %v, want one: %v", change, test.wantChange)
			}
			if change == nil {
				return
			}
			applied := sampleState()
			Apply(applied, change)
			if !proto.Equal(applied, current) {
				t.Errorf("the state with the change applied is %v, want %v", applied, current)
			}
		})
	}
}

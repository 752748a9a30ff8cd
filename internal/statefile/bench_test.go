package statefile

import (
	"fmt"
	"testing"

	"barleysail/state"
	"barleysail/state/statepb"
)

// The size of the largest deployment.
const (
	benchmarkHosts   = 506
	benchmarkProxies = 607

	benchmarkSnapshotBytes = 64 << 20
	benchmarkZone          = "addis"
)

// benchmarkState returns the n-th state of the largest deployment, whose proxies hold one of the last three tables.
func benchmarkState(n int) *statepb.State {
	atMs := float64(n * 1000)
	s := &statepb.State{
		Life:  "abcdef012345",
		At:    atMs,
		Fleet: &statepb.Fleet{Level: 1, Classes: []string{"sheet", "finish"}, Shares: []float64{1, 1}, Median: 80},
	}
	for i := range benchmarkHosts {
		s.Hosts = append(s.Hosts, &statepb.Host{
			Name:   fmt.Sprintf("10.0.%d.%03d:9000", i/250, i%250),
			Zone:   benchmarkZone,
			Weight: 1 + float64((i+n)%20)/100,
			Rate:   4,
			R:      80,
			Won:    20,
			Lost:   float64((i + n) % 3),
			Trust:  1,
			At:     atMs,
		})
	}
	for k := range 3 {
		s.Tables = append(s.Tables, benchmarkTable(fmt.Sprint("t", n/5+k), s.Hosts, s.Fleet.Classes))
	}
	for i := range benchmarkProxies {
		s.Proxies = append(s.Proxies, &statepb.Proxy{
			Name:  fmt.Sprintf("forwarder-%03d", i),
			Zone:  benchmarkZone,
			Tag:   fmt.Sprintf("abcdef012345-%d", 100000+i+n/5*benchmarkProxies),
			Table: s.Tables[i%3].Id,
			Rates: []float64{2, 1},
			At:    atMs,
		})
	}
	return s
}

func benchmarkTable(id string, hosts []*statepb.Host, classes []string) *statepb.Table {
	table := &statepb.Table{Id: id}
	for _, name := range classes {
		class := &statepb.Class{Name: name, Ordered: true, Share: 1, Tries: 1}
		for _, host := range hosts {
			class.Hosts = append(class.Hosts, host.Name)
			class.Weights = append(class.Weights, host.Weight)
		}
		table.Classes = append(table.Classes, class)
	}
	return table
}

// BenchmarkSave measures a save to the disk of a state that changes each second.
func BenchmarkSave(b *testing.B) {
	folder := openTestFolder(b, b.TempDir())
	b.Cleanup(func() { closeFolder(b, folder) })
	store := NewStore(folder, &LoadResult{}, benchmarkSnapshotBytes)
	states := make([]*statepb.State, 20)
	for n := range states {
		states[n] = benchmarkState(n)
	}
	mostBytes := 0
	b.ResetTimer()
	for n := range b.N {
		s := states[n%len(states)]
		s.At = float64(n * 1000)
		mustSave(b, store, s)
		mostBytes = max(mostBytes, store.snapshotBytes+store.logBytes)
	}
	b.ReportMetric(float64(mostBytes), "B-most")
}

// BenchmarkLoad measures the load of a state from the disk, with its decay.
func BenchmarkLoad(b *testing.B) {
	folder := openTestFolder(b, b.TempDir())
	b.Cleanup(func() { closeFolder(b, folder) })
	store := NewStore(folder, &LoadResult{}, benchmarkSnapshotBytes)
	for n := range 10 {
		mustSave(b, store, benchmarkState(n))
	}
	b.ResetTimer()
	for range b.N {
		loaded := mustLoad(b, folder)
		if loaded.State == nil {
			b.Fatalf("loaded %+v, want a state", loaded)
		}
		state.ApplyDecay(loaded.State, 20000, state.DefaultLimits(18000))
	}
}

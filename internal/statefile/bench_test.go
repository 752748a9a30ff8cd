package statefile

import (
	"fmt"
	"testing"

	"barleysail/state"
	"barleysail/state/statepb"
)

// full is a state of the largest deployment: 506 hosts, and 607 proxies that hold the whole table or one of two before it.
func full(n int) *statepb.State {
	s := &statepb.State{Life: "abcdef012345", At: float64(n * 1000), Fleet: &statepb.Fleet{Level: 1, Classes: []string{"sheet", "finish"}, Shares: []float64{1, 1}, Median: 80}}
	for i := range 506 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("10.0.%d.%03d:9000", i/250, i%250), Zone: "addis", Weight: 1 + float64((i+n)%20)/100, Rate: 4, R: 80, Won: 20, Lost: float64((i + n) % 3), Trust: 1, At: float64(n * 1000)})
	}
	for k := range 3 {
		t := &statepb.Table{Id: fmt.Sprint("t", n/5+k)}
		for _, class := range []string{"sheet", "finish"} {
			c := &statepb.Class{Name: class, Ordered: true, Share: 1, Tries: 1}
			for _, h := range s.Hosts {
				c.Hosts, c.Weights = append(c.Hosts, h.Name), append(c.Weights, h.Weight)
			}
			t.Classes = append(t.Classes, c)
		}
		s.Tables = append(s.Tables, t)
	}
	for i := range 607 {
		s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprintf("forwarder-%03d", i), Zone: "addis", Tag: fmt.Sprintf("abcdef012345-%d", 100000+i+n/5*607), Table: s.Tables[i%3].Id, Rates: []float64{2, 1}, At: float64(n * 1000)})
	}
	return s
}

// BenchmarkSave writes a full-size state that changes each second to the disk, and BenchmarkLoad reads one.
func BenchmarkSave(b *testing.B) {
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	s := NewStore(folder, &LoadResult{}, 64<<20)
	bytes := 0
	states := []*statepb.State{}
	for n := range 20 {
		states = append(states, full(n))
	}
	b.ResetTimer()
	for n := range b.N {
		x := states[n%20]
		x.At = float64(n * 1000)
		if err := s.Save(x); err != nil {
			b.Fatal(err)
		}
		bytes = max(bytes, s.snapshot+s.logBytes)
	}
	b.ReportMetric(float64(bytes), "B-most")
}

func BenchmarkLoad(b *testing.B) {
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	s := NewStore(folder, &LoadResult{}, 64<<20)
	for n := range 10 {
		if err := s.Save(full(n)); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for range b.N {
		f, err := Load(folder)
		if err != nil || f.State == nil {
			b.Fatal(err)
		}
		state.ApplyDecay(f.State, 20000, state.DefaultLimits(18000))
	}
}

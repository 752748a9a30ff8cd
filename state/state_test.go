package state

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"barleysail/internal/golden"
	"barleysail/state/statepb"
)

func sample() *statepb.State {
	return &statepb.State{Life: "L", At: 1e6, Fleet: &statepb.Fleet{Level: 0.4, Classes: []string{"sheet"}, Shares: []float64{0.2}, Median: 50, At: 1e6},
		Hosts: []*statepb.Host{{Name: "fails", Zone: "a", Weight: 0.4, R: 400, Won: 2, Lost: 30, Out: true, Absent: true, Trust: 0.3, At: 1e6},
			{Name: "fresh", Zone: "a", Weight: 1, R: 50, Won: 5, Started: 1e6 - 4000, Trust: 1, At: 1e6},
			{Name: "leaves", Zone: "b", Weight: 1, R: 50, Drains: 1e6 - 1000, Trust: 1, At: 1e6}},
		Proxies:  []*statepb.Proxy{{Name: "p", Zone: "a", Tag: "L-7", Table: "t", Rates: []float64{12}, At: 1e6}},
		Tables:   []*statepb.Table{{Id: "t", Classes: []*statepb.Class{{Name: "sheet", Ordered: true, Hosts: []string{"fails"}, Weights: []float64{1}, Share: 0.2}}}},
		Settings: []*statepb.Setting{{Host: "leaves", State: 1}, {Host: "fails", State: 2, Until: 1e6 + 30000}}}
}

// What is left of each kind after a second, a minute, ten minutes, an hour; and when the clock went back.
func TestAge(t *testing.T) {
	var out strings.Builder
	for _, later := range []float64{1000, 60e3, 600e3, 3600e3, -60e3} {
		r := ApplyDecay(sample(), 1e6+later, DefaultLimits(18000))
		fmt.Fprintf(&out, "after %.0f s: life %q, %s\n  level %.2f, share %.2f, median %.0f, %d settings\n", later/1000, r.Incarnation, r.Reason, r.AdmissionRatio, r.AdmissionQuotas["sheet"], r.MedianLatencyMs, len(r.Overrides))
		for _, name := range []string{"fails", "fresh", "leaves"} {
			if h := r.Hosts[name]; h != nil {
				fmt.Fprintf(&out, "  %s: weight %.2f, r %.0f, %.1f of %.1f lost, out %v, trust %.2f, started %.0f, drains %.0f\n", name, h.Weight, h.MeanLatencyMs, h.Failures, h.Successes+h.Failures, h.Ejected, h.ReportTrust, h.StartedMs, h.DrainingSinceMs)
			}
		}
		if p := r.Proxies["p"]; p != nil {
			fmt.Fprintf(&out, "  p: tag %q, %d tables, rates %v\n", p.Tag, len(p.Tables), p.RequestRates)
		}
	}
	golden.Compare(t, "age", out.String())
}

// A change onto a state gives the other, as far as figures matter; names stay in order, and tables that nobody holds
// go.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := func() *statepb.State {
			s := &statepb.State{At: rapid.Float64Range(0, 1e5).Draw(t, "at")}
			used := map[string]bool{}
			for i := range 6 {
				if rapid.Bool().Draw(t, "host") {
					s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprint("h", i), Weight: rapid.SampledFrom([]float64{1, 1.01, 2}).Draw(t, "weight"), Out: rapid.Bool().Draw(t, "out"), At: s.At})
				}
				if rapid.Bool().Draw(t, "proxy") {
					table := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "table")
					s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprint("p", i), Tag: rapid.SampledFrom([]string{"L-1", "L-2"}).Draw(t, "tag"), Table: table, At: s.At})
					used[table] = true
				}
				if rapid.Bool().Draw(t, "set") {
					s.Settings = append(s.Settings, &statepb.Setting{Host: fmt.Sprint("h", i), Weight: rapid.SampledFrom([]float64{1, 2}).Draw(t, "set weight")})
				}
			}
			for _, id := range []string{"t1", "t2", "t3"} {
				if used[id] {
					s.Tables = append(s.Tables, &statepb.Table{Id: id})
				}
			}
			return s
		}
		a, b := drawn(), drawn()
		if Diff(a, proto.CloneOf(a)) != nil {
			t.Fatal("a state differs from itself")
		}
		got := proto.CloneOf(a)
		c := Diff(a, b)
		if c != nil {
			Apply(got, proto.CloneOf(c))
		}
		if again := Diff(got, b); again != nil {
			t.Fatalf("still other: %v", again)
		}
		if !slices.IsSortedFunc(got.Hosts, func(x, y *statepb.Host) int { return strings.Compare(x.Name, y.Name) }) || len(got.Hosts) != len(b.Hosts) ||
			len(got.Proxies) != len(b.Proxies) || len(got.Settings) != len(b.Settings) || len(got.Tables) != len(b.Tables) {
			t.Fatalf("%v\n%v", got, b)
		}
	})
}

// Whatever stands in a file whose sums fit: what is recalled is within bounds, and no figure is none.
func FuzzAge(f *testing.F) {
	text, _ := proto.Marshal(sample())
	f.Add(text, 1e6+1000)
	odd := sample()
	odd.At, odd.Hosts[0].At, odd.Hosts[1].Weight, odd.Fleet.Level, odd.Hosts[2].R, odd.Proxies[0].Rates[0] = math.NaN(), math.NaN(), math.Inf(1), -3, math.Inf(-1), math.NaN()
	text, _ = proto.Marshal(odd)
	f.Add(text, 1e6)
	odd = sample()
	odd.Hosts[0].At, odd.Hosts[0].Weight, odd.Hosts[0].Lost, odd.Hosts[1].Trust, odd.Fleet.At = math.NaN(), math.NaN(), -4, math.NaN(), math.NaN()
	text, _ = proto.Marshal(odd)
	f.Add(text, 1e6+1)
	f.Fuzz(func(t *testing.T, text []byte, now float64) {
		s := &statepb.State{}
		if proto.Unmarshal(text, s) != nil {
			return
		}
		r := ApplyDecay(s, now, DefaultLimits(18000))
		within := func(what string, x, least, most float64) {
			if !(x >= least && x <= most) {
				t.Errorf("%s %g", what, x)
			}
		}
		within("level", r.AdmissionRatio, 0.01, 1)
		for _, x := range r.AdmissionQuotas {
			within("share", x, 0.01, 1)
		}
		for _, h := range r.Hosts {
			within("weight", h.Weight, 0.05, 20)
			within("r", h.MeanLatencyMs, 0, 2e7)
			within("won", h.Successes, 0, 1e6)
			within("lost", h.Failures, 0, 1e6)
			within("trust", h.ReportTrust, 0, 1)
			if h.StartedMs > now || h.DrainingSinceMs > now {
				t.Errorf("started %g, drains %g at %g", h.StartedMs, h.DrainingSinceMs, now)
			}
		}
		for _, p := range r.Proxies {
			for _, x := range p.RequestRates {
				within("a proxy's rate", x, 0, 1e9)
			}
		}
	})
}

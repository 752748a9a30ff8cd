package solver

import (
	"math"
	"math/rand/v2"
	"testing"
)

// exhaustiveWays finds the best answer where connections have a price by solving over every set of open ways.
func exhaustiveWays(t *testing.T, p *Problem) float64 {
	t.Helper()
	groups := p.groups()
	n, best := len(groups)*len(p.Zones), math.Inf(-1)
	for set := range 1 << n {
		w := make(arcs, len(p.Zones))
		for z := range w {
			w[z] = make([]arc, len(groups))
			for g := range groups {
				w[z][g].closed = set>>(z*len(groups)+g)&1 == 0
			}
		}
		s, err := p.solve(nil, w)
		if err != nil {
			t.Fatal(err)
		}
		best = math.Max(best, s.ObjectiveValue)
	}
	return best
}

// Where connections have a price few are kept; on small fleets the answer is the best over all sets of ways, and on
// larger ones what could be missing is told.
func TestConnections(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 8}, Host{Zone: "a", Cores: 8}, Host{Zone: "b", Cores: 8}, Host{Zone: "b", Cores: 8})
	p.Proxies = map[string]int{"a": 4, "b": 4}
	if s := solve(t, p); s.Connections != 0 {
		t.Errorf("%d connections are counted without a price", s.Connections)
	}
	p.Objective.ConnectionCost = 0.001
	if s := solve(t, p); s.Connections != 8 || !near(s.ObjectiveValue, 1-0.008, 1e-6) {
		t.Errorf("each zone's proxies need one host: %d connections, result %.4f", s.Connections, s.ObjectiveValue)
	}
	p.Objective.ConnectionCost = 0.2 // dearer than all that is earned over one
	if s := solve(t, p); s.Connections != 0 || s.ObjectiveValue != 0 {
		t.Errorf("at too high a price: %+v", s)
	}
	random := rand.New(rand.NewPCG(31, 31))
	for n := range 100 {
		p := drawn(random, 1+random.IntN(4), 2, 2)
		p.Objective.ConnectionCost, p.Proxies = 0.02*random.Float64(), map[string]int{"zone0": random.IntN(4), "zone1": random.IntN(4)}
		s := solve(t, p)
		if want := exhaustiveWays(t, p); !near(s.ObjectiveValue, want, 1e-6) || !near(s.UpperBound, want, 1e-6) {
			t.Errorf("fleet %d: %.6f, at most %.6f, over all sets of ways %.6f", n, s.ObjectiveValue, s.UpperBound, want)
		}
	}
	p = drawn(random, 12, 3, 3) // too many ways to try all
	p.Objective.ConnectionCost, p.Proxies = 0.0004, map[string]int{"zone0": 3, "zone1": 3, "zone2": 3}
	if s := solve(t, p); s.UpperBound < s.ObjectiveValue || s.UpperBound > s.ObjectiveValue+0.01 || s.Connections == 0 {
		t.Errorf("%.6f, at most %.6f, with %d connections", s.ObjectiveValue, s.UpperBound, s.Connections)
	}
}

// A message to each proxy of a zone is paid for where the result gains more, and nowhere else.
func TestRenew(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 1}, Host{Zone: "b", Cores: 3}, Host{Zone: "b", Cores: 3})
	p.Proxies = map[string]int{"a": 5, "b": 5}
	standing := Tables{Weights: map[string]map[string]map[string]float64{}}
	for _, k := range p.Classes { // of zone a alike, which is too much for h1; of b as is best
		standing.Weights[k.Name] = map[string]map[string]float64{"a": {"h0": 1, "h1": 1}, "b": {"h2": 1, "h3": 1}}
	}
	s := solve(t, p)
	p.Objective.UpdateCost = 0.001
	if r := p.ChooseUpdates(standing, s); len(r.Zones) != 1 || r.Zones[0] != "a" || r.Messages != 5 || !near(r.ObjectiveValue, 1-0.005, 1e-6) || r.CurrentValue > 0.95 {
		t.Errorf("%+v", r)
	}
	p.Objective.UpdateCost = 0.1
	if r := p.ChooseUpdates(standing, s); len(r.Zones) != 0 || r.Messages != 0 || r.ObjectiveValue != r.CurrentValue {
		t.Errorf("at a high price: %+v", r)
	}
	p.Objective.UpdateCost = 0
	for z := range 9 { // chosen one by one
		p.Zones = append(p.Zones, string(rune('c'+z)))
	}
	if r := p.ChooseUpdates(standing, s); !near(r.ObjectiveValue, 1, 1e-6) {
		t.Errorf("with many zones: %+v", r)
	}
}

// A cold host gets what it can take now, and more at each stage of its warming.
func TestWarming(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4, WarmFraction: 0.25, WarmUpMs: 10000}, Host{Zone: "b", Cores: 2})
	stages, err := p.WarmUpStages()
	if err != nil || len(stages) != 5 || stages[4].AtMs != 10000 {
		t.Fatalf("%v %+v", err, stages)
	}
	for i, x := range stages {
		part := 0.25 + 0.75*float64(i)/4
		if got, want := x.Solution.EarningsPerS, 180+math.Min(60, (4*part+2-2)/0.2*3); !near(got, want, 1e-6) {
			t.Errorf("at %.0f ms %.2f is earned, room is for %.2f", x.AtMs, got, want)
		}
		if err := p.After(x.AtMs).Verify(x.Solution); err != nil {
			t.Error(err)
		}
	}
	if stages, _ = fleet(Host{Zone: "a", Cores: 4}).WarmUpStages(); len(stages) != 1 {
		t.Errorf("%d stages though none is cold", len(stages))
	}
	// The warm host may go for nothing only once the other is warm.
	p = fleet(Host{Zone: "a", Cores: 8, WarmFraction: 0.25, WarmUpMs: 3000}, Host{Zone: "b", Cores: 6}, Host{Zone: "b", Cores: 1})
	steps, err := p.PlanDrain([]string{"h2", "h1"}, DrainPace{Proxies: 2, EntriesPerS: 1000, MessageOverhead: 5, GraceMs: 3000})
	if err != nil || len(steps) != 2 || steps[0].Hosts[0] != "h2" || steps[1].ObjectiveValue < 1-1e-6 {
		t.Errorf("%v %+v", err, steps)
	}
}

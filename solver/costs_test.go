package solver

import (
	"math"
	"math/rand/v2"
	"testing"
)

// bestOfAllArcSets returns the best objective value with a cost of connections, by solving for every set of open arcs.
func bestOfAllArcSets(t *testing.T, p *Problem) float64 {
	t.Helper()
	groups := p.groups()
	arcCount, best := len(groups)*len(p.Zones), math.Inf(-1)
	for set := range 1 << arcCount {
		candidate := make(arcs, len(p.Zones))
		for z := range candidate {
			candidate[z] = make([]arc, len(groups))
			for g := range groups {
				candidate[z][g].closed = set>>(z*len(groups)+g)&1 == 0
			}
		}
		solution, err := p.solve(nil, candidate)
		if err != nil {
			t.Fatal(err)
		}
		best = math.Max(best, solution.ObjectiveValue)
	}
	return best
}

// With a cost of connections proxies connect to few hosts. For small fleets the solution is the best over all sets of
// arcs; for larger ones the upper bound is close to the objective value.
func TestConnectionCosts(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 8}, Host{Zone: "a", Cores: 8}, Host{Zone: "b", Cores: 8}, Host{Zone: "b", Cores: 8})
	p.Proxies = map[string]int{"a": 4, "b": 4}
	if s := solve(t, p); s.Connections != 0 {
		t.Errorf("without a cost: got %d connections, want 0", s.Connections)
	}
	p.Objective.ConnectionCost = 0.001
	if s := solve(t, p); s.Connections != 8 || !near(s.ObjectiveValue, 1-0.008, 1e-6) {
		t.Errorf("with one host needed per zone: got %d connections and objective value %.7f, want 8 and 0.992",
			s.Connections, s.ObjectiveValue)
	}
	p.Objective.ConnectionCost = 0.2 // more than a connection can earn
	if s := solve(t, p); s.Connections != 0 || s.ObjectiveValue != 0 {
		t.Errorf("at too high a cost: got %d connections and objective value %g, want 0 and 0", s.Connections,
			s.ObjectiveValue)
	}
	random := rand.New(rand.NewPCG(31, 31))
	for n := range 100 {
		p := randomProblem(random, 1+random.IntN(4), 2, 2)
		p.Objective.ConnectionCost = 0.02 * random.Float64()
		p.Proxies = map[string]int{"zone0": random.IntN(4), "zone1": random.IntN(4)}
		s := solve(t, p)
		if want := bestOfAllArcSets(t, p); !near(s.ObjectiveValue, want, 1e-6) || !near(s.UpperBound, want, 1e-6) {
			t.Errorf("fleet %d: got objective value %.7f and upper bound %.7f, want the best over all sets of arcs, %.7f",
				n, s.ObjectiveValue, s.UpperBound, want)
		}
	}
	p = randomProblem(random, 12, 3, 3) // too many arcs to try all sets
	p.Objective.ConnectionCost, p.Proxies = 0.0004, map[string]int{"zone0": 3, "zone1": 3, "zone2": 3}
	s := solve(t, p)
	if s.UpperBound < s.ObjectiveValue || s.UpperBound > s.ObjectiveValue+0.01 {
		t.Errorf("got upper bound %.6f, want from the objective value %.6f to 0.01 above it", s.UpperBound,
			s.ObjectiveValue)
	}
	if s.Connections == 0 {
		t.Error("got 0 connections, want some")
	}
}

// The proxies of a zone get new tables only if the gain in the objective value exceeds the cost of the messages.
func TestChooseUpdates(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 1}, Host{Zone: "b", Cores: 3}, Host{Zone: "b", Cores: 3})
	p.Proxies = map[string]int{"a": 5, "b": 5}
	published := Tables{Weights: map[string]map[string]map[string]float64{}}
	for _, class := range p.Classes { // zone a overloads h1; zone b has the optimal weights
		published.Weights[class.Name] = map[string]map[string]float64{
			"a": {"h0": 1, "h1": 1},
			"b": {"h2": 1, "h3": 1},
		}
	}
	s := solve(t, p)
	p.Objective.UpdateCost = 0.001
	choice := p.ChooseUpdates(published, s)
	if len(choice.Zones) != 1 || choice.Zones[0] != "a" || choice.Messages != 5 {
		t.Errorf("got %d messages to zones %v, want 5 to [a]", choice.Messages, choice.Zones)
	}
	if !near(choice.ObjectiveValue, 1-0.005, 1e-6) || choice.CurrentValue > 0.95 {
		t.Errorf("got objective value %.7f after %.7f, want 0.995 after at most 0.95", choice.ObjectiveValue,
			choice.CurrentValue)
	}
	p.Objective.UpdateCost = 0.1
	choice = p.ChooseUpdates(published, s)
	if len(choice.Zones) != 0 || choice.Messages != 0 || choice.ObjectiveValue != choice.CurrentValue {
		t.Errorf("at a high cost: got %d messages to zones %v and objective value %g, want 0 to [] and the current %g",
			choice.Messages, choice.Zones, choice.ObjectiveValue, choice.CurrentValue)
	}
	p.Objective.UpdateCost = 0
	for z := range 9 { // more zones than maxSubsetZones
		p.Zones = append(p.Zones, string(rune('c'+z)))
	}
	if choice := p.ChooseUpdates(published, s); !near(choice.ObjectiveValue, 1, 1e-6) {
		t.Errorf("with many zones: got objective value %.7f, want 1", choice.ObjectiveValue)
	}
}

// A host that warms up gets the load that it can take at each stage.
func TestWarmUpStages(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4, WarmFraction: 0.25, WarmUpMs: 10000}, Host{Zone: "b", Cores: 2})
	stages, err := p.WarmUpStages()
	if err != nil {
		t.Fatal(err)
	}
	if len(stages) != 5 || stages[4].AtMs != 10000 {
		t.Fatalf("got stages %+v, want 5 with the last at 10000 ms", stages)
	}
	for i, stage := range stages {
		warmFraction := 0.25 + 0.75*float64(i)/4
		got, want := stage.Solution.EarningsPerS, 180+math.Min(60, (4*warmFraction+2-2)/0.2*3)
		if !near(got, want, 1e-6) {
			t.Errorf("at %.0f ms: got earnings %.7f per second, want %.7f", stage.AtMs, got, want)
		}
		if err := p.After(stage.AtMs).Verify(stage.Solution); err != nil {
			t.Errorf("at %.0f ms: %v", stage.AtMs, err)
		}
	}
	if stages, _ = fleet(Host{Zone: "a", Cores: 4}).WarmUpStages(); len(stages) != 1 {
		t.Errorf("with warm hosts: got %d stages, want 1", len(stages))
	}
}

// The plan of a drain takes into account that other hosts warm up: the only warm host is drained last, and without a
// loss, since the other one is warm by then.
func TestPlanDrainDuringWarmUp(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 8, WarmFraction: 0.25, WarmUpMs: 3000}, Host{Zone: "b", Cores: 6},
		Host{Zone: "b", Cores: 1})
	steps, err := p.PlanDrain([]string{"h2", "h1"},
		DrainPace{Proxies: 2, EntriesPerS: 1000, MessageOverhead: 5, GraceMs: 3000})
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 || steps[0].Hosts[0] != "h2" || steps[1].ObjectiveValue < 1-1e-6 {
		t.Errorf("got steps %+v, want 2, the first with h2, the second with objective value 1", steps)
	}
}

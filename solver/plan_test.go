package solver

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// A change applies to the returned problem only; an unknown host or zone or a negative factor is an error.
func TestWithChange(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 4})
	for _, test := range []struct {
		name      string
		change    Change
		wantSheet float64 // admission ratio
	}{
		{"no change", Change{}, 1},
		{"double demand", Change{DemandFactor: 2}, 0.5},
		{"lost zone", Change{LoseZones: []string{"b"}}, 0.5},
		{"drained host", Change{DrainHosts: []string{"h1"}}, 0.5},
		{"lost zone and added host", Change{
			LoseZones: []string{"b"},
			AddHosts:  []Host{{Name: "new", Zone: "a", Cores: 2, Speed: 1, WarmFraction: 1}},
		}, 1},
	} {
		changed, err := p.With(test.change)
		if err != nil {
			t.Fatal(err)
		}
		s := solve(t, changed)
		if !near(s.AdmissionRatio["sheet"], test.wantSheet, 1e-6) || !near(s.AdmissionRatio["finish"], 1, 1e-6) {
			t.Errorf("%s: got admission ratios %v, want sheet %g and finish 1", test.name, s.AdmissionRatio,
				test.wantSheet)
		}
	}
	for field, change := range map[string]Change{
		"drain":  {DrainHosts: []string{"x"}},
		"lose":   {LoseZones: []string{"x"}},
		"demand": {DemandFactor: -1},
	} {
		if _, err := p.With(change); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("invalid change: got error %v, want one of field %s", err, field)
		}
	}
	if p.Hosts[1].Draining || p.Demand["sheet"]["a"] != 10 {
		t.Errorf("got draining %t and demand %g in the original problem, want false and 10", p.Hosts[1].Draining,
			p.Demand["sheet"]["a"])
	}
}

// A plan drains hosts together while nothing is lost, then one by one, and waits for the messages and the grace of
// each step.
func TestPlanDrain(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 1}, Host{Zone: "b", Cores: 1}, Host{Zone: "b", Cores: 2})
	steps, err := p.PlanDrain([]string{"h0", "h1", "h2"},
		DrainPace{Proxies: 100, EntriesPerS: 7000, MessageOverhead: 6, GraceMs: 3000})
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 {
		t.Fatalf("got steps %+v, want 2", steps)
	}
	if len(steps[0].Hosts) != 2 || !near(steps[0].ObjectiveValue, 1, 1e-6) {
		t.Errorf("first step: got %+v, want 2 hosts and objective value 1", steps[0])
	}
	if steps[1].Hosts[0] != "h0" || steps[1].ObjectiveValue > 0.9 {
		t.Errorf("second step: got %+v, want h0 and an objective value of at most 0.9", steps[1])
	}
	if got, want := steps[1].AtMs-steps[0].AtMs, 3000+100*8.0/7; !near(got, want, 1e-6) {
		t.Errorf("got %.7f ms between the steps, want %.7f", got, want)
	}
}

// Measure uses the same model as the solver: no tables have a higher objective value than the optimum.
func TestMeasureGap(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 2})
	equalWeights := map[string]map[string]float64{"a": {"h0": 1, "h1": 1}, "b": {"h0": 1, "h1": 1}}
	gap, err := p.Measure(Tables{Weights: map[string]map[string]map[string]float64{
		"sheet":  equalWeights,
		"finish": equalWeights,
	}})
	if err != nil {
		t.Fatal(err)
	}
	// h1 gets the work of three cores and has two, so a third of its half of the requests is lost.
	if !near(gap.ObjectiveValue, 1-1.0/6, 1e-9) || !near(gap.BestValue, 1, 1e-6) {
		t.Errorf("got objective value %.10f and best value %.7f, want 5/6 and 1", gap.ObjectiveValue, gap.BestValue)
	}
	if !near(gap.Overloaded["h1"], 1.5, 1e-9) || !near(gap.WorkShift["h0"], 1, 1e-6) {
		t.Errorf("got overload %.10f of h1 and work shift %.7f to h0, want 1.5 and 1", gap.Overloaded["h1"],
			gap.WorkShift["h0"])
	}
	random := rand.New(rand.NewPCG(8, 8))
	for n := range 200 {
		p := randomProblem(random, 2+random.IntN(10), 2, 2)
		s := solve(t, p)
		solved, err := p.Measure(Tables{Weights: s.Weights, AdmissionRatio: s.AdmissionRatio})
		if err != nil {
			t.Fatal(err)
		}
		if solved.ObjectiveValue > solved.BestValue+1e-6 {
			t.Errorf("fleet %d, the solution's tables: got objective value %.7f, want at most the best value %.7f", n,
				solved.ObjectiveValue, solved.BestValue)
		}
		tables := Tables{Weights: map[string]map[string]map[string]float64{}}
		for _, class := range p.Classes {
			tables.Weights[class.Name] = map[string]map[string]float64{}
			for _, zone := range p.Zones {
				tables.Weights[class.Name][zone] = map[string]float64{}
				for _, host := range p.Hosts {
					tables.Weights[class.Name][zone][host.Name] = random.Float64()
				}
			}
		}
		measured, err := p.Measure(tables)
		if err != nil {
			t.Errorf("fleet %d, random tables: %v", n, err)
		} else if measured.ObjectiveValue > measured.BestValue+1e-6 {
			t.Errorf("fleet %d, random tables: got objective value %.7f, want at most the best value %.7f", n,
				measured.ObjectiveValue, measured.BestValue)
		}
	}
}

// Under uncertain capacities load is spread over more hosts, so that the worst case loses little, unless crossing
// zones costs more than that loss. A spread of 0 changes nothing.
func TestUncertainCapacities(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 4})
	p.Demand = map[string]map[string]float64{"sheet": {"a": 20}} // the work of four cores, all in zone a
	p.Objective.CrossZoneCost = 0.01
	certain := solve(t, p)
	if !near(certain.Utilization["h0"], 1, 1e-6) || certain.WorstCaseLossPerS != 0 {
		t.Errorf("certain capacities: got utilization %.7f of h0 and loss %g, want 1 and 0", certain.Utilization["h0"],
			certain.WorstCaseLossPerS)
	}
	p.Uncertainty = Uncertainty{Spread: 0.5, DegradedHosts: 1}
	s := solve(t, p)
	if !near(s.Utilization["h0"], 0.5, 1e-6) || !near(s.Utilization["h1"], 0.5, 1e-6) {
		t.Errorf("one host with half its capacity: got utilizations %v, want 0.5 of both", s.Utilization)
	}
	if !near(s.WorstCaseLossPerS, 0, 1e-6) || !near(s.EarningsPerS, certain.EarningsPerS, 1e-6) {
		t.Errorf("one host with half its capacity: got loss %g and earnings %.7f per second, want 0 and %.7f",
			s.WorstCaseLossPerS, s.EarningsPerS, certain.EarningsPerS)
	}
	p.Objective.CrossZoneCost = 2 // more than the loss: only the lowest capacity of h0 earns in the worst case
	s = solve(t, p)
	if got, want := s.EarningsPerS-s.WorstCaseLossPerS, 2/0.2*3; s.CrossZoneRate > 1e-9 || !near(got, want, 1e-6) {
		t.Errorf("expensive crossing: got %g requests per second across zones and worst-case earnings %.7f, want 0 and %g",
			s.CrossZoneRate, got, want)
	}
	random := rand.New(rand.NewPCG(9, 9))
	for n := range 100 {
		p := randomProblem(random, 2+random.IntN(12), 3, 2)
		certain := solve(t, p)
		p.Uncertainty = Uncertainty{Spread: 0.3, DegradedHosts: 1 + random.IntN(3)}
		s := solve(t, p)
		if s.ObjectiveValue > certain.ObjectiveValue+1e-6 || s.WorstCaseLossPerS < -1e-9 {
			t.Errorf("fleet %d: got objective value %.7f and loss %g, want at most the certain value %.7f and at least 0",
				n, s.ObjectiveValue, s.WorstCaseLossPerS, certain.ObjectiveValue)
		}
		p.Uncertainty = Uncertainty{DegradedHosts: 3}
		if got, want := solve(t, p).ObjectiveValue, certain.ObjectiveValue; !near(got, want, 1e-9) {
			t.Errorf("fleet %d, spread 0: got objective value %.10f, want %.10f", n, got, want)
		}
	}
	p.Uncertainty = Uncertainty{Spread: 2}
	if _, err := p.Solve(); err == nil || !strings.HasPrefix(err.Error(), "doubt") {
		t.Errorf("spread 2: got error %v, want one of field doubt", err)
	}
}

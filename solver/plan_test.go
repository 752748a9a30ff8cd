package solver

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// What-if questions change the problem and nothing else.
func TestChanges(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 4})
	for _, x := range []struct {
		c     Change
		sheet float64
	}{{Change{}, 1}, {Change{DemandFactor: 2}, 0.5}, {Change{LoseZones: []string{"b"}}, 0.5}, {Change{DrainHosts: []string{"h1"}}, 0.5},
		{Change{LoseZones: []string{"b"}, AddHosts: []Host{{Name: "new", Zone: "a", Cores: 2, Speed: 1, WarmFraction: 1}}}, 1}} {
		q, err := p.With(x.c)
		if err != nil {
			t.Fatal(err)
		}
		if s := solve(t, q); !near(s.AdmissionRatio["sheet"], x.sheet, 1e-6) || !near(s.AdmissionRatio["finish"], 1, 1e-6) {
			t.Errorf("%+v: %v", x.c, s.AdmissionRatio)
		}
	}
	for field, c := range map[string]Change{"drain": {DrainHosts: []string{"x"}}, "lose": {LoseZones: []string{"x"}}, "demand": {DemandFactor: -1}} {
		if _, err := p.With(c); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	if p.Hosts[1].Draining || p.Demand["sheet"]["a"] != 10 {
		t.Error("the first problem was changed")
	}
}

// Hosts are drained together while nothing is lost by it, then one by one, and never one without its grace.
func TestDrainInSteps(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 1}, Host{Zone: "b", Cores: 1}, Host{Zone: "b", Cores: 2})
	steps, err := p.PlanDrain([]string{"h0", "h1", "h2"}, DrainPace{Proxies: 100, EntriesPerS: 7000, MessageOverhead: 6, GraceMs: 3000})
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 || len(steps[0].Hosts) != 2 || !near(steps[0].ObjectiveValue, 1, 1e-6) || steps[1].Hosts[0] != "h0" || steps[1].ObjectiveValue > 0.9 {
		t.Errorf("%+v", steps)
	}
	if wait := steps[1].AtMs - steps[0].AtMs; !near(wait, 3000+100*8.0/7, 1e-6) {
		t.Errorf("the second step begins %.1f ms after the first", wait)
	}
}

// Tables are measured by the same model; none earns more than the solver's, and the solver's own have no gap.
func TestGap(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 2})
	even := map[string]map[string]float64{"a": {"h0": 1, "h1": 1}, "b": {"h0": 1, "h1": 1}}
	g, err := p.Measure(Tables{Weights: map[string]map[string]map[string]float64{"sheet": even, "finish": even}})
	if err != nil {
		t.Fatal(err)
	}
	// Three cores' work comes to h1, which has two: a third of half of all is lost.
	if !near(g.ObjectiveValue, 1-1.0/6, 1e-9) || !near(g.BestValue, 1, 1e-6) || !near(g.Overloaded["h1"], 1.5, 1e-9) || !near(g.WorkShift["h0"], 1, 1e-6) {
		t.Errorf("%+v", g)
	}
	random := rand.New(rand.NewPCG(8, 8))
	for n := range 200 {
		p := drawn(random, 2+random.IntN(10), 2, 2)
		s := solve(t, p)
		own, err := p.Measure(Tables{Weights: s.Weights, AdmissionRatio: s.AdmissionRatio})
		if err != nil {
			t.Fatal(err)
		}
		if own.ObjectiveValue > own.BestValue+1e-6 {
			t.Errorf("fleet %d: tables earn %.6f, the best is %.6f", n, own.ObjectiveValue, own.BestValue)
		}
		tables := Tables{Weights: map[string]map[string]map[string]float64{}}
		for _, k := range p.Classes {
			tables.Weights[k.Name] = map[string]map[string]float64{}
			for _, z := range p.Zones {
				tables.Weights[k.Name][z] = map[string]float64{}
				for _, h := range p.Hosts {
					tables.Weights[k.Name][z][h.Name] = random.Float64()
				}
			}
		}
		if some, err := p.Measure(tables); err != nil || some.ObjectiveValue > some.BestValue+1e-6 {
			t.Errorf("fleet %d: tables drawn at random earn %.6f, the best is %.6f, %v", n, some.ObjectiveValue, some.BestValue, err)
		}
	}
}

// Where capacities are doubted load is spread so that the worst hosts lose little, at the price of crossing; a spread
// of nothing changes nothing.
func TestDoubt(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 4})
	p.Demand = map[string]map[string]float64{"sheet": {"a": 20}} // four cores' work, all in zone a
	p.Objective.CrossZoneCost = 0.01
	plain := solve(t, p)
	if !near(plain.Utilization["h0"], 1, 1e-6) || plain.WorstCaseLossPerS != 0 {
		t.Errorf("without doubt: %+v", plain)
	}
	p.Uncertainty = Uncertainty{Spread: 0.5, DegradedHosts: 1}
	if s := solve(t, p); !near(s.Utilization["h0"], 0.5, 1e-6) || !near(s.Utilization["h1"], 0.5, 1e-6) || !near(s.WorstCaseLossPerS, 0, 1e-6) || !near(s.EarningsPerS, plain.EarningsPerS, 1e-6) {
		t.Errorf("one host may have half: %+v", s)
	}
	p.Objective.CrossZoneCost = 2 // dearer than the loss: what is earned for sure is what the host's least can do
	if s := solve(t, p); s.CrossZoneRate > 1e-9 || !near(s.EarningsPerS-s.WorstCaseLossPerS, 2/0.2*3, 1e-6) {
		t.Errorf("crossing dearer than the loss: %+v", s)
	}
	random := rand.New(rand.NewPCG(9, 9))
	for n := range 100 {
		p := drawn(random, 2+random.IntN(12), 3, 2)
		sure := solve(t, p)
		p.Uncertainty = Uncertainty{Spread: 0.3, DegradedHosts: 1 + random.IntN(3)}
		s := solve(t, p)
		if s.ObjectiveValue > sure.ObjectiveValue+1e-6 || s.WorstCaseLossPerS < -1e-9 {
			t.Errorf("fleet %d: %.6f with doubt, %.6f without, %.3f at risk", n, s.ObjectiveValue, sure.ObjectiveValue, s.WorstCaseLossPerS)
		}
		p.Uncertainty = Uncertainty{DegradedHosts: 3}
		if again := solve(t, p); !near(again.ObjectiveValue, sure.ObjectiveValue, 1e-9) {
			t.Errorf("fleet %d: a spread of nothing changes %.9f to %.9f", n, sure.ObjectiveValue, again.ObjectiveValue)
		}
	}
	p.Uncertainty = Uncertainty{Spread: 2}
	if _, err := p.Solve(); err == nil || !strings.HasPrefix(err.Error(), "doubt") {
		t.Error(err)
	}
}

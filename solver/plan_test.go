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
	}{{Change{}, 1}, {Change{Demand: 2}, 0.5}, {Change{Lose: []string{"b"}}, 0.5}, {Change{Drain: []string{"h1"}}, 0.5},
		{Change{Lose: []string{"b"}, Add: []Host{{Name: "new", Zone: "a", Cores: 2, Speed: 1, Warm: 1}}}, 1}} {
		q, err := p.With(x.c)
		if err != nil {
			t.Fatal(err)
		}
		if s := solve(t, q); !near(s.Share["sheet"], x.sheet, 1e-6) || !near(s.Share["finish"], 1, 1e-6) {
			t.Errorf("%+v: %v", x.c, s.Share)
		}
	}
	for field, c := range map[string]Change{"drain": {Drain: []string{"x"}}, "lose": {Lose: []string{"x"}}, "demand": {Demand: -1}} {
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
	steps, err := p.Drain([]string{"h0", "h1", "h2"}, Pace{Proxies: 100, LinesPerS: 7000, Head: 6, Grace: 3000})
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 || len(steps[0].Hosts) != 2 || !near(steps[0].Result, 1, 1e-6) || steps[1].Hosts[0] != "h0" || steps[1].Result > 0.9 {
		t.Errorf("%+v", steps)
	}
	if wait := steps[1].At - steps[0].At; !near(wait, 3000+100*8.0/7, 1e-6) {
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
	if !near(g.Result, 1-1.0/6, 1e-9) || !near(g.Best, 1, 1e-6) || !near(g.Over["h1"], 1.5, 1e-9) || !near(g.Shift["h0"], 1, 1e-6) {
		t.Errorf("%+v", g)
	}
	random := rand.New(rand.NewPCG(8, 8))
	for n := range 200 {
		p := drawn(random, 2+random.IntN(10), 2, 2)
		s := solve(t, p)
		own, err := p.Measure(Tables{Weights: s.Weights, Share: s.Share})
		if err != nil {
			t.Fatal(err)
		}
		if own.Result > own.Best+1e-6 {
			t.Errorf("fleet %d: tables earn %.6f, the best is %.6f", n, own.Result, own.Best)
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
		if some, err := p.Measure(tables); err != nil || some.Result > some.Best+1e-6 {
			t.Errorf("fleet %d: tables drawn at random earn %.6f, the best is %.6f, %v", n, some.Result, some.Best, err)
		}
	}
}

// Where capacities are doubted load is spread so that the worst hosts lose little, at the price of crossing; a spread
// of nothing changes nothing.
func TestDoubt(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 4}, Host{Zone: "b", Cores: 4})
	p.Demand = map[string]map[string]float64{"sheet": {"a": 20}} // four cores' work, all in zone a
	p.Goal.Cross = 0.01
	plain := solve(t, p)
	if !near(plain.Load["h0"], 1, 1e-6) || plain.AtRisk != 0 {
		t.Errorf("without doubt: %+v", plain)
	}
	p.Doubt = Doubt{Spread: 0.5, Worst: 1}
	if s := solve(t, p); !near(s.Load["h0"], 0.5, 1e-6) || !near(s.Load["h1"], 0.5, 1e-6) || !near(s.AtRisk, 0, 1e-6) || !near(s.Earned, plain.Earned, 1e-6) {
		t.Errorf("one host may have half: %+v", s)
	}
	p.Goal.Cross = 2 // dearer than the loss: what is earned for sure is what the host's least can do
	if s := solve(t, p); s.Crossing > 1e-9 || !near(s.Earned-s.AtRisk, 2/0.2*3, 1e-6) {
		t.Errorf("crossing dearer than the loss: %+v", s)
	}
	random := rand.New(rand.NewPCG(9, 9))
	for n := range 100 {
		p := drawn(random, 2+random.IntN(12), 3, 2)
		sure := solve(t, p)
		p.Doubt = Doubt{Spread: 0.3, Worst: 1 + random.IntN(3)}
		s := solve(t, p)
		if s.Result > sure.Result+1e-6 || s.AtRisk < -1e-9 {
			t.Errorf("fleet %d: %.6f with doubt, %.6f without, %.3f at risk", n, s.Result, sure.Result, s.AtRisk)
		}
		p.Doubt = Doubt{Worst: 3}
		if again := solve(t, p); !near(again.Result, sure.Result, 1e-9) {
			t.Errorf("fleet %d: a spread of nothing changes %.9f to %.9f", n, sure.Result, again.Result)
		}
	}
	p.Doubt = Doubt{Spread: 2}
	if _, err := p.Solve(); err == nil || !strings.HasPrefix(err.Error(), "doubt") {
		t.Error(err)
	}
}

package solver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func near(a, b, within float64) bool { return math.Abs(a-b) <= within }

// two classes and two zones; finish earns more for less work.
func fleet(hosts ...Host) *Problem {
	for i := range hosts {
		h := &hosts[i]
		if h.Name == "" {
			h.Name = fmt.Sprint("h", i)
		}
		if h.Speed == 0 {
			h.Speed = 1
		}
		if h.WarmFraction == 0 {
			h.WarmFraction = 1
		}
	}
	return &Problem{Zones: []string{"a", "b"}, Hosts: hosts, Objective: Objective{TotalWeight: 1},
		Classes: []Class{{Name: "sheet", Earnings: 3, WorkMs: 200}, {Name: "finish", Earnings: 9, WorkMs: 100}},
		Demand:  map[string]map[string]float64{"sheet": {"a": 10, "b": 10}, "finish": {"a": 10, "b": 10}}}
}

func solve(t *testing.T, p *Problem) *Solution {
	t.Helper()
	s, err := p.Solve()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Verify(s); err != nil {
		t.Fatal(err)
	}
	return s
}

// With capacity short of demand the least earnings for a unit of work go first, unless the worst class counts.
func TestShortage(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 2}, Host{Zone: "b", Cores: 2}) // 4 of 6 cores' work
	s := solve(t, p)
	if !near(s.AdmissionRatio["finish"], 1, 1e-6) || !near(s.AdmissionRatio["sheet"], 0.5, 1e-6) || !near(s.EarningsPerS, 9*20+3*10, 1e-6) {
		t.Errorf("%+v", s)
	}
	if !near(s.DualPrice["h0"], 3/0.2, 1e-6) { // a core more serves five sheets a second more
		t.Errorf("prices %v", s.DualPrice)
	}
	p.Objective = Objective{TotalWeight: 0.1, WorstClassWeight: 0.9}
	if s = solve(t, p); !near(s.AdmissionRatio["finish"], s.AdmissionRatio["sheet"], 1e-6) || !near(s.AdmissionRatio["sheet"], 4.0/6, 1e-6) {
		t.Errorf("for the worst class: %+v", s.AdmissionRatio)
	}
	p.Objective, p.Classes[0].MinAdmissionRatio = Objective{TotalWeight: 1}, 0.8
	if s = solve(t, p); !near(s.AdmissionRatio["sheet"], 0.8, 1e-6) || len(s.UnmetMinimums) != 0 || !near(s.AdmissionRatio["finish"], 0.4, 1e-6) {
		t.Errorf("with a least share: %+v", s)
	}
	p.Classes[1].MinAdmissionRatio = 0.9 // 0.8 x 4 + 0.9 x 2 = 5 cores of 4
	if s = solve(t, p); len(s.UnmetMinimums) == 0 || !strings.Contains(strings.Join(s.UnmetMinimums, ""), "least share") {
		t.Errorf("bounds in conflict: %+v", s)
	}
}

// Zones: near hosts first, others at the price of crossing; a class that may not cross is shed instead.
func TestZones(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 3}, Host{Zone: "b", Cores: 3})
	if s := solve(t, p); s.CrossZoneRate > 1e-9 || s.Weights["sheet"]["a"]["h0"] != 1 {
		t.Errorf("crossing without need: %+v", s)
	}
	p.Hosts[1].Draining, p.Hosts[0].Cores = true, 8
	if s := solve(t, p); !near(s.CrossZoneRate, 20, 1e-6) || !near(s.EarningsPerS, s.DemandEarningsPerS, 1e-6) {
		t.Errorf("a drained zone is served from the other: %+v", s)
	}
	p.Classes[0].ZoneLocal = true
	if s := solve(t, p); !near(s.ZoneAdmissionRatio["sheet"]["b"], 0, 1e-9) || !near(s.AdmissionRatio["sheet"], 0.5, 1e-6) {
		t.Errorf("a local class: %+v", s)
	}
	p.Objective.CrossZoneCost = 10 // dearer than what is earned
	p.Classes[0].ZoneLocal = false
	if s := solve(t, p); s.CrossZoneRate > 1e-6 {
		t.Errorf("crossing at a loss: %+v", s)
	}
}

// Hosts that cannot take anything, or little: cold ones by what they have, draining and empty ones not at all.
func TestHardFleets(t *testing.T) {
	for name, p := range map[string]*Problem{
		"no host":               fleet(),
		"a host of no capacity": fleet(Host{Zone: "a", Cores: 0}),
		"all drain":             fleet(Host{Zone: "a", Cores: 9, Draining: true}),
	} {
		s := solve(t, p)
		if s.EarningsPerS != 0 || len(s.Weights["sheet"]["a"]) != 0 {
			t.Errorf("%s: %+v", name, s)
		}
	}
	cold := fleet(Host{Zone: "a", Cores: 10, WarmFraction: 0.15}, Host{Zone: "b", Cores: 10, WarmFraction: 0.3})
	if s := solve(t, cold); !near(s.AdmissionRatio["finish"], 1, 1e-6) || !near(s.AdmissionRatio["sheet"], 0.625, 1e-6) {
		t.Errorf("all cold: %+v", s)
	}
	wide := fleet(Host{Zone: "a", Cores: 1e6}, Host{Zone: "b", Cores: 1e-3})
	wide.Classes[0].Earnings = 1e-6
	wide.Classes[1].Earnings = 1e3
	if s := solve(t, wide); !near(s.AdmissionRatio["finish"], 1, 1e-6) || !near(s.AdmissionRatio["sheet"], 1, 1e-6) {
		t.Errorf("figures that differ by 1e9: %+v", s)
	}
	none := fleet(Host{Zone: "a", Cores: 9})
	none.Demand = nil
	if s := solve(t, none); s.DemandEarningsPerS != 0 || s.AdmissionRatio["sheet"] != 1 {
		t.Errorf("no demand: %+v", s)
	}
	p := fleet(Host{Zone: "a", Cores: 2}, Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 4, MaxUtilization: 0.25})
	s := solve(t, p)
	if w := s.Weights["finish"]["a"]; !near(w["h1"], 2*w["h0"], 1e-9) || s.Utilization["h2"] > 1+1e-9 {
		t.Errorf("hosts alike share by their caps: %v", w)
	}
	if again := solve(t, p); !reflect.DeepEqual(s, again) {
		t.Error("two answers to one problem")
	}
	for field, bad := range map[string]func(*Problem){
		"hosts[0].zone":  func(p *Problem) { p.Hosts[0].Zone = "c" },
		"classes[sheet]": func(p *Problem) { p.Classes[0].WorkMs = math.NaN() },
		"demand":         func(p *Problem) { p.Demand["sheet"]["a"] = -1 },
		"hosts[0]":       func(p *Problem) { p.Hosts[0].Cores = math.Inf(1) },
	} {
		p := fleet(Host{Zone: "a", Cores: 2})
		bad(p)
		if _, err := p.Solve(); err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// The cap of the design: mu - K, and half of mu at least.
func TestCap(t *testing.T) {
	k := math.Log(20) / 1000 * 1000 // d of a second
	if !near(DeadlineCapacity(10, 1000), 10-k, 1e-9) || DeadlineCapacity(4, 1000) != 2 || DeadlineCapacity(10, 0) != 10 {
		t.Errorf("%g %g %g", DeadlineCapacity(10, 1000), DeadlineCapacity(4, 1000), DeadlineCapacity(10, 0))
	}
}

// exhaustive finds the best whole-numbered flow by trying all; with work, demand and caps in whole cores the optimum
// of the programme, a transport problem, is whole-numbered too.
func exhaustive(p *Problem, caps []int) float64 {
	type need struct{ c, z, n int }
	var needs []need
	total := 0.0
	for c := range p.Classes {
		for z := range p.Zones {
			needs = append(needs, need{c, z, int(p.demand(c, z))})
			total += p.demand(c, z)
		}
	}
	var deal func(k, g, left int) float64
	deal = func(k, g, left int) float64 {
		if k == len(needs) {
			return 0
		}
		if g == len(p.Hosts) {
			if k+1 == len(needs) {
				return 0
			}
			return deal(k+1, 0, needs[k+1].n)
		}
		best := math.Inf(-1)
		for n := 0; n <= min(left, caps[g]); n++ {
			gain := p.Classes[needs[k].c].Earnings
			if p.Hosts[g].Zone != p.Zones[needs[k].z] {
				gain -= p.Objective.CrossZoneCost * asked(p) / total // the goal counts crossings as a part of the result
			}
			caps[g] -= n
			best = math.Max(best, float64(n)*gain+deal(k, g+1, left-n))
			caps[g] += n
		}
		return best
	}
	return deal(0, 0, needs[0].n)
}

func asked(p *Problem) (e float64) {
	for c, k := range p.Classes {
		for z := range p.Zones {
			e += k.Earnings * p.demand(c, z)
		}
	}
	return e
}

// On 2,000 small fleets the solver earns what trying all flows does, and every answer keeps its bounds.
func TestAgainstExhaustiveSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for n := range 2000 {
		p := &Problem{Zones: []string{"a", "b"}, Objective: Objective{TotalWeight: 1, CrossZoneCost: []float64{0, 0.1, 0.6}[random.IntN(3)]},
			Classes: []Class{{Name: "sheet", Earnings: float64(1 + random.IntN(4)), WorkMs: 1000}, {Name: "finish", Earnings: float64(1 + random.IntN(9)), WorkMs: 1000}},
			Demand:  map[string]map[string]float64{}}
		for _, c := range p.Classes {
			p.Demand[c.Name] = map[string]float64{"a": float64(random.IntN(4)), "b": float64(random.IntN(4))}
		}
		var caps []int
		for h := range 1 + random.IntN(3) {
			cores := random.IntN(5)
			caps = append(caps, cores)
			p.Hosts = append(p.Hosts, Host{Name: fmt.Sprint(h), Zone: p.Zones[random.IntN(2)], Cores: float64(cores), Speed: 1, WarmFraction: 1})
		}
		if asked(p) == 0 {
			continue
		}
		s := solve(t, p)
		want := exhaustive(p, caps) / asked(p)
		if !near(s.ObjectiveValue, want, 1e-5) {
			t.Fatalf("fleet %d: %.6f, all tried %.6f: %+v", n, s.ObjectiveValue, want, p)
		}
	}
}

// Fleets drawn at random with unequal works, factors, prices and bounds: every answer is checked anew, and no small
// change of it earns more.
func TestNoChangeEarnsMore(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	for n := range 300 {
		p := drawn(random, 2+random.IntN(20), 3, 3)
		p.Objective = Objective{TotalWeight: 1, CrossZoneCost: 0.1 * random.Float64()}
		s := solve(t, p)
		// One more core of a host earns what its price says, as long as the basis stays.
		h := random.IntN(len(p.Hosts))
		const step = 1e-4
		more := *p
		more.Hosts = append([]Host(nil), p.Hosts...)
		more.Hosts[h].Cores += step
		more.DeadlineMeans, p.DeadlineMeans = 0, 0
		b, a := solve(t, &more), solve(t, p)
		gain := (b.ObjectiveValue - a.ObjectiveValue) * a.DemandEarningsPerS / step
		if price := a.DualPrice[p.Hosts[h].Name]; gain < -1e-4*a.DemandEarningsPerS || gain > price+1e-2*(1+price) && p.Hosts[h].WarmFraction == 1 && price > 0 {
			t.Errorf("fleet %d: a core more at %s earns %.4f, its price is %.4f", n, p.Hosts[h].Name, gain, price)
		}
		if s.ObjectiveValue > 1+1e-9 {
			t.Errorf("fleet %d: a result of %g", n, s.ObjectiveValue)
		}
	}
}

// drawn is a fleet drawn at random.
func drawn(random *rand.Rand, hosts, zones, classes int) *Problem {
	p := &Problem{DeadlineMeans: 3.2, Objective: Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, CrossZoneCost: 0.05}, Demand: map[string]map[string]float64{}}
	for z := range zones {
		p.Zones = append(p.Zones, fmt.Sprint("zone", z))
	}
	for c := range classes {
		k := Class{Name: fmt.Sprint("class", c), Earnings: 1 + 9*random.Float64(), WorkMs: 20 + 400*random.Float64()}
		p.Classes, p.Demand[k.Name] = append(p.Classes, k), map[string]float64{}
		for _, z := range p.Zones {
			p.Demand[k.Name][z] = 4 * float64(hosts) * random.Float64() / float64(zones*classes) * 10
		}
	}
	for h := range hosts {
		x := Host{Name: fmt.Sprint("host", h), Zone: p.Zones[random.IntN(zones)], Cores: float64(1 + random.IntN(8)), Speed: 0.5 + random.Float64(), WarmFraction: 1}
		if kind := random.IntN(4); kind == 0 {
			x.WorkFactor = map[string]float64{"class0": 2}
		}
		p.Hosts = append(p.Hosts, x)
	}
	return p
}

// Beginning from an earlier answer leads to what beginning from nothing does.
func TestSolveFrom(t *testing.T) {
	random := rand.New(rand.NewPCG(12, 12))
	for n := range 200 {
		p := drawn(random, 3+random.IntN(20), 3, 3)
		last := solve(t, p)
		for range 3 {
			for _, by := range p.Demand {
				for zone := range by {
					by[zone] *= 0.9 + 0.2*random.Float64()
				}
			}
			if random.IntN(3) == 0 {
				p.Hosts[random.IntN(len(p.Hosts))].Draining = true
			}
			s, err := p.SolveFrom(last)
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Verify(s); err != nil {
				t.Fatal(err)
			}
			if plain := solve(t, p); !near(s.ObjectiveValue, plain.ObjectiveValue, 1e-6) {
				t.Errorf("fleet %d: %.7f from an earlier answer, %.7f from nothing", n, s.ObjectiveValue, plain.ObjectiveValue)
			}
			last = s
		}
	}
}

// BenchmarkAgain solves a fleet of 75 kinds of hosts anew: from nothing, from its last answer after earnings changed,
// and after demand changed, which more often leaves the earlier answer outside the bounds.
func BenchmarkAgain(b *testing.B) {
	p := drawn(rand.New(rand.NewPCG(7, 7)), 506, 3, 4)
	for h := range p.Hosts {
		p.Hosts[h].WorkFactor = map[string]float64{"class1": 1 + float64(h%25)/100}
	}
	last, err := p.Solve()
	if err != nil {
		b.Fatal(err)
	}
	for _, x := range []struct {
		name           string
		from           *Solution
		earn, demanded float64
	}{{"from-nothing", nil, 0, 0}, {"earnings-changed", last, 0.01, 0}, {"demand-changed", last, 0, 0.001}} {
		b.Run(x.name, func(b *testing.B) {
			for n := range b.N {
				q, by := *p, float64(n%3-1)
				q.Classes = append([]Class(nil), p.Classes...)
				q.Classes[0].Earnings *= 1 + x.earn*by
				q.Demand = map[string]map[string]float64{}
				for class, zones := range p.Demand {
					q.Demand[class] = map[string]float64{}
					for zone, d := range zones {
						q.Demand[class][zone] = d * (1 + x.demanded*by)
					}
				}
				if _, err := q.SolveFrom(x.from); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSolve(b *testing.B) {
	for _, n := range []struct{ hosts, zones, classes int }{{506, 3, 4}, {5000, 3, 4}} {
		b.Run(fmt.Sprint(n.hosts), func(b *testing.B) {
			p := drawn(rand.New(rand.NewPCG(7, 7)), n.hosts, n.zones, n.classes)
			for range b.N {
				if _, err := p.Solve(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

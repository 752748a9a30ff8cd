package solver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

// fleet returns a problem with two zones and two classes, of which finish earns more for less work. Hosts get the
// names h0, h1 and so on, and speed and warm fraction 1 where they have none.
func fleet(hosts ...Host) *Problem {
	for i := range hosts {
		host := &hosts[i]
		if host.Name == "" {
			host.Name = fmt.Sprint("h", i)
		}
		if host.Speed == 0 {
			host.Speed = 1
		}
		if host.WarmFraction == 0 {
			host.WarmFraction = 1
		}
	}
	return &Problem{
		Zones:     []string{"a", "b"},
		Hosts:     hosts,
		Objective: Objective{TotalWeight: 1},
		Classes:   []Class{{Name: "sheet", Earnings: 3, WorkMs: 200}, {Name: "finish", Earnings: 9, WorkMs: 100}},
		Demand:    map[string]map[string]float64{"sheet": {"a": 10, "b": 10}, "finish": {"a": 10, "b": 10}},
	}
}

// solve solves a problem and verifies the solution.
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

// checkAdmissionRatios checks the admission ratios of the classes of fleet.
func checkAdmissionRatios(t *testing.T, name string, s *Solution, wantSheet, wantFinish float64) {
	t.Helper()
	if !near(s.AdmissionRatio["sheet"], wantSheet, 1e-6) || !near(s.AdmissionRatio["finish"], wantFinish, 1e-6) {
		t.Errorf("%s: got admission ratios %v, want sheet %g and finish %g", name, s.AdmissionRatio, wantSheet,
			wantFinish)
	}
}

// When the demand exceeds the capacity, the class with the lowest earnings for its work is shed first, unless the
// objective weighs the worst class or a class has a minimum admission ratio.
func TestCapacityShortage(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 2}, Host{Zone: "b", Cores: 2}) // the demand is the work of 6 cores
	s := solve(t, p)
	checkAdmissionRatios(t, "total earnings", s, 0.5, 1)
	if want := 9*20 + 3*10.0; !near(s.EarningsPerS, want, 1e-6) {
		t.Errorf("total earnings: got %.7f per second, want %g", s.EarningsPerS, want)
	}
	if want := 3 / 0.2; !near(s.DualPrice["h0"], want, 1e-6) { // a further core serves 5 more sheets per second
		t.Errorf("got dual price %.7f of h0, want %g", s.DualPrice["h0"], want)
	}
	p.Objective = Objective{TotalWeight: 0.1, WorstClassWeight: 0.9}
	s = solve(t, p)
	if got, want := s.AdmissionRatio["sheet"], s.AdmissionRatio["finish"]; !near(got, want, 1e-6) {
		t.Errorf("worst class: got admission ratio %.7f of sheet, want %.7f as for finish", got, want)
	}
	if got, want := s.AdmissionRatio["sheet"], 4.0/6; !near(got, want, 1e-6) {
		t.Errorf("worst class: got admission ratio %.7f of sheet, want %.7f", got, want)
	}
	p.Objective, p.Classes[0].MinAdmissionRatio = Objective{TotalWeight: 1}, 0.8
	s = solve(t, p)
	checkAdmissionRatios(t, "minimum admission ratio", s, 0.8, 0.4)
	if len(s.UnmetMinimums) != 0 {
		t.Errorf("minimum admission ratio: got unmet minimums %q, want none", s.UnmetMinimums)
	}
	p.Classes[1].MinAdmissionRatio = 0.9 // 0.8 x 4 + 0.9 x 2 = 5 cores of 4
	s = solve(t, p)
	if len(s.UnmetMinimums) == 0 || !strings.Contains(strings.Join(s.UnmetMinimums, ""), "least share") {
		t.Errorf("minimums above the capacity: got unmet minimums %q, want one with \"least share\"", s.UnmetMinimums)
	}
}

// Hosts in the proxy's own zone come first, and others only if their earnings exceed the cost of crossing zones. A
// zone-local class is shed instead.
func TestZones(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 3}, Host{Zone: "b", Cores: 3})
	s := solve(t, p)
	if s.CrossZoneRate > 1e-9 || s.Weights["sheet"]["a"]["h0"] != 1 {
		t.Errorf("enough capacity in each zone: got %g requests per second across zones and weight %g of h0, want 0 and 1",
			s.CrossZoneRate, s.Weights["sheet"]["a"]["h0"])
	}
	p.Hosts[1].Draining, p.Hosts[0].Cores = true, 8
	s = solve(t, p)
	if !near(s.CrossZoneRate, 20, 1e-6) || !near(s.EarningsPerS, s.DemandEarningsPerS, 1e-6) {
		t.Errorf("drained zone: got %.7f requests per second across zones and earnings %.7f, want 20 and %.7f",
			s.CrossZoneRate, s.EarningsPerS, s.DemandEarningsPerS)
	}
	p.Classes[0].ZoneLocal = true
	s = solve(t, p)
	if !near(s.ZoneAdmissionRatio["sheet"]["b"], 0, 1e-9) || !near(s.AdmissionRatio["sheet"], 0.5, 1e-6) {
		t.Errorf("zone-local class: got admission ratio %g in zone b and %.7f in total, want 0 and 0.5",
			s.ZoneAdmissionRatio["sheet"]["b"], s.AdmissionRatio["sheet"])
	}
	p.Objective.CrossZoneCost = 10 // more than requests earn
	p.Classes[0].ZoneLocal = false
	if s := solve(t, p); s.CrossZoneRate > 1e-6 {
		t.Errorf("expensive crossing: got %g requests per second across zones, want 0", s.CrossZoneRate)
	}
}

// Without capacity nothing is served.
func TestNoCapacity(t *testing.T) {
	for name, p := range map[string]*Problem{
		"no hosts":              fleet(),
		"host without capacity": fleet(Host{Zone: "a", Cores: 0}),
		"draining host":         fleet(Host{Zone: "a", Cores: 9, Draining: true}),
	} {
		s := solve(t, p)
		if s.EarningsPerS != 0 || len(s.Weights["sheet"]["a"]) != 0 {
			t.Errorf("%s: got earnings %g per second and weights %v, want 0 and none", name, s.EarningsPerS,
				s.Weights["sheet"]["a"])
		}
	}
}

// Hosts that are warming up get the load for their present capacity, hosts of very different capacity can be combined,
// and there may be no demand.
func TestExtremeFleets(t *testing.T) {
	cold := fleet(Host{Zone: "a", Cores: 10, WarmFraction: 0.15}, Host{Zone: "b", Cores: 10, WarmFraction: 0.3})
	checkAdmissionRatios(t, "cold hosts", solve(t, cold), 0.625, 1)
	wide := fleet(Host{Zone: "a", Cores: 1e6}, Host{Zone: "b", Cores: 1e-3})
	wide.Classes[0].Earnings = 1e-6
	wide.Classes[1].Earnings = 1e3
	checkAdmissionRatios(t, "capacities and earnings that differ by 1e9", solve(t, wide), 1, 1)
	none := fleet(Host{Zone: "a", Cores: 9})
	none.Demand = nil
	if s := solve(t, none); s.DemandEarningsPerS != 0 || s.AdmissionRatio["sheet"] != 1 {
		t.Errorf("no demand: got demand earnings %g per second and admission ratio %g, want 0 and 1",
			s.DemandEarningsPerS, s.AdmissionRatio["sheet"])
	}
}

// Equal hosts get weights in proportion to their capacities, and the same problem always has the same solution.
func TestEqualHosts(t *testing.T) {
	p := fleet(Host{Zone: "a", Cores: 2}, Host{Zone: "a", Cores: 4}, Host{Zone: "a", Cores: 4, MaxUtilization: 0.25})
	s := solve(t, p)
	weights := s.Weights["finish"]["a"]
	if !near(weights["h1"], 2*weights["h0"], 1e-9) || s.Utilization["h2"] > 1+1e-9 {
		t.Errorf("got weights %v and utilization %.10f of h2, want twice the weight of h0 for h1 and at most 1", weights,
			s.Utilization["h2"])
	}
	if again := solve(t, p); !reflect.DeepEqual(s, again) {
		t.Errorf("got solution %+v, want the same as before, %+v", again, s)
	}
}

// An invalid problem is rejected with an error that names the field.
func TestInvalidProblems(t *testing.T) {
	for field, invalidate := range map[string]func(*Problem){
		"hosts[0].zone":  func(p *Problem) { p.Hosts[0].Zone = "c" },
		"classes[sheet]": func(p *Problem) { p.Classes[0].WorkMs = math.NaN() },
		"demand":         func(p *Problem) { p.Demand["sheet"]["a"] = -1 },
		"hosts[0]":       func(p *Problem) { p.Hosts[0].Cores = math.Inf(1) },
	} {
		p := fleet(Host{Zone: "a", Cores: 2})
		invalidate(p)
		if _, err := p.Solve(); err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("got error %v, want one of field %s", err, field)
		}
	}
}

// The deadline-guaranteed capacity is mu - K, and at least half of mu.
func TestDeadlineCapacity(t *testing.T) {
	margin := math.Log(20) // K for a deadline of a second
	for _, test := range []struct{ mu, deadlineMs, want, tolerance float64 }{
		{10, 1000, 10 - margin, 1e-9},
		{4, 1000, 2, 0},
		{10, 0, 10, 0},
	} {
		if got := DeadlineCapacity(test.mu, test.deadlineMs); !near(got, test.want, test.tolerance) {
			t.Errorf("service rate %g, deadline %g ms: got capacity %.10f, want %.10f", test.mu, test.deadlineMs, got,
				test.want)
		}
	}
}

// bestIntegralFlow returns the highest earnings of all integral flows. If work, demand and capacities are whole
// numbers of cores, the program is a transportation problem, whose optimum is integral.
func bestIntegralFlow(p *Problem, capacities []int) float64 {
	type classDemand struct{ class, zone, requests int }
	var demands []classDemand
	total := 0.0
	for c := range p.Classes {
		for z := range p.Zones {
			demands = append(demands, classDemand{c, z, int(p.demand(c, z))})
			total += p.demand(c, z)
		}
	}
	// assign returns the highest earnings of the demands from index d on, with the hosts from index h on for the rest
	// of demand d.
	var assign func(d, h, rest int) float64
	assign = func(d, h, rest int) float64 {
		if d == len(demands) {
			return 0
		}
		if h == len(p.Hosts) {
			if d+1 == len(demands) {
				return 0
			}
			return assign(d+1, 0, demands[d+1].requests)
		}
		best := math.Inf(-1)
		for requests := 0; requests <= min(rest, capacities[h]); requests++ {
			earnings := p.Classes[demands[d].class].Earnings
			if p.Hosts[h].Zone != p.Zones[demands[d].zone] {
				earnings -= p.Objective.CrossZoneCost * demandEarnings(p) / total // in units of earnings
			}
			capacities[h] -= requests
			best = math.Max(best, float64(requests)*earnings+assign(d, h+1, rest-requests))
			capacities[h] += requests
		}
		return best
	}
	return assign(0, 0, demands[0].requests)
}

// demandEarnings returns the earnings per second if all demand were served.
func demandEarnings(p *Problem) (earnings float64) {
	for c, class := range p.Classes {
		for z := range p.Zones {
			earnings += class.Earnings * p.demand(c, z)
		}
	}
	return earnings
}

// For 2,000 random small fleets the objective value equals that of an exhaustive search.
func TestAgainstExhaustiveSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for n := range 2000 {
		p := &Problem{
			Zones:     []string{"a", "b"},
			Objective: Objective{TotalWeight: 1, CrossZoneCost: []float64{0, 0.1, 0.6}[random.IntN(3)]},
			Classes: []Class{
				{Name: "sheet", Earnings: float64(1 + random.IntN(4)), WorkMs: 1000},
				{Name: "finish", Earnings: float64(1 + random.IntN(9)), WorkMs: 1000},
			},
			Demand: map[string]map[string]float64{},
		}
		for _, class := range p.Classes {
			p.Demand[class.Name] = map[string]float64{"a": float64(random.IntN(4)), "b": float64(random.IntN(4))}
		}
		var capacities []int
		for h := range 1 + random.IntN(3) {
			cores := random.IntN(5)
			capacities = append(capacities, cores)
			p.Hosts = append(p.Hosts, Host{
				Name:         fmt.Sprint(h),
				Zone:         p.Zones[random.IntN(2)],
				Cores:        float64(cores),
				Speed:        1,
				WarmFraction: 1,
			})
		}
		if demandEarnings(p) == 0 {
			continue
		}
		s := solve(t, p)
		want := bestIntegralFlow(p, capacities) / demandEarnings(p)
		if !near(s.ObjectiveValue, want, 1e-5) {
			t.Fatalf("fleet %d: got objective value %.6f, want %.6f of the exhaustive search; problem %+v", n,
				s.ObjectiveValue, want, p)
		}
	}
}

// For random fleets a slightly larger capacity of a host never lowers the objective value, and raises it by no more
// than the host's dual price.
func TestDualPrices(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	for n := range 300 {
		p := randomProblem(random, 2+random.IntN(20), 3, 3)
		p.Objective = Objective{TotalWeight: 1, CrossZoneCost: 0.1 * random.Float64()}
		s := solve(t, p)
		h := random.IntN(len(p.Hosts))
		const coreStep = 1e-4 // small, since the dual price holds only as long as the basis stays optimal
		larger := *p
		larger.Hosts = append([]Host(nil), p.Hosts...)
		larger.Hosts[h].Cores += coreStep
		larger.DeadlineMeans, p.DeadlineMeans = 0, 0
		after, before := solve(t, &larger), solve(t, p)
		gain := (after.ObjectiveValue - before.ObjectiveValue) * before.DemandEarningsPerS / coreStep
		price := before.DualPrice[p.Hosts[h].Name]
		if gain < -1e-4*before.DemandEarningsPerS ||
			gain > price+1e-2*(1+price) && p.Hosts[h].WarmFraction == 1 && price > 0 {
			t.Errorf("fleet %d: got a gain of %.4f per second and core of host %s, want from 0 to the dual price %.4f", n,
				gain, p.Hosts[h].Name, price)
		}
		if s.ObjectiveValue > 1+1e-9 {
			t.Errorf("fleet %d: got objective value %.10f, want at most 1", n, s.ObjectiveValue)
		}
	}
}

// randomProblem returns a problem with random demand, earnings, work and hosts.
func randomProblem(random *rand.Rand, hosts, zones, classes int) *Problem {
	p := &Problem{
		DeadlineMeans: 3.2,
		Objective:     Objective{TotalWeight: 0.9, WorstClassWeight: 0.1, CrossZoneCost: 0.05},
		Demand:        map[string]map[string]float64{},
	}
	for z := range zones {
		p.Zones = append(p.Zones, fmt.Sprint("zone", z))
	}
	for c := range classes {
		class := Class{
			Name:     fmt.Sprint("class", c),
			Earnings: 1 + 9*random.Float64(),
			WorkMs:   20 + 400*random.Float64(),
		}
		p.Classes, p.Demand[class.Name] = append(p.Classes, class), map[string]float64{}
		for _, zone := range p.Zones {
			p.Demand[class.Name][zone] = 4 * float64(hosts) * random.Float64() / float64(zones*classes) * 10
		}
	}
	for h := range hosts {
		host := Host{
			Name:         fmt.Sprint("host", h),
			Zone:         p.Zones[random.IntN(zones)],
			Cores:        float64(1 + random.IntN(8)),
			Speed:        0.5 + random.Float64(),
			WarmFraction: 1,
		}
		if random.IntN(4) == 0 {
			host.WorkFactor = map[string]float64{"class0": 2}
		}
		p.Hosts = append(p.Hosts, host)
	}
	return p
}

// A start from the solution of a similar problem leads to the same objective value as a start without one.
func TestSolveFrom(t *testing.T) {
	random := rand.New(rand.NewPCG(12, 12))
	for n := range 200 {
		p := randomProblem(random, 3+random.IntN(20), 3, 3)
		earlier := solve(t, p)
		for range 3 {
			for _, byZone := range p.Demand {
				for zone := range byZone {
					byZone[zone] *= 0.9 + 0.2*random.Float64()
				}
			}
			if random.IntN(3) == 0 {
				p.Hosts[random.IntN(len(p.Hosts))].Draining = true
			}
			s, err := p.SolveFrom(earlier)
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Verify(s); err != nil {
				t.Fatal(err)
			}
			if want := solve(t, p); !near(s.ObjectiveValue, want.ObjectiveValue, 1e-6) {
				t.Errorf("fleet %d: got objective value %.7f from an earlier solution, want %.7f", n, s.ObjectiveValue,
					want.ObjectiveValue)
			}
			earlier = s
		}
	}
}

// BenchmarkSolveFrom solves a fleet with 75 groups of equal hosts: without an earlier solution, from one after a change
// of earnings, and from one after a change of demand, which more often makes the earlier basis infeasible.
func BenchmarkSolveFrom(b *testing.B) {
	p := randomProblem(rand.New(rand.NewPCG(7, 7)), 506, 3, 4)
	for h := range p.Hosts {
		p.Hosts[h].WorkFactor = map[string]float64{"class1": 1 + float64(h%25)/100}
	}
	earlier, err := p.Solve()
	if err != nil {
		b.Fatal(err)
	}
	for _, benchmark := range []struct {
		name           string
		earlier        *Solution
		earningsChange float64
		demandChange   float64
	}{
		{"from-nothing", nil, 0, 0},
		{"earnings-changed", earlier, 0.01, 0},
		{"demand-changed", earlier, 0, 0.001},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			for n := range b.N {
				changed, sign := *p, float64(n%3-1)
				changed.Classes = append([]Class(nil), p.Classes...)
				changed.Classes[0].Earnings *= 1 + benchmark.earningsChange*sign
				changed.Demand = map[string]map[string]float64{}
				for class, byZone := range p.Demand {
					changed.Demand[class] = map[string]float64{}
					for zone, rate := range byZone {
						changed.Demand[class][zone] = rate * (1 + benchmark.demandChange*sign)
					}
				}
				if _, err := changed.SolveFrom(benchmark.earlier); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSolve(b *testing.B) {
	for _, size := range []struct{ hosts, zones, classes int }{{506, 3, 4}, {5000, 3, 4}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			p := randomProblem(rand.New(rand.NewPCG(7, 7)), size.hosts, size.zones, size.classes)
			for range b.N {
				if _, err := p.Solve(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package rehearse

import (
	"fmt"
	"io"
	"math"

	"barleysail/solver"
)

// optimalityGaps samples how much worse the proxies' tables are than optimal ones. The optimum is solved with the true
// state of each host, which no controller knows, so that a fault shows as a gap until it is detected.
type optimalityGaps struct {
	count             int
	sum, worst        float64
	worstAtS          float64
	worstClass        string
	measureErr        error
	overloadedSamples int
	samples           []gapSample
}

type gapSample struct{ atS, gap float64 } // atS: s since the start of the scenario

// sampleGap measures the gap of the current tables.
func (s *scenario) sampleGap(elapsedS float64) {
	problem, tables := s.optimizationProblem(), s.zoneTables()
	measured, err := problem.Measure(tables)
	if err != nil {
		s.optimality.measureErr = err
		return
	}
	gap := measured.BestValue - measured.ObjectiveValue
	s.optimality.count++
	s.optimality.samples = append(s.optimality.samples, gapSample{elapsedS, gap})
	s.optimality.sum += gap
	if len(measured.Overloaded) > 0 {
		s.optimality.overloadedSamples++
	}
	if gap > s.optimality.worst {
		s.optimality.worst, s.optimality.worstAtS = gap, elapsedS
		for class, best := range measured.BestServedShare {
			if lost := best - measured.ServedShare[class]; s.optimality.worstClass == "" ||
				lost > measured.BestServedShare[s.optimality.worstClass]-measured.ServedShare[s.optimality.worstClass] {
				s.optimality.worstClass = class
			}
		}
	}
}

// optimizationProblem describes the true state of the fleet: a host that hangs or is down has no capacity, and one that
// is slow or in slow start a fraction of it.
func (s *scenario) optimizationProblem() *solver.Problem {
	config := s.config
	problem := &solver.Problem{
		Zones:  config.Zones,
		Demand: map[string]map[string]float64{},
		Objective: solver.Objective{
			TotalWeight:      *config.Goal.Whole,
			WorstClassWeight: *config.Goal.WorstClass,
		},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range s.hosts {
		cores, speed := host.CurrentCapacity()
		problem.Hosts = append(problem.Hosts, solver.Host{
			Name: host.Address, Zone: host.zone, Cores: cores, Speed: speed, WarmFraction: 1,
			Draining: host.draining || !host.listed,
		})
	}
	proxiesByZone, total := map[string]float64{}, 0.0
	for _, group := range s.script.Forwarders {
		proxiesByZone[group.Zone] += float64(group.Count)
		total += float64(group.Count)
	}
	for _, class := range config.Classes {
		for _, traffic := range s.script.Traffic {
			if traffic.Class != class.Name {
				continue
			}
			problem.Classes = append(problem.Classes, solver.Class{
				Name: class.Name, Earnings: *class.Earnings, WorkMs: traffic.WorkMs, ZoneLocal: class.Local,
			})
			problem.Demand[class.Name] = map[string]float64{}
			for zone, count := range proxiesByZone {
				problem.Demand[class.Name][zone] = traffic.Rate * count / total
			}
		}
	}
	return problem
}

// zoneTables returns the proxies' tables, averaged by zone with equal weights since all proxies get the same traffic.
func (s *scenario) zoneTables() solver.Tables {
	aggregator := solver.NewTableAggregator()
	for _, proxy := range s.proxies {
		for class, table := range proxy.Client.Tables() {
			aggregator.Add(class, proxy.Zone(), table.AdmissionRatio, func(yield func(string, float64) bool) {
				for _, host := range table.Hosts {
					if !yield(host.Address, host.Weight) {
						return
					}
				}
			})
		}
	}
	return aggregator.Tables()
}

// print prints the mean and the worst gap.
func (g *optimalityGaps) print(out io.Writer) {
	switch {
	case g.measureErr != nil:
		fmt.Fprintf(out, "optimality gap of the tables: not measured: %v\n", g.measureErr)
	case g.count > 0:
		fmt.Fprintf(out, "optimality gap of the tables by the hosts' true state: mean %.4f; worst %.4f at %.0f s",
			g.sum/float64(g.count), g.worst, g.worstAtS)
		if g.worstClass != "" {
			fmt.Fprintf(out, ", most of it in class %s", g.worstClass)
		}
		fmt.Fprintf(out, "; hosts overloaded in %d of %d samples\n", g.overloadedSamples, g.count)
	}
}

// mean returns the mean and the number of the samples from fromS until before toS.
func (g *optimalityGaps) mean(fromS, toS float64) (mean float64, count int) {
	for _, sample := range g.samples {
		if sample.atS >= fromS && sample.atS < toS {
			mean, count = mean+sample.gap, count+1
		}
	}
	return mean / math.Max(float64(count), 1), count
}

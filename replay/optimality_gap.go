package replay

import (
	"maps"
	"math"
	"slices"

	"barleysail/solver"
)

// demand is the number of arrivals in a window, by request class and by the zone of the proxy.
type demand map[string]map[string]float64

// countArrival counts a request for the demand of the current window.
func (s *simulation) countArrival(class, zone string) {
	if s.demand == nil {
		s.demand = demand{}
	}
	if s.demand[class] == nil {
		s.demand[class] = map[string]float64{}
	}
	s.demand[class][zone]++
}

// measureGap measures, at the end of each window, how much the proxies' tables fall short of the optimal ones for the
// hosts in the model's current state. A host that is unresponsive or down has no cores, and a slowed host has a
// reduced speed.
func (s *simulation) measureGap() {
	s.gapMeasuredMs += windowMs
	s.timers.Schedule(s.gapMeasuredMs+windowMs, s.measureGap)
	arrivals := s.demand
	s.demand = demand{}
	if len(arrivals) == 0 || len(s.endpoints) == 0 {
		return
	}
	problem := &solver.Problem{Demand: arrivals, Objective: solver.Objective{TotalWeight: 1}}
	for _, rates := range arrivals {
		for zone := range rates {
			rates[zone] *= 1000 / windowMs
		}
	}
	zones := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) {
		entry := s.endpoints[name]
		parameters := s.analysis.model.Parameters(name)
		alive, _ := s.analysis.model.Liveness(name, s.nowMs)
		host := solver.Host{
			Name:         name,
			Zone:         entry.zone,
			Speed:        1 / math.Max(s.analysis.model.SlowdownFactor(name, s.nowMs)*parameters.ServiceTimeFactor, 1e-6),
			WarmFraction: 1,
			Draining:     !entry.ready,
		}
		if alive {
			host.Cores = float64(parameters.Cores)
		}
		problem.Hosts = append(problem.Hosts, host)
		zones[entry.zone] = true
	}
	for _, proxy := range s.proxies {
		zones[proxy.zone] = true
	}
	problem.Zones = slices.Sorted(maps.Keys(zones))
	for _, class := range s.settings.Classes {
		if rates := arrivals[class.Name]; len(rates) > 0 {
			problem.Classes = append(problem.Classes, solver.Class{
				Name:      class.Name,
				Earnings:  class.PriorityWeight,
				WorkMs:    s.analysis.model.BaseServiceTime(class.Name),
				ZoneLocal: class.ZoneLocal,
			})
		}
	}
	if measured, err := problem.Measure(s.currentTables()); err == nil {
		s.outcome.OptimalityGaps = append(s.outcome.OptimalityGaps, measured.BestValue-measured.ObjectiveValue)
	}
}

// currentTables returns the proxies' tables, pooled by zone.
func (s *simulation) currentTables() solver.Tables {
	aggregator := solver.NewTableAggregator()
	for _, name := range slices.Sorted(maps.Keys(s.proxies)) {
		proxy := s.proxies[name]
		for class, table := range proxy.tables {
			aggregator.Add(class, proxy.zone, table.AdmissionRatio, func(yield func(string, float64) bool) {
				for i, host := range table.Hosts {
					if !yield(host, table.Weights[i]) {
						return
					}
				}
			})
		}
	}
	return aggregator.Tables()
}

// MeanOptimalityGap returns the mean optimality gap of the windows that had requests.
func (o *Outcome) MeanOptimalityGap() float64 {
	if len(o.OptimalityGaps) == 0 {
		return 0
	}
	return sum(o.OptimalityGaps) / float64(len(o.OptimalityGaps))
}

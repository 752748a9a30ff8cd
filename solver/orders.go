package solver

// UpdateChoice tells which zones' proxies are worth other tables.
type UpdateChoice struct {
	Zones          []string // whose proxies get the best tables; the others keep theirs
	Messages       int
	ObjectiveValue float64 // with the messages paid for
	CurrentValue   float64 // of the tables as they stand
}

// zonesTried together; of more zones the choice is made one by one.
const zonesTried = 8

// ChooseUpdates weighs a solution against the tables that stand: a message to each proxy of a zone, at the goal's price of
// orders, is paid for only where the result gains more by it. Up to eight zones all choices are tried. Levels are not
// priced: every proxy is told of those in any case.
func (p *Problem) ChooseUpdates(standing Tables, s *Solution) UpdateChoice {
	best := p.renewal(standing, s, make([]bool, len(p.Zones)))
	best.CurrentValue = p.Evaluate(standing)
	n := len(p.Zones)
	try := func(change []bool) bool {
		r := p.renewal(standing, s, change)
		r.CurrentValue = best.CurrentValue
		if r.ObjectiveValue > best.ObjectiveValue+1e-12 {
			best = r
			return true
		}
		return false
	}
	if n <= zonesTried {
		for set := 1; set < 1<<n; set++ {
			change := make([]bool, n)
			for z := range change {
				change[z] = set>>z&1 == 1
			}
			try(change)
		}
		return best
	}
	change := make([]bool, n)
	for z := range change {
		change[z] = true
	}
	try(change)
	for z := range change {
		change[z] = false
		if !try(change) {
			change[z] = true
		}
	}
	return best
}

// renewal is the one that changes the tables of some zones.
func (p *Problem) renewal(standing Tables, s *Solution, change []bool) UpdateChoice {
	t, r := Tables{Weights: map[string]map[string]map[string]float64{}, AdmissionRatio: standing.AdmissionRatio}, UpdateChoice{}
	for z, zone := range p.Zones {
		if change[z] {
			r.Zones = append(r.Zones, zone)
			r.Messages += p.Proxies[zone]
			t.AdmissionRatio = s.AdmissionRatio
		}
	}
	for _, k := range p.Classes {
		by := map[string]map[string]float64{}
		for z, zone := range p.Zones {
			by[zone] = standing.Weights[k.Name][zone]
			if change[z] {
				by[zone] = s.Weights[k.Name][zone]
			}
		}
		t.Weights[k.Name] = by
	}
	r.ObjectiveValue = p.Evaluate(t) - p.Objective.UpdateCost*float64(r.Messages)
	return r
}

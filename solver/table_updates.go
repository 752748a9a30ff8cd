package solver

// UpdateChoice holds the zones in which new tables are worth their update messages.
type UpdateChoice struct {
	Zones          []string // whose proxies get the solution's tables; the others keep the published ones
	Messages       int
	ObjectiveValue float64 // after the update, minus the cost of its messages
	CurrentValue   float64 // of the published tables
}

// minGain is the least gain in the objective value for which a choice replaces another. It exceeds rounding errors.
const minGain = 1e-12

// maxSubsetZones is the largest number of zones of which all subsets are tried. For more zones, it starts from all of
// them and removes one after the other.
const maxSubsetZones = 8

// ChooseUpdates compares a solution's tables with the published ones, and chooses the zones whose proxies are to get
// the new tables: those where the gain in the objective value exceeds the cost of a message to each proxy. Admission
// ratios cost nothing, since every proxy is sent them in any case; those of the solution apply in all zones once the
// tables of any zone change.
func (p *Problem) ChooseUpdates(published Tables, s *Solution) UpdateChoice {
	best := p.updateChoice(published, s, make([]bool, len(p.Zones)))
	best.CurrentValue = p.Evaluate(published)
	zones := len(p.Zones)
	try := func(update []bool) bool {
		choice := p.updateChoice(published, s, update)
		choice.CurrentValue = best.CurrentValue
		if choice.ObjectiveValue > best.ObjectiveValue+minGain {
			best = choice
			return true
		}
		return false
	}
	if zones <= maxSubsetZones {
		for subset := 1; subset < 1<<zones; subset++ {
			update := make([]bool, zones)
			for z := range update {
				update[z] = subset>>z&1 == 1
			}
			try(update)
		}
		return best
	}
	update := make([]bool, zones)
	for z := range update {
		update[z] = true
	}
	try(update)
	for z := range update {
		update[z] = false
		if !try(update) {
			update[z] = true
		}
	}
	return best
}

// updateChoice evaluates the update of some zones' tables. The update flags are indexed by zone.
func (p *Problem) updateChoice(published Tables, s *Solution, update []bool) UpdateChoice {
	tables := Tables{Weights: map[string]map[string]map[string]float64{}, AdmissionRatio: published.AdmissionRatio}
	choice := UpdateChoice{}
	for z, zone := range p.Zones {
		if update[z] {
			choice.Zones = append(choice.Zones, zone)
			choice.Messages += p.Proxies[zone]
			tables.AdmissionRatio = s.AdmissionRatio
		}
	}
	for _, class := range p.Classes {
		byZone := map[string]map[string]float64{}
		for z, zone := range p.Zones {
			byZone[zone] = published.Weights[class.Name][zone]
			if update[z] {
				byZone[zone] = s.Weights[class.Name][zone]
			}
		}
		tables.Weights[class.Name] = byZone
	}
	choice.ObjectiveValue = p.Evaluate(tables) - p.Objective.UpdateCost*float64(choice.Messages)
	return choice
}

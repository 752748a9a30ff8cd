package controller

import (
	"fmt"
	"maps"
	"slices"

	"barleysail/guard"
)

// ValidationResult is what the guard says of tables that somebody would publish.
type ValidationResult struct {
	Findings []guard.Finding               `json:"findings"`
	Instead  map[string]map[string]float64 `json:"instead"` // by class, where it would refuse
	Left     []guard.Finding               `json:"left"`    // in that
}

// ValidateTables looks at tables by class and host that an operator would have published to a zone, or with "" to all, as
// things stand. The limits are those of the settings, or the usual ones where the guard is off.
func (s *Controller) ValidateTables(zone string, tables map[string]map[string]float64) (*ValidationResult, error) {
	limits := s.validation.limits
	if !s.validation.enabled {
		limits = guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}
	}
	if _, ok := s.zoneIndex[zone]; !ok && zone != "" {
		return nil, invalidField("zone", "%q is not among the zones", zone)
	}
	v := &guard.View{Hosts: slices.Clone(s.refreshValidatedHosts())}
	var names []string
	demand := s.fleetDemand()
	for _, class := range slices.Sorted(maps.Keys(tables)) {
		k, ok := s.classIndex[class]
		if !ok {
			return nil, invalidField(fmt.Sprintf("tables[%q]", class), "the class is not in the settings")
		}
		row := make([]float64, len(v.Hosts))
		for host, w := range tables[class] {
			h, ok := s.hostIndex.IndexOf[host]
			if !ok || h >= len(row) {
				return nil, invalidField(fmt.Sprintf("tables[%q].hosts[%q]", class, host), "the host is not on the list")
			}
			row[h] = w
		}
		r := guard.Route{Decided: row}
		for z, name := range s.deployment.Zones {
			if zone == "" || zone == name {
				r.Demands = append(r.Demands, guard.Demand{Class: class, Zone: name, ZoneLocal: s.classes[k].ZoneLocal, Work: demand[class][name] * s.classes[k].MeanWorkMs / 1000})
				r.Published = s.publishedWeights(z, k, len(v.Hosts))
			}
		}
		v.Routes, names = append(v.Routes, r), append(names, class)
	}
	if s.validation.enabled { // what else the hosts carry
		now, _ := s.validationView()
		for _, r := range now.Routes {
			r.ReadOnly = true
			r.Demands = slices.DeleteFunc(slices.Clone(r.Demands), func(u guard.Demand) bool {
				_, asked := tables[u.Class]
				return asked && (zone == "" || u.Zone == zone)
			})
			if len(r.Demands) > 0 {
				r.Published = nil
				v.Routes = append(v.Routes, r)
			}
		}
	}
	a := &ValidationResult{Findings: jsonFindings(guard.Check(v, limits)), Left: []guard.Finding{}}
	if len(a.Findings) > 0 {
		rows, left := guard.Repair(v, limits)
		a.Left, a.Instead = jsonFindings(left), map[string]map[string]float64{}
		for i, class := range names {
			a.Instead[class] = map[string]float64{}
			for h, w := range rows[i] {
				if w > 0 {
					a.Instead[class][v.Hosts[h].Name] = round6(w)
				}
			}
		}
	}
	return a, nil
}

// publishedWeights is what the first proxy of a zone with a table of a class was ordered, nil where there is none.
func (s *Controller) publishedWeights(zone, class, hosts int) []float64 {
	for _, m := range s.sessions.byIndex {
		if m == nil || m.zone != zone || m.tableByClass[class] < 0 {
			continue
		}
		row := make([]float64, hosts)
		for _, l := range s.entriesOf(s.tables.table(m.tableByClass[class])) {
			row[s.hostIndex.IndexOf[l.host]] = l.weight
		}
		return row
	}
	return nil
}

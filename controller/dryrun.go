package controller

import (
	"fmt"
	"maps"
	"slices"

	"barleysail/guard"
)

// ValidationResult is the result of validating proposed tables.
type ValidationResult struct {
	Findings []guard.Finding `json:"findings"`
	// Repaired holds the repaired weights by class and host; nil: there are no findings.
	Repaired  map[string]map[string]float64 `json:"instead"`
	Remaining []guard.Finding               `json:"left"` // in the repaired tables
}

// defaultValidationLimits apply to proposed tables while the table validator is off.
func defaultValidationLimits() guard.Limits {
	return guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5, SurviveZoneLoss: true}
}

// ValidateTables validates weights, by class and host, that an operator proposes for a zone, or for all zones if zone
// is empty, under the current demand. The limits are the configured ones, or the default ones while the table validator
// is off. Nothing is published. The error is a *FieldError for an unknown zone, class or host.
func (c *Controller) ValidateTables(zone string, tables map[string]map[string]float64) (*ValidationResult, error) {
	limits := c.validation.limits
	if !c.validation.enabled {
		limits = defaultValidationLimits()
	}
	if _, ok := c.zoneIndex[zone]; !ok && zone != "" {
		return nil, invalidField("zone", "%q is not among the zones", zone)
	}
	view := &guard.View{Hosts: slices.Clone(c.refreshValidatedHosts())}
	classes := slices.Sorted(maps.Keys(tables))
	demand := c.fleetDemand()
	for _, class := range classes {
		route, err := c.proposedRoute(zone, class, tables[class], len(view.Hosts), demand[class])
		if err != nil {
			return nil, err
		}
		view.Routes = append(view.Routes, route)
	}
	if c.validation.enabled {
		view.Routes = append(view.Routes, c.otherRoutes(zone, tables)...)
	}
	return validateProposed(view, limits, classes), nil
}

// proposedRoute returns the route of a proposed table of a class. demand is the class's demand by zone, in requests per
// second.
func (c *Controller) proposedRoute(zone, class string, weights map[string]float64, hosts int,
	demand map[string]float64) (guard.Route, error) {
	classIndex, ok := c.classIndex[class]
	if !ok {
		return guard.Route{}, invalidField(fmt.Sprintf("tables[%q]", class), "the class is not in the settings")
	}
	route := guard.Route{Decided: make([]float64, hosts)}
	for host, weight := range weights {
		index, ok := c.hostIndex.IndexOf[host]
		if !ok || index >= hosts {
			field := fmt.Sprintf("tables[%q].hosts[%q]", class, host)
			return guard.Route{}, invalidField(field, "the host is not on the list")
		}
		route.Decided[index] = weight
	}
	for zoneIndex, name := range c.deployment.Zones {
		if zone == "" || zone == name {
			work := demand[name] * c.classes[classIndex].MeanWorkMs / msPerSecond
			route.Demands = append(route.Demands, c.demandOf(zoneIndex, classIndex, work))
			route.Published = c.publishedWeights(zoneIndex, classIndex, hosts)
		}
	}
	return route, nil
}

// otherRoutes returns the routes of all zones and classes that the proposed tables do not change. Their requests load
// the same hosts.
func (c *Controller) otherRoutes(zone string, tables map[string]map[string]float64) []guard.Route {
	current, _ := c.validationView()
	replaced := func(demand guard.Demand) bool {
		_, proposed := tables[demand.Class]
		return proposed && (zone == "" || demand.Zone == zone)
	}
	var others []guard.Route
	for _, route := range current.Routes {
		route.Demands = slices.DeleteFunc(slices.Clone(route.Demands), replaced)
		if len(route.Demands) == 0 {
			continue
		}
		route.ReadOnly = true
		route.Published = nil
		others = append(others, route)
	}
	return others
}

// validateProposed checks a view whose first routes are the proposed tables of classes, and repairs them if there are
// findings.
func validateProposed(view *guard.View, limits guard.Limits, classes []string) *ValidationResult {
	result := &ValidationResult{Findings: jsonFindings(guard.Check(view, limits)), Remaining: []guard.Finding{}}
	if len(result.Findings) == 0 {
		return result
	}
	repaired, remaining := guard.Repair(view, limits)
	result.Remaining = jsonFindings(remaining)
	result.Repaired = map[string]map[string]float64{}
	for i, class := range classes {
		weights := map[string]float64{}
		for host, weight := range repaired[i] {
			if weight > 0 {
				weights[view.Hosts[host].Name] = roundWeight(weight)
			}
		}
		result.Repaired[class] = weights
	}
	return result
}

// publishedWeights returns the published weights, by host index, of the first proxy of a zone with a table of a class.
// It returns nil if there is none.
func (c *Controller) publishedWeights(zone, class, hosts int) []float64 {
	for _, session := range c.sessions.byIndex {
		if session == nil || session.zone != zone || session.tableByClass[class] == noTable {
			continue
		}
		weights := make([]float64, hosts)
		for _, entry := range c.entriesOf(c.tables.table(session.tableByClass[class])) {
			weights[c.hostIndex.IndexOf[entry.host]] = entry.weight
		}
		return weights
	}
	return nil
}

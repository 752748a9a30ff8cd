package guard

import "fmt"

// Finding is one violation that a check found.
type Finding struct {
	Check   string  `json:"check"` // one of the names of the checks
	Subject string  `json:"on"`    // the demand or host, by name
	Value   float64 `json:"is"`    // the measured value, in the unit of the check
	Limit   float64 `json:"limit"` // the limit that the value breaks
}

// String describes the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, %.4g where %.4g is the limit", f.Check, f.Subject, f.Value, f.Limit)
}

// Names of the checks. They are part of the HTTP API.
const (
	// InvalidWeight is a weight that is negative, infinite or NaN.
	InvalidWeight = "a weight is no number"
	// NoHost is a demand that no host with weight may take, although a warm host may.
	NoHost = "no host may take it"
	// OverCapacity is a host that is given more than its capacity allows.
	OverCapacity = "over its cap"
	// OverSlowStartBudget is a host that is warming up and is given more than it can take at this point of its slow
	// start.
	OverSlowStartBudget = "a cold host over its budget"
	// OverCapacityWithoutZone is a host that would be given more than its capacity allows if the zone that carries
	// the most load were lost.
	OverCapacityWithoutZone = "over its cap without a zone"
	// TrafficJump is an update that moves too much traffic at once.
	TrafficJump = "too much moves at once"
)

// severities say how much a finding of each check counts in the comparison of candidate repairs. They differ by large
// factors, so that a repair never trades minor findings for a more severe one.
var severities = map[string]float64{
	InvalidWeight:           1e9,
	NoHost:                  1e9,
	OverSlowStartBudget:     1e6,
	TrafficJump:             1e3,
	OverCapacity:            1,
	OverCapacityWithoutZone: 1e-3,
}

// totalSeverity returns the sum of the findings' severities.
func totalSeverity(findings []Finding) (sum float64) {
	for i := range findings {
		sum += severities[findings[i].Check]
	}
	return sum
}

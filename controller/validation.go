package controller

import (
	"maps"
	"math"

	"barleysail/guard"
)

const (
	// validationIntervalMs is the interval at which unchanged tables are validated again, since the demand may have
	// changed.
	validationIntervalMs = 10000.0

	// repairIntervalMs is the interval while tables are repaired, so that a change in several steps continues.
	repairIntervalMs = 1000.0

	// invalidReportDelayMs is the time without valid tables after which their absence is logged.
	invalidReportDelayMs = 10000.0
)

// tableValidation is the state of the table validator (package guard), and of the guard that holds back endpoint lists
// that lose many hosts at once.
type tableValidation struct {
	enabled bool
	limits  guard.Limits
	repair  RepairSettings
	report  ValidationReport

	endpointLoss  *guard.EndpointLossGuard
	heldEndpoints []Endpoint // the endpoint list that is held back; nil: none

	hosts        []guard.Host // by the balancer's index
	hostsChanged bool         // since the last run
	lastRunMs    float64

	routes           []guard.Route // with the demand for each, those of the shared tables first
	sharedTables     []int         // numbers of the tables of the first routes
	demandSummedMs   float64       // time at which the demand for the routes was last summed
	hasSubsetTables  bool          // whether a proxy uses a subset table
	repairingSinceMs float64
	invalidSinceMs   float64 // time since which the published tables are not valid
	invalidReported  bool    // whether it was logged that they have been invalid for invalidReportDelayMs
}

// RepairSettings configures the repair of invalid tables.
type RepairSettings struct {
	Enabled         bool // tables are repaired before they are published
	SurviveZoneLoss bool // tables that would become invalid by the loss of a zone are repaired too
}

// ValidationReport holds the results of the table validator since the controller started.
type ValidationReport struct {
	Enabled        bool            `json:"on"`
	RepairEnabled  bool            `json:"refuses"`    // repair is enabled
	Repairing      bool            `json:"refusing"`   // the published tables differ from the decided ones
	Repairs        int             `json:"refused"`    // number of times that repairing has begun
	RepairingForMs float64         `json:"for_ms"`     // since repairing began
	Remaining      []guard.Finding `json:"left"`       // in the repaired tables
	Runs           int             `json:"looked"`     // number of validations
	NewFindings    map[string]int  `json:"found"`      // number of new findings, by check
	Findings       []guard.Finding `json:"standing"`   // in the decided tables
	EndpointsHeld  bool            `json:"list_held"`  // an endpoint list is held back
	EndpointHolds  int             `json:"list_holds"` // number of endpoint lists that were held back
}

// EnableValidation enables the table validator. Its findings are recorded as events and in ValidationReport; if repair
// is enabled, invalid tables are repaired before they are published. An endpoint list that loses more hosts than
// endpointLoss allows is held back for its HoldMs, but at most for half of the drain grace.
func (c *Controller) EnableValidation(limits guard.Limits, repair RepairSettings,
	endpointLoss guard.EndpointLossLimits) {
	// A removal must not be held back for longer than a removed host may still get requests.
	endpointLoss.HoldMs = math.Min(endpointLoss.HoldMs, c.safety.DrainGraceMs/2)
	c.validation = tableValidation{
		enabled:      true,
		limits:       limits,
		repair:       repair,
		endpointLoss: guard.NewEndpointLossGuard(endpointLoss),
		hosts:        c.validation.hosts,
		report:       ValidationReport{Enabled: true, RepairEnabled: repair.Enabled, NewFindings: map[string]int{}},
	}
}

// ValidationReport returns the results of the table validator.
func (c *Controller) ValidationReport() ValidationReport {
	report := c.validation.report
	report.NewFindings = maps.Clone(report.NewFindings)
	report.EndpointsHeld = c.validation.heldEndpoints != nil
	report.Findings = jsonFindings(report.Findings)
	report.Remaining = jsonFindings(report.Remaining)
	if report.Repairing {
		report.RepairingForMs = c.nowMs - c.validation.repairingSinceMs
	}
	return report
}

// jsonFindings returns a copy of findings in which 0 replaces values that JSON cannot represent.
func jsonFindings(findings []guard.Finding) []guard.Finding {
	encodable := append([]guard.Finding{}, findings...)
	for i, finding := range encodable {
		if math.IsNaN(finding.Value) || math.IsInf(finding.Value, 0) {
			encodable[i].Value = 0
		}
	}
	return encodable
}

// validateRound validates the tables of the current round, and repairs them if that is enabled and necessary.
func (c *Controller) validateRound() {
	validation := &c.validation
	if !c.validationDue() {
		return
	}
	validation.lastRunMs = c.nowMs
	view, sharedTables := c.validationView()
	if len(view.Routes) == 0 {
		return
	}
	validation.report.Runs++
	findings := guard.Check(view, validation.limits)
	c.recordFindings(findings)
	if validation.repair.Enabled {
		c.repairTables(view, sharedTables, findings)
	}
}

// validationDue reports whether an input of the validator has changed or its interval is over.
func (c *Controller) validationDue() bool {
	validation := &c.validation
	if !validation.enabled {
		return false
	}
	if validation.hostsChanged || len(c.tables.changed) > 0 || len(c.tables.reassigned) > 0 {
		return true
	}
	intervalMs := validationIntervalMs
	if validation.report.Repairing {
		intervalMs = repairIntervalMs
	}
	return c.nowMs >= validation.lastRunMs+intervalMs
}

// recordFindings records an event for each finding that the previous validation did not have.
func (c *Controller) recordFindings(findings []guard.Finding) {
	report := &c.validation.report
	previous := map[string]bool{}
	for _, finding := range report.Findings {
		previous[finding.Check+finding.Subject] = true
	}
	for _, finding := range findings {
		if !previous[finding.Check+finding.Subject] {
			report.NewFindings[finding.Check]++
			c.recordEvent(eventValidation, finding.String())
		}
	}
	report.Findings = findings
}

package controller

import (
	"maps"
	"math"

	"barleysail/guard"
)

const (
	// validationIntervalMs is the time after which the tables are validated though none changed, since the demand may
	// have changed.
	validationIntervalMs = 10000.0

	// repairIntervalMs is the same while tables are repaired, so that a change that is made in steps goes on.
	repairIntervalMs = 1000.0

	// invalidReportDelayMs is the time after which it is logged that no valid tables were found.
	invalidReportDelayMs = 10000.0
)

// tableValidation is the state of the table validator (package guard) and of the guard against endpoint lists that lose
// many hosts at once.
type tableValidation struct {
	enabled bool
	limits  guard.Limits
	repair  RepairSettings
	report  ValidationReport

	endpointLoss  *guard.EndpointLossGuard
	heldEndpoints []Endpoint // a list that is not in effect yet; nil: none

	hosts        []guard.Host // by the balancer's index
	hostsChanged bool         // since the last run
	lastRunMs    float64

	routes           []guard.Route // with the demand for each, those of the shared tables first
	sharedTables     []int         // numbers of the tables of the first routes
	demandSummedMs   float64       // when the demand for the routes was summed up
	hasSubsetTables  bool          // a proxy uses a subset table
	repairingSinceMs float64
	invalidSinceMs   float64 // since when what is published is not valid
	invalidReported  bool    // that this has lasted long
}

// RepairSettings says what the table validator does besides reporting its findings.
type RepairSettings struct {
	Enabled         bool // tables are repaired before they are published
	SurviveZoneLoss bool // also tables that would be invalid only after the loss of a zone
}

// ValidationReport is what the table validator has found since the controller started.
type ValidationReport struct {
	Enabled        bool            `json:"on"`
	RepairEnabled  bool            `json:"refuses"`  // repair is enabled
	Repairing      bool            `json:"refusing"` // the published tables differ from those decided
	Repairs        int             `json:"refused"`  // number of times that this began
	RepairingForMs float64         `json:"for_ms"`   // since it began
	Remaining      []guard.Finding `json:"left"`     // in the repaired tables
	Looked         int             `json:"looked"`   // number of validations
	Found          map[string]int  `json:"found"`    // number of new findings, by check
	Findings       []guard.Finding `json:"standing"` // in the decided tables
	EndpointsHeld  bool            `json:"list_held"`
	EndpointHolds  int             `json:"list_holds"` // number of endpoint lists that were held back
}

// EnableValidation switches the table validator on. Its findings are recorded as events and in ValidationReport; with
// repair enabled, invalid tables are repaired before they are published. An endpoint list that loses more hosts than
// endpointLoss allows is held back for a time.
func (c *Controller) EnableValidation(limits guard.Limits, repair RepairSettings,
	endpointLoss guard.EndpointLossLimits) {
	// A removal must not be held back beyond the time for which a host that left may still get requests.
	endpointLoss.HoldMs = math.Min(endpointLoss.HoldMs, c.safety.DrainGraceMs/2)
	c.validation = tableValidation{
		enabled:      true,
		limits:       limits,
		repair:       repair,
		endpointLoss: guard.NewEndpointLossGuard(endpointLoss),
		hosts:        c.validation.hosts,
		report:       ValidationReport{Enabled: true, RepairEnabled: repair.Enabled, Found: map[string]int{}},
	}
}

// ValidationReport reports what the table validator has found.
func (c *Controller) ValidationReport() ValidationReport {
	report := c.validation.report
	report.Found = maps.Clone(report.Found)
	report.EndpointsHeld = c.validation.heldEndpoints != nil
	report.Findings = jsonFindings(report.Findings)
	report.Remaining = jsonFindings(report.Remaining)
	if report.Repairing {
		report.RepairingForMs = c.nowMs - c.validation.repairingSinceMs
	}
	return report
}

// jsonFindings copies findings, with 0 for values that JSON cannot hold.
func jsonFindings(findings []guard.Finding) []guard.Finding {
	encodable := append([]guard.Finding{}, findings...)
	for i, finding := range encodable {
		if math.IsNaN(finding.Value) || math.IsInf(finding.Value, 0) {
			encodable[i].Value = 0
		}
	}
	return encodable
}

// validateRound validates the tables of the present round, and repairs them where that is enabled and needed.
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
	validation.report.Looked++
	findings := guard.Check(view, validation.limits)
	c.recordFindings(findings)
	if validation.repair.Enabled {
		c.repairTables(view, sharedTables, findings)
	}
}

// validationDue reports whether something changed that the validator looks at, or its interval is over.
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

// recordFindings records an event for each finding that was not there in the validation before.
func (c *Controller) recordFindings(findings []guard.Finding) {
	report := &c.validation.report
	standing := map[string]bool{}
	for _, finding := range report.Findings {
		standing[finding.Check+finding.Subject] = true
	}
	for _, finding := range findings {
		if !standing[finding.Check+finding.Subject] {
			report.Found[finding.Check]++
			c.recordEvent(eventValidation, finding.String())
		}
	}
	report.Findings = findings
}

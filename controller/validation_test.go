package controller

import (
	"testing"

	"barleysail/guard"
)

// Without repair each finding is recorded once, and the same tables are published as without the table validator.
func TestFindingsAreOnlyReported(t *testing.T) {
	without, _ := newUnevenHarness(t, false)
	without.reportDemand(20, 22)

	with, _ := newUnevenHarness(t, false)
	limits := guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.3}
	with.EnableValidation(limits, RepairSettings{}, guard.EndpointLossLimits{})
	with.reportDemand(20, 22)

	report := with.ValidationReport()
	if report.Runs == 0 || report.NewFindings[guard.OverCapacity] == 0 || len(report.Findings) == 0 {
		t.Errorf("the report is %+v, want findings of the small hosts, which are over their capacity", report)
	}
	if count := with.countEvents("guard", guard.OverCapacity+": "+hostName(0)); count != 1 {
		t.Errorf("the finding was recorded %d times, want once", count)
	}
	if with.trace.String() != without.trace.String() {
		t.Errorf("with the table validator the trace is\n%s\nwant\n%s", with.trace.String(), without.trace.String())
	}
}

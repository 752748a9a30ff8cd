package controller

import (
	"strings"
	"testing"

	"barleysail/guard"
)

// Findings in tables are told once each, and nothing of them is held back: with the guard on the same is published.
func TestFindingsAreOnlyReported(t *testing.T) {
	traces := [2]string{}
	for i := range traces {
		d, _ := newUnevenHarness(t, false)
		if i == 1 {
			d.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.3}, RepairSettings{}, guard.EndpointLossLimits{})
		}
		n := int64(0)
		d.reportDemand(20, 22, &n)
		traces[i] = d.trace.String()
		if i == 0 {
			continue
		}
		r := d.ValidationReport()
		if r.Looked == 0 || r.Found[guard.OverCapacity] == 0 || len(r.Standing) == 0 {
			t.Errorf("the small hosts are over their capacity, and the guard says %+v", r)
		}
		told := 0
		for _, e := range d.Events(0) {
			if e.Kind == "guard" && strings.HasPrefix(e.Text, guard.OverCapacity+": 10.0.0.0:80") {
				told++
			}
		}
		if told != 1 {
			t.Errorf("told %d times", told)
		}
	}
	if traces[0] != traces[1] {
		t.Error("with the guard on something else is published")
	}
}

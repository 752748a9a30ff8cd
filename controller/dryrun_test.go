package controller

import (
	"testing"

	"barleysail/guard"
)

// What an operator would publish is looked at beforehand.
func TestValidateTables(t *testing.T) {
	for _, on := range []bool{false, true} {
		d, list := newUnevenHarness(t, false)
		if on {
			d.EnableValidation(guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5}, RepairSettings{}, guard.EndpointLossLimits{})
		}
		n := int64(0)
		d.hideNotModified = true
		d.reportDemand(10, 22, &n)
		a, err := d.ValidateTables("a", map[string]map[string]float64{"sheet": {list[0].Host: 1}})
		if err != nil || len(a.Findings) == 0 || a.Findings[0].Check != guard.OverCapacity {
			t.Errorf("on %v: %+v %v", on, a, err)
		}
		a, err = d.ValidateTables("", map[string]map[string]float64{"sheet": {list[1].Host: 1, list[3].Host: 1, list[0].Host: 0.3, list[2].Host: 0.3}})
		if err != nil || len(a.Findings) != 0 || a.Instead != nil {
			t.Errorf("on %v: %+v %v", on, a, err)
		}
		for _, x := range []map[string]map[string]float64{{"other": {}}, {"sheet": {"10.9.9.9:80": 1}}} {
			if _, err := d.ValidateTables("a", x); err == nil {
				t.Errorf("%v was taken", x)
			}
		}
		if _, err := d.ValidateTables("z", nil); err == nil {
			t.Error("zone z was taken")
		}
	}
}

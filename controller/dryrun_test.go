package controller

import (
	"errors"
	"testing"

	"barleysail/guard"
)

// Proposed tables are validated under the current demand, whether the table validator is on or off.
func TestValidateTables(t *testing.T) {
	for _, test := range []struct {
		name    string
		enabled bool
	}{{"off", false}, {"on", true}} {
		t.Run(test.name, func(t *testing.T) {
			h, list := newUnevenHarness(t, false)
			if test.enabled {
				limits := guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.5}
				h.EnableValidation(limits, RepairSettings{}, guard.EndpointLossLimits{})
			}
			h.hideNotModified = true
			h.reportDemand(10, 22)
			checkProposedTables(t, h, list)
		})
	}
}

func checkProposedTables(t *testing.T, h *harness, list []Endpoint) {
	t.Helper()
	type tables = map[string]map[string]float64
	result, err := h.ValidateTables("a", tables{"sheet": {list[0].Host: 1}})
	if err != nil || len(result.Findings) == 0 || result.Findings[0].Check != guard.OverCapacity {
		t.Errorf("all requests to a small host: result %+v, error %v, want the finding %q first",
			result, err, guard.OverCapacity)
	}
	even := map[string]float64{list[1].Host: 1, list[3].Host: 1, list[0].Host: 0.3, list[2].Host: 0.3}
	result, err = h.ValidateTables("", tables{"sheet": even})
	if err != nil || len(result.Findings) != 0 || result.Repaired != nil {
		t.Errorf("weights by capacity: result %+v, error %v, want no finding and no repaired tables", result, err)
	}
	for _, test := range []struct {
		name, zone string
		tables     tables
		field      string
	}{
		{"unknown class", "a", tables{"other": {}}, `tables["other"]`},
		{"unknown host", "a", tables{"sheet": {"10.9.9.9:80": 1}}, `tables["sheet"].hosts["10.9.9.9:80"]`},
		{"unknown zone", "z", nil, "zone"},
	} {
		_, err := h.ValidateTables(test.zone, test.tables)
		var invalid *FieldError
		if !errors.As(err, &invalid) || invalid.Field != test.field {
			t.Errorf("%s: the error is %v, want a FieldError of the field %s", test.name, err, test.field)
		}
	}
}

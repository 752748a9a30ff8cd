package controller

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// A proxy that the controller does not know continues from the tables that it holds, under their tag.
func TestCachedTables(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(1))
	table := Table{Assigned: true, Hosts: []string{hostName(0), hostName(1)}, Weights: []float64{1, 1}, AdmissionRatio: 1}
	sheet := table
	sheet.Class = "sheet"
	finish := table
	finish.Class = "finish"
	poll := h.poll(PollRequest{
		Proxy:       "p",
		Tags:        []string{"K-5"},
		AcceptDelta: true,
		WaitMs:      60000,
		Cached:      &CachedTables{Tag: "K-5", Tables: []Table{finish, sheet}},
	})
	h.advance(500)
	response, ok := h.responses[poll]
	if !ok || response.Kind != Delta || response.BaseTag != "K-5" {
		t.Fatalf("the response is %+v (received: %v), want a delta onto K-5", response, ok)
	}
	body := string(response.Body())
	if strings.Count(body, `"10.0.0.1:80":null`) != 2 || strings.Contains(body, hostName(0)) {
		t.Errorf("the delta is %s, want the removal of a host from both classes", body)
	}
}

// Tables that no proxy can hold are rejected with an error that names the invalid field.
func TestInvalidCachedTables(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	valid := Table{Class: "sheet", Hosts: []string{"a:1", "b:1"}, Weights: []float64{1, 2}, AdmissionRatio: 1}
	edited := func(modify func(table *Table)) []Table {
		table := valid
		modify(&table)
		return []Table{table}
	}
	for _, test := range []struct {
		name   string
		tag    string
		tables []Table
		field  string // empty: valid
	}{
		{"valid", "K-5", []Table{valid}, ""},
		{"no tag", "", []Table{valid}, "tag"},
		{"unknown class", "K-5", edited(func(table *Table) { table.Class = "other" }), `tables["other"]`},
		{"a class twice", "K-5", []Table{valid, valid}, `tables["sheet"]`},
		{"no admission ratio", "K-5", edited(func(table *Table) { table.AdmissionRatio = math.NaN() }), `tables["sheet"]`},
		{"unknown retry policy", "K-5", edited(func(table *Table) { table.RetryPolicy = 4 }), `tables["sheet"]`},
		{"too few weights", "K-5", edited(func(table *Table) { table.Weights = []float64{1} }), `tables["sheet"]`},
		{"weight 0", "K-5", edited(func(table *Table) { table.Weights = []float64{1, 0} }), `tables["sheet"].hosts`},
		{"not in order", "K-5", edited(func(table *Table) { table.Hosts = []string{"b:1", "a:1"} }), `tables["sheet"].hosts`},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := h.checkCachedTables(&CachedTables{Tag: test.tag, Tables: test.tables})
			var invalid *FieldError
			switch {
			case test.field == "" && err != nil:
				t.Errorf("the error is %v, want none", err)
			case test.field != "" && (!errors.As(err, &invalid) || invalid.Field != test.field):
				t.Errorf("the error is %v, want a FieldError of the field %s", err, test.field)
			}
		})
	}
}

package main

import "testing"

const exampleFleet = "../../examples/fleet.textproto"

func TestSolveAndPlan(t *testing.T) {
	runCases(t, "", []commandCase{
		{"solve", []string{"solve", exampleFleet}, 0,
			[]string{"class   let in  of addis", "share of a host in the table of"}},
		{"solve as JSON", []string{"solve", exampleFleet, "--json"}, 0, []string{`"Result": 0.`}},
		{"solve under uncertainty", []string{"solve", exampleFleet, "--spread", "0.2", "--worst", "2"}, 0,
			[]string{"against 2 hosts with 20% less than stated: costs"}},
		{"solve a missing file", []string{"solve", exampleFleet + "x"}, 1, []string{"no such file"}},
		{"solve an unreachable controller", []string{"solve", "http://127.0.0.1:1"}, exitUnreachable,
			[]string{"connection refused"}},
		{"plan", []string{"plan", exampleFleet, "--demand", "1.4", "--lose", "adama"}, 0,
			[]string{"asked for, a second", "at its cap: addis-full-0", "and 1 more"}},
		{"plan a drain", []string{"plan", exampleFleet, "--drain", "addis-full-0", "--add", "full:adama:1"}, 0,
			[]string{"to drain them in order", "addis-full-0; result"}},
		{"plan without a count", []string{"plan", exampleFleet, "--add", "full:adama"}, 1, []string{"as in full:addis:5"}},
		{"plan with a wrong count", []string{"plan", exampleFleet, "--add", "full:adama:x"}, 1,
			[]string{"as in full:addis:5"}},
	})
}

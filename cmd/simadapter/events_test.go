package main

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// startedLines start an instance with one host and one proxy, in a batch at 1 s.
const startedLines = `{"event_type":"Turn","SimTimeUs":1000000,"n":1}
{"event_type":"Start","I":0,"Prng":5,"Settings":` + settings + `}
{"event_type":"Endpoints","I":0,"How":1,"Number":1,"Records":[{"Host":"h:1","Area":"a","Phase":1,"W":1,"LaunchedUs":2}]}
{"event_type":"CheckedIn","I":0,"Px":0,"Area":"a","W":5,"Flag":true}
{"event_type":"End"}
`

// Runs each event of the simulator, valid and malformed, in a batch of its own. The golden file testdata/events.txt has
// the response and the error of each.
func TestEvents(t *testing.T) {
	var transcript strings.Builder
	for _, c := range []struct {
		name   string
		events []string
	}{
		{"list failed", []string{`{"event_type":"Endpoints","I":0,"How":0,"Number":2}`}},
		{"list delta: a second host", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Area":"a","Phase":1,"W":0.5}]}`}},
		{"list delta: a host drains", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Area":"a","Phase":1,"W":1},{"Host":"h:1","Area":"a","Phase":2,"W":1}]}`}},
		{"list snapshot: the host is gone", []string{`{"event_type":"Endpoints","I":0,"How":1,"Number":2}`}},
		{"list with an unknown How", []string{`{"event_type":"Endpoints","I":0,"How":7,"Number":2}`}},
		{"list with an unknown Phase", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Area":"a","Phase":3,"W":1}]}`}},
		{"list with a weight below 0", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Area":"a","Phase":1,"W":-1}]}`}},
		{"list with an unknown zone", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Area":"x","Phase":1,"W":1}]}`}},
		{"list with a removed host", []string{`{"event_type":"Endpoints","I":0,"How":3,"Number":2,"Records":` +
			`[{"Host":"h:2","Phase":0}]}`}},
		{"installed", []string{`{"event_type":"Installed","I":0,"Px":0,"Number":1,"CostTimeUs":5}`}},
		{"disconnected", []string{`{"event_type":"Disconnected","I":0,"Px":0}`}},
		{"a second proxy", []string{`{"event_type":"CheckedIn","I":0,"Px":1,"Area":"a","W":5,"Flag":true}`}},
		{"stats", []string{`{"event_type":"Stats","I":0,"WindowUs":1000000,"Errors":1,"Host":"h:1","CostTimeUs":20000,` +
			`"Area":"a","Count":9,"Report":{"util":0.5,"qps":9,"queue":1}}`}},
		{"stats of an unknown zone", []string{`{"event_type":"Stats","I":0,"WindowUs":1,"Errors":0,"Host":"h:1",` +
			`"CostTimeUs":0,"Area":"x","Count":0}`}},
		{"arrivals", []string{
			`{"event_type":"Arrivals","I":0,"Px":0,"Kind":"read","Count":9,"Errors":0,"WindowUs":1000000}`}},
		{"arrivals of an unknown class", []string{
			`{"event_type":"Arrivals","I":0,"Px":0,"Kind":"x","Count":9,"Errors":0,"WindowUs":1000000}`}},
		{"health", []string{`{"event_type":"Health","I":0,"Host":"h:1","CostTimeUs":5,"Ending":"success"}`,
			`{"event_type":"Health","I":0,"Host":"h:1","CostTimeUs":5,"Ending":"timed_out"}`}},
		{"alarm", []string{`{"event_type":"Alarm","I":0,"Handle":1}`}},
		{"crash", []string{`{"event_type":"CrashNow","I":0}`, `{"event_type":"Disconnected","I":0,"Px":0}`}},
		{"restart", []string{`{"event_type":"Disconnected","I":0,"Px":0}`,
			`{"event_type":"Start","I":0,"Prng":6,"Settings":` + settings + `}`}},
		{"a second instance", []string{`{"event_type":"Start","I":1,"Prng":6,"Settings":` + settings + `}`}},
		{"an instance that was never started", []string{`{"event_type":"Alarm","I":3,"Handle":1}`}},
		{"a batch in a batch", []string{`{"event_type":"Turn","SimTimeUs":1000000,"n":3}`}},
	} {
		lines := append([]string{`{"event_type":"Turn","SimTimeUs":1500000,"n":2}`}, c.events...)
		lines = append(lines, `{"event_type":"End"}`, "")
		var out strings.Builder
		err := run(strings.NewReader(startedLines+strings.Join(lines, "\n")), &out)
		_, response, _ := strings.Cut(out.String(), `{"event_type":"Done","n":1}`+"\n")
		fmt.Fprintf(&transcript, "%s\n%serror: %v\n\n", c.name, response, err)
	}
	outside := run(strings.NewReader(`{"event_type":"Alarm","I":0,"Handle":1}`+"\n"), &strings.Builder{})
	fmt.Fprintf(&transcript, "an event outside a batch\nerror: %v\n", outside)
	golden.Compare(t, "events", transcript.String())
}

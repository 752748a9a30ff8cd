package main

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

const settings = `{"Discovery":"automatic","FailureDomains":["a","b"],"Index":0,"Instances":1,"Zone":"a","Extra":[1],` +
	`"FamilyInfo":{"Admission":"share","BareUs":5000000,"ChannelRate":1000,"MostWaiting":1000,"IntervalUs":1000000,` +
	`"PerMessage":5,"DataPlaneSize":1},"Limits":{"MayProbe":true},"Rules":{"ColdFrom":0.2,"ColdUs":9000000,` +
	`"StopSendingWithinUs":2000000,"FallMultiple":3,"FallUs":2000000},"Services":[{"Name":"read","AimUs":500000,` +
	`"HardLimitUs":900000,"Value":1,"Effect":"idempotent"}]}`

const (
	turnLine  = `{"event_type":"Turn","SimTimeUs":1000000,"n":1}` + "\n"
	alarmLine = `{"event_type":"Alarm","I":0,"Handle":1}` + "\n"
	endLine   = `{"event_type":"End"}` + "\n"

	// goodBatch starts an instance with one host and one proxy.
	goodBatch = turnLine + `{"event_type":"Start","I":0,"Prng":5,"Settings":` + settings + `}` + "\n" +
		`{"event_type":"Endpoints","I":0,"How":4,"Number":1,` +
		`"Records":[{"Host":"h:1","Area":"a","Phase":1,"W":1,"New":2}]}` + "\n" +
		`{"event_type":"CheckedIn","I":0,"Px":0,"Area":"a","W":5,"Flag":true}` + "\n" + endLine
)

// startWith returns a start event whose settings have one part replaced.
func startWith(part, replacement string) string {
	return `{"event_type":"Start","I":0,"Prng":5,"Settings":` + strings.Replace(settings, part, replacement, 1) + "}\n"
}

// Runs each input. The golden file testdata/wire.txt has the response and the error of each.
func TestWire(t *testing.T) {
	inputs := []string{
		"",
		goodBatch,
		"not JSON\n",
		`{"event_type":"Nonsense"}` + "\n",
		turnLine + `{"event_type":"Alarm"`,
		turnLine,
		turnLine + alarmLine,
		turnLine + `{"event_type":"Disconnected","I":0}` + "\n",
		turnLine + `{"event_type":"Disconnected","I":"x","Px":1}` + "\n",
		turnLine + startWith(`"ColdFrom":0.2,`, ""),
		turnLine + startWith(`"ChannelRate":1000`, `"ChannelRate":-1`),
		goodBatch + turnLine + `{"event_type":"CheckedIn","I":0,"Px":1,"Area":"nowhere","W":5,"Flag":true}` + "\n",
		goodBatch + turnLine + `{"event_type":"Health","I":0,"Host":"h:1","CostTimeUs":5,"Ending":"odd"}` + "\n",
		goodBatch + turnLine + `{"event_type":"Stats","I":0,"WindowUs":1,"Errors":-1,"Host":"h:1","CostTimeUs":0,` +
			`"Area":"a","Count":0}` + "\n",
		goodBatch + turnLine + `{"event_type":"Stats","I":0,"WindowUs":0,"Errors":0,"Host":"x:9","CostTimeUs":0,` +
			`"Area":"a","Count":0,"Report":{"odd":"x","queue":null}}` + "\n" +
			`{"event_type":"CrashNow","I":0}` + "\n" + alarmLine + endLine,
	}
	var transcript strings.Builder
	for i, input := range inputs {
		var out strings.Builder
		err := run(strings.NewReader(input), &out)
		fmt.Fprintf(&transcript, "case %d ends with: %.90s\n%serror: %v\n\n", i, lastLine(input), out.String(), err)
	}
	golden.Compare(t, "wire", transcript.String())
}

// lastLine returns the last line of a text, without its newline.
func lastLine(text string) string {
	text = strings.TrimSuffix(text, "\n")
	return text[strings.LastIndex(text, "\n")+1:]
}

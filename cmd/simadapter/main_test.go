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

// Each line of testdata/wire.txt is a batch after a good start; what came of it stands under it: the reply, or the one
// plain line on standard error.
func TestWire(t *testing.T) {
	begin := `{"event_type":"Turn","SimTimeUs":1000000,"n":1}` + "\n"
	good := begin + `{"event_type":"Start","I":0,"Prng":5,"Settings":` + settings + `}` + "\n" +
		`{"event_type":"Endpoints","I":0,"How":4,"Number":1,"Records":[{"Host":"h:1","Area":"a","Phase":1,"W":1,"New":2}]}` +
		"\n" + `{"event_type":"CheckedIn","I":0,"Px":0,"Area":"a","W":5,"Flag":true}` + "\n" +
		`{"event_type":"End"}` + "\n"
	cases := []string{
		"", good,
		"not JSON\n", `{"event_type":"Nonsense"}` + "\n", begin + `{"event_type":"Alarm"`, begin,
		begin + `{"event_type":"Alarm","I":0,"Handle":1}` + "\n",
		begin + `{"event_type":"Disconnected","I":0}` + "\n", begin + `{"event_type":"Disconnected","I":"x","Px":1}` + "\n",
		begin + `{"event_type":"Start","I":0,"Prng":5,"Settings":` + strings.Replace(settings, `"ColdFrom":0.2,`, "", 1) + "}\n",
		begin + `{"event_type":"Start","I":0,"Prng":5,"Settings":` + strings.Replace(settings, `"ChannelRate":1000`, `"ChannelRate":-1`, 1) + "}\n",
		good + begin + `{"event_type":"CheckedIn","I":0,"Px":1,"Area":"nowhere","W":5,"Flag":true}` + "\n",
		good + begin + `{"event_type":"Health","I":0,"Host":"h:1","CostTimeUs":5,"Ending":"odd"}` + "\n",
		good + begin + `{"event_type":"Stats","I":0,"WindowUs":1,"Errors":-1,"Host":"h:1","CostTimeUs":0,"Area":"a","Count":0}` + "\n",
		good + begin + `{"event_type":"Stats","I":0,"WindowUs":0,"Errors":0,"Host":"x:9","CostTimeUs":0,"Area":"a","Count":0,"Report":{"odd":"x","queue":null}}` +
			"\n" + `{"event_type":"CrashNow","I":0}` + "\n" + `{"event_type":"Alarm","I":0,"Handle":1}` + "\n" + `{"event_type":"End"}` + "\n",
	}
	var now strings.Builder
	for i, in := range cases {
		var out strings.Builder
		err := run(strings.NewReader(in), &out)
		last := in[strings.LastIndex("\n"+strings.TrimSuffix(in, "\n"), "\n"):]
		fmt.Fprintf(&now, "case %d ends with: %.90s\n%serror: %v\n\n", i, strings.TrimSuffix(last, "\n"), out.String(), err)
	}
	golden.Compare(t, "wire", now.String())
}

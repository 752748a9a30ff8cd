package config

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

const validConfig = `zones: ["a", "b"]
classes { name: "sheet" due_ms: 1000 patience_ms: 2500 }
list { file: "hosts.textproto" }
`

// Each error names the file, the line and the field, and fields that are left out get their defaults. The golden file
// has each text, without validConfig at its beginning, and the error.
func TestFaults(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		validConfig,
		"",
		"zones: ",
		validConfig + "colour: 3",
		validConfig + "fleet { proxies: -1 }",
		validConfig + "fleet {\n  # how many\n  proxies: 0\n}",
		strings.Replace(validConfig, "due_ms: 1000 ", "", 1),
		validConfig + "classes {\n name: \"finish\"\n due_ms: 5\n}",
		validConfig + "classes { name: \"sheet\" due_ms: 5 patience_ms: 5 }",
		strings.Replace(validConfig, `"b"`, `"a"`, 1),
		validConfig + "channel { lines_per_s: nan }",
		validConfig + "guard { cold_from: 1.5 }",
		validConfig + "polls { history: 0 }",
		validConfig + "list { url: \"http://x\" }",
		validConfig + "probes { path: \"health\" }",
		validConfig + "channel {\n\n price: \"x\" }",
		validConfig + "goal { whole: inf }",
		strings.Replace(validConfig, `"sheet"`, `"a sheet"`, 1),
		validConfig + "classes { name: \"x{\" due_ms: 1 patience_ms: 1 }\nfleet { ejects: -3 }",
	} {
		c, err := Parse("f", []byte(text))
		fmt.Fprintf(&out, "%q\n    %v\n", strings.TrimPrefix(text, validConfig), err)
		if err != nil {
			continue
		}
		if got := *c.Polls.WaitMostMs; got != 60000 {
			t.Errorf("default of polls.wait_most_ms: got %g, want 60000", got)
		}
		if got := *c.Classes[0].Earnings; got != 1 {
			t.Errorf("default of classes[0].earnings: got %g, want 1", got)
		}
	}
	golden.Compare(t, "faults", out.String())
}

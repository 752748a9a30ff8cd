package config

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

const good = `zones: ["a", "b"]
classes { name: "sheet" due_ms: 1000 patience_ms: 2500 }
list { file: "hosts.textproto" }
`

// Each fault is told with file, line and field; what is left out has its default.
func TestFaults(t *testing.T) {
	var now strings.Builder
	for _, text := range []string{
		good, "", "zones: ", good + "colour: 3", good + "fleet { proxies: -1 }", good + "fleet {\n  # how many\n  proxies: 0\n}",
		strings.Replace(good, "due_ms: 1000 ", "", 1), good + "classes {\n name: \"finish\"\n due_ms: 5\n}",
		good + "classes { name: \"sheet\" due_ms: 5 patience_ms: 5 }", strings.Replace(good, `"b"`, `"a"`, 1),
		good + "channel { lines_per_s: nan }", good + "guard { cold_from: 1.5 }", good + "polls { history: 0 }",
		good + "list { url: \"http://x\" }", good + "probes { path: \"health\" }", good + "channel {\n\n price: \"x\" }",
		good + "goal { whole: inf }", strings.Replace(good, `"sheet"`, `"a sheet"`, 1),
		good + "classes { name: \"x{\" due_ms: 1 patience_ms: 1 }\nfleet { ejects: -3 }",
	} {
		c, err := Parse("f", []byte(text))
		fmt.Fprintf(&now, "%q\n    %v\n", strings.TrimPrefix(text, good), err)
		if err == nil && (*c.Polls.WaitMostMs != 60000 || *c.Classes[0].Earnings != 1) {
			t.Errorf("defaults: %v", c)
		}
	}
	golden.Compare(t, "faults", now.String())
}

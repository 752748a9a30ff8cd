package client

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const doc = `{"proxy":"p","tables":{"sheet":{"hosts":{"a:1":1,"b:1":3},"share":1,"tries":1},"finish":{"hosts":{"a:1":1},"share":0.5,"tries":0}}}`

// A delta is taken only onto the document it names: one that arrives after a newer one is left, and so is
// anything malformed; the tables stay.
func TestDeltas(t *testing.T) {
	var h appliedTables
	var now strings.Builder
	say := func(what string, err error) {
		fmt.Fprintf(&now, "%s: %v; held %s, sheet %v, finish %v\n", what, err, h.tag, h.byClass["sheet"], h.byClass["finish"])
	}
	say("a delta first", h.applyDelta("s", `"1"`, `"2"`, []byte(`{"tables":{}}`), unchecked))
	say("the whole", h.setSnapshot("s", `"1"`, []byte(doc), unchecked))
	say("a delta", h.applyDelta("s", `"1"`, `"2"`, []byte(`{"tables":{"sheet":{"hosts":{"b:1":null,"c:1":2}},"finish":{"tries":1}}}`), unchecked))
	say("late, onto an older base", h.applyDelta("s", `"1"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":null}}}}`), unchecked))
	say("of another steward", h.applyDelta("u", `"2"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":null}}}}`), unchecked))
	say("no JSON", h.applyDelta("s", `"2"`, `"3"`, []byte(`{"tables":`), unchecked))
	say("a weight below 0", h.applyDelta("s", `"2"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":-1}}}}`), unchecked))
	say("a way of trying that is none", h.setSnapshot("s", `"4"`, []byte(`{"tables":{"sheet":{"tries":7}}}`), unchecked))
	say("no tables", h.setSnapshot("s", `"4"`, []byte(`{"proxy":"p"}`), unchecked))
	say("a new steward that has ordered nothing yet", h.setSnapshot("u", `"9"`, []byte(`{"tables":{"sheet":{"share":1,"tries":1}}}`), unchecked))
	say("a host with no host", h.setSnapshot("u", `"10"`, []byte(`{"tables":{"sheet":{"hosts":{}}}}`), unchecked))
	want := `a delta first: a delta onto "1" came, held is ; held , sheet {[] false 0 0}, finish {[] false 0 0}
the whole: <nil>; held "1", sheet {[{a:1 1} {b:1 3}] true 1 1}, finish {[{a:1 1}] true 0.5 0}
a delta: <nil>; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
late, onto an older base: a delta onto "1" came, held is "2"; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
of another steward: a delta onto "2" came, held is "2"; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
no JSON: applying a delta: Invalid JSON Patch; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a weight below 0: reading tables: a:1 has the weight -1; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a way of trying that is none: reading tables: sheet has the share 1 and tries 7; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
no tables: reading tables: "tables" is missing; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a new steward that has ordered nothing yet: <nil>; held "9", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a host with no host: <nil>; held "10", sheet {[] true 1 1}, finish {[{a:1 1}] true 0.5 1}
`
	if diff := cmp.Diff(strings.Split(want, "\n"), strings.Split(now.String(), "\n")); diff != "" {
		t.Errorf("(-want +now):\n%s", diff)
	}
}

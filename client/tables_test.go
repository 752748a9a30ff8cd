package client

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// A delta is applied only onto the document that it names. One that was overtaken, or anything malformed, leaves the
// tables as they are.
func TestDeltas(t *testing.T) {
	var tables appliedTables
	var out strings.Builder
	log := func(title string, err error) {
		fmt.Fprintf(&out, "%s: %v; held %s, sheet %v, finish %v\n",
			title, err, tables.tag, tables.byClass["sheet"], tables.byClass["finish"])
	}
	snapshot := func(title, source, tag, document string) {
		log(title, tables.setSnapshot(source, tag, []byte(document), unchecked))
	}
	delta := func(title, source, base, tag, patch string) {
		log(title, tables.applyDelta(source, base, tag, []byte(patch), unchecked))
	}
	const withoutA = `{"tables":{"sheet":{"hosts":{"a:1":null}}}}`
	delta("a delta first", "s", `"1"`, `"2"`, `{"tables":{}}`)
	snapshot("the whole", "s", `"1"`, testDocument)
	delta("a delta", "s", `"1"`, `"2"`,
		`{"tables":{"sheet":{"hosts":{"b:1":null,"c:1":2}},"finish":{"tries":1}}}`)
	delta("late, onto an older base", "s", `"1"`, `"3"`, withoutA)
	delta("of another steward", "u", `"2"`, `"3"`, withoutA)
	delta("no JSON", "s", `"2"`, `"3"`, `{"tables":`)
	delta("a weight below 0", "s", `"2"`, `"3"`, `{"tables":{"sheet":{"hosts":{"a:1":-1}}}}`)
	snapshot("a way of trying that is none", "s", `"4"`, `{"tables":{"sheet":{"tries":7}}}`)
	snapshot("no tables", "s", `"4"`, `{"proxy":"p"}`)
	snapshot("a new steward that has ordered nothing yet", "u", `"9"`, `{"tables":{"sheet":{"share":1,"tries":1}}}`)
	snapshot("a host with no host", "u", `"10"`, `{"tables":{"sheet":{"hosts":{}}}}`)
	golden.Compare(t, "deltas", out.String())
}

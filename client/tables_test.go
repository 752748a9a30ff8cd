package client

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// A delta is applied only to the document that it is based on. A delta to another document, and an invalid delta or
// snapshot, do not change the tables. The golden file has the error of each step and the tables after it.
func TestDeltas(t *testing.T) {
	var tables appliedTables
	var out strings.Builder
	log := func(title string, err error) {
		fmt.Fprintf(&out, "%s: %v; applied %s, sheet %v, finish %v\n",
			title, err, tables.tag, tables.byClass["sheet"], tables.byClass["finish"])
	}
	snapshot := func(title, source, tag, document string) {
		log(title, tables.setSnapshot(source, tag, []byte(document), unchecked))
	}
	delta := func(title, source, base, tag, patch string) {
		log(title, tables.applyDelta(source, base, tag, []byte(patch), unchecked))
	}
	const withoutA = `{"tables":{"sheet":{"hosts":{"a:1":null}}}}`
	delta("delta before any snapshot", "s", `"1"`, `"2"`, `{"tables":{}}`)
	snapshot("snapshot", "s", `"1"`, testDocument)
	delta("delta", "s", `"1"`, `"2"`,
		`{"tables":{"sheet":{"hosts":{"b:1":null,"c:1":2}},"finish":{"tries":1}}}`)
	delta("delta to an older base", "s", `"1"`, `"3"`, withoutA)
	delta("delta of another controller", "u", `"2"`, `"3"`, withoutA)
	delta("invalid JSON", "s", `"2"`, `"3"`, `{"tables":`)
	delta("negative weight", "s", `"2"`, `"3"`, `{"tables":{"sheet":{"hosts":{"a:1":-1}}}}`)
	snapshot("unknown retry policy", "s", `"4"`, `{"tables":{"sheet":{"tries":7}}}`)
	snapshot("no tables", "s", `"4"`, `{"proxy":"p"}`)
	snapshot("another controller, table without hosts", "u", `"9"`, `{"tables":{"sheet":{"share":1,"tries":1}}}`)
	snapshot("empty list of hosts", "u", `"10"`, `{"tables":{"sheet":{"hosts":{}}}}`)
	golden.Compare(t, "deltas", out.String())
}

package rules

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

var testFigures = Figures{
	Bare: 5000, Grace: 3000,
	ColdFrom: 0.2, Cold: 10000, Multiple: 4, Fall: 3000,
	LinesPerS: 1000, Head: 5, MostWaiting: 1000,
	MessagesMost: 3, MessagesOver: 10000,
	Once: map[string]bool{"finish": true},
}

// twoHosts is a full document of one class with the hosts x and y.
const twoHosts = `{"tables":{"finish":{"hosts":{"x":1,"y":1}}}}`

// newTestJournal is a log without a fault: hosts x and y, a proxy that has both, and a request to each.
func newTestJournal() *Journal {
	journal := NewJournal()
	journal.Capacity("x", 4)
	journal.Capacity("y", 4)
	journal.Gave(0, map[string]Listed{"x": {Ready: true}, "y": {Ready: true}})
	journal.Answered(100, "p", "s", 200, "1", "", "", []byte(twoHosts))
	journal.Arrived(200, "x", "p", "finish", "t1", 50, true)
	journal.Arrived(300, "y", "p", "finish", "t2", 50, true)
	return journal
}

// sendRequests logs 300 requests to y within 300 ms.
func sendRequests(journal *Journal) {
	for i := range 300 {
		journal.Arrived(1200+float64(i), "y", "p", "sheet", fmt.Sprint("c", i), 50, true)
	}
}

// sendToManyProxies logs full documents to 150 proxies within 150 ms.
func sendToManyProxies(journal *Journal) {
	for i := range 150 {
		journal.Answered(1000+float64(i), fmt.Sprint("q", i), "s", 200, "1", "", "", []byte(twoHosts))
	}
}

// startOfY is a list by which y started at 900 ms.
var startOfY = map[string]Listed{"x": {Ready: true}, "y": {Ready: true, Started: 900}}

var faultCases = []struct {
	name  string
	cause func(journal *Journal)
}{
	{"a good day", func(*Journal) {}},
	{"an empty table for 6 s", func(journal *Journal) {
		journal.Answered(1000, "p", "s", 226, "2", "1", "1",
			[]byte(`{"tables":{"finish":{"hosts":{"x":null,"y":null}}}}`))
		journal.Answered(7000, "p", "s", 200, "3", "", "2", []byte(twoHosts))
	}},
	{"the same while the way to the steward was broken", func(journal *Journal) {
		journal.Answered(1000, "p", "s", 200, "2", "", "1", []byte(`{"tables":{"finish":{"hosts":{}}}}`))
		journal.Answered(1100, "p", "s", 0, "", "", "", nil)
		journal.Answered(9000, "p", "s", 200, "3", "", "2", []byte(twoHosts))
	}},
	{"an effect twice", func(journal *Journal) {
		journal.Arrived(400, "y", "p", "finish", "t1", 50, true)
	}},
	{"a repeat that the host dropped", func(journal *Journal) {
		journal.Arrived(400, "x", "p", "finish", "t1", 50, false)
	}},
	{"a drain not kept", func(journal *Journal) {
		journal.Gave(1000, map[string]Listed{"x": {Ready: true}, "y": {}})
		journal.Arrived(4500, "y", "p", "sheet", "t3", 50, true)
	}},
	{"a removal kept just in time", func(journal *Journal) {
		journal.Gave(1000, map[string]Listed{"x": {Ready: true}})
		journal.Arrived(3900, "y", "p", "sheet", "t3", 50, true)
	}},
	{"a cold host pushed over", func(journal *Journal) {
		journal.Gave(1000, startOfY)
		journal.Answered(1100, "p", "s", 226, "2", "1", "1", []byte(`{"tables":{"finish":{"hosts":{"y":2}}}}`))
		sendRequests(journal)
	}},
	{"the same by a proxy that could not know", func(journal *Journal) {
		journal.Gave(1000, startOfY)
		sendRequests(journal)
	}},
	{"too many messages", func(journal *Journal) {
		for i := range 4 {
			journal.Answered(1000+float64(i)*1000, "p", "s", 200, fmt.Sprint(i+2), "", "", []byte(twoHosts))
		}
	}},
	{"too many lines in one stretch", sendToManyProxies},
	{"the same where the steward says that few waited", func(journal *Journal) {
		sendToManyProxies(journal)
		journal.Waited("s", 40)
	}},
	{"the same where it says that many did", func(journal *Journal) {
		sendToManyProxies(journal)
		journal.Waited("s", 1e6)
	}},
	{"a delta onto another base", func(journal *Journal) {
		journal.Answered(1000, "p", "s", 226, "3", "2", "1", []byte(`{}`))
	}},
}

// The violation of an invariant by a controller is detected by the traffic on its sockets, and by the check of that
// invariant alone.
func TestFaultsAreFound(t *testing.T) {
	var report strings.Builder
	for _, c := range faultCases {
		journal := newTestJournal()
		c.cause(journal)
		fmt.Fprintln(&report, c.name)
		for _, verdict := range journal.Check(testFigures, 10000) {
			if !verdict.Kept || verdict.Margin < 0.1 {
				fmt.Fprintf(&report, "    kept %v: %s, margin %.2f: %s\n", verdict.Kept, verdict.Rule, verdict.Margin,
					verdict.Seen)
			}
		}
	}
	golden.Compare(t, "broken", report.String())
}

package rules

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

var testLimits = Limits{
	EmptyTableMs: 5000, DrainGraceMs: 3000,
	SlowStartInitialFactor: 0.2, SlowStartMs: 10000, CollapseMultiple: 4, CollapseMs: 3000,
	EntriesPerSecond: 1000, MessageOverhead: 5, MaxBacklog: 1000,
	MaxMessages: 3, MessageWindowMs: 10000,
	NonIdempotentClasses: map[string]bool{"finish": true},
}

// twoHosts is a full document of one class with the hosts x and y.
const twoHosts = `{"tables":{"finish":{"hosts":{"x":1,"y":1}}}}`

// newTestLog returns a log without a fault: hosts x and y, a proxy that has both, and a request to each.
func newTestLog() *EventLog {
	log := NewEventLog()
	log.LogCapacity("x", 4)
	log.LogCapacity("y", 4)
	log.LogEndpoints(0, map[string]Listed{"x": {Ready: true}, "y": {Ready: true}})
	log.LogPollResponse(100, "p", "s", 200, "1", "", "", []byte(twoHosts))
	log.LogAttempt(200, "x", "p", "finish", "t1", 50, true)
	log.LogAttempt(300, "y", "p", "finish", "t2", 50, true)
	return log
}

// sendRequests logs 300 requests to y within 300 ms.
func sendRequests(log *EventLog) {
	for i := range 300 {
		log.LogAttempt(1200+float64(i), "y", "p", "sheet", fmt.Sprint("c", i), 50, true)
	}
}

// sendToManyProxies logs full documents to 150 proxies within 150 ms.
func sendToManyProxies(log *EventLog) {
	for i := range 150 {
		log.LogPollResponse(1000+float64(i), fmt.Sprint("q", i), "s", 200, "1", "", "", []byte(twoHosts))
	}
}

// startOfY is an endpoint list on which y started at 900 ms.
var startOfY = map[string]Listed{"x": {Ready: true}, "y": {Ready: true, Started: 900}}

var faultCases = []struct {
	name  string
	cause func(log *EventLog)
}{
	{"no fault", func(*EventLog) {}},
	{"an empty table for 6 s", func(log *EventLog) {
		log.LogPollResponse(1000, "p", "s", 226, "2", "1", "1",
			[]byte(`{"tables":{"finish":{"hosts":{"x":null,"y":null}}}}`))
		log.LogPollResponse(7000, "p", "s", 200, "3", "", "2", []byte(twoHosts))
	}},
	{"the same while the proxy was disconnected", func(log *EventLog) {
		log.LogPollResponse(1000, "p", "s", 200, "2", "", "1", []byte(`{"tables":{"finish":{"hosts":{}}}}`))
		log.LogPollResponse(1100, "p", "s", 0, "", "", "", nil)
		log.LogPollResponse(9000, "p", "s", 200, "3", "", "2", []byte(twoHosts))
	}},
	{"a duplicate execution", func(log *EventLog) {
		log.LogAttempt(400, "y", "p", "finish", "t1", 50, true)
	}},
	{"a duplicate that the host dropped", func(log *EventLog) {
		log.LogAttempt(400, "x", "p", "finish", "t1", 50, false)
	}},
	{"a request to a draining host after the drain grace", func(log *EventLog) {
		log.LogEndpoints(1000, map[string]Listed{"x": {Ready: true}, "y": {}})
		log.LogAttempt(4500, "y", "p", "sheet", "t3", 50, true)
	}},
	{"a request to a removed host within the drain grace", func(log *EventLog) {
		log.LogEndpoints(1000, map[string]Listed{"x": {Ready: true}})
		log.LogAttempt(3900, "y", "p", "sheet", "t3", 50, true)
	}},
	{"an overloaded host in slow start", func(log *EventLog) {
		log.LogEndpoints(1000, startOfY)
		log.LogPollResponse(1100, "p", "s", 226, "2", "1", "1", []byte(`{"tables":{"finish":{"hosts":{"y":2}}}}`))
		sendRequests(log)
	}},
	{"the same by a proxy that could not know of the start", func(log *EventLog) {
		log.LogEndpoints(1000, startOfY)
		sendRequests(log)
	}},
	{"too many messages", func(log *EventLog) {
		for i := range 4 {
			log.LogPollResponse(1000+float64(i)*1000, "p", "s", 200, fmt.Sprint(i+2), "", "", []byte(twoHosts))
		}
	}},
	{"too many entries in one burst", sendToManyProxies},
	{"the same while the controller reports a short queue", func(log *EventLog) {
		sendToManyProxies(log)
		log.LogMaxBacklog("s", 40)
	}},
	{"the same while the controller reports a long queue", func(log *EventLog) {
		sendToManyProxies(log)
		log.LogMaxBacklog("s", 1e6)
	}},
	{"a delta on another base", func(log *EventLog) {
		log.LogPollResponse(1000, "p", "s", 226, "3", "2", "1", []byte(`{}`))
	}},
}

// The violation of an invariant by a controller is detected by the traffic on its sockets, and by the check of that
// invariant alone.
func TestViolationsAreDetected(t *testing.T) {
	var report strings.Builder
	for _, faultCase := range faultCases {
		log := newTestLog()
		faultCase.cause(log)
		fmt.Fprintln(&report, faultCase.name)
		for _, verdict := range log.Check(testLimits, 10000) {
			if !verdict.Kept || verdict.Margin < 0.1 {
				fmt.Fprintf(&report, "    kept %v: %s, margin %.2f: %s\n", verdict.Kept, verdict.Rule, verdict.Margin,
					verdict.Seen)
			}
		}
	}
	golden.Compare(t, "broken", report.String())
}

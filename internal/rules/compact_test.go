package rules

import (
	"fmt"
	"maps"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// eventLogPair logs random events in two logs, one of which is compacted at random times.
type eventLogPair struct {
	whole     *EventLog
	compacted *EventLog
	hosts     map[string]Listed // the current endpoint list
	nowMs     float64
}

// logBoth logs an event in both logs.
func (p *eventLogPair) logBoth(add func(log *EventLog)) {
	add(p.whole)
	add(p.compacted)
}

// step logs a random event.
func (p *eventLogPair) step(t *rapid.T, number int) {
	p.nowMs += rapid.SampledFrom([]float64{1, 1, 5, 40, 300, 1500, 9000}).Draw(t, "pause")
	proxy := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "proxy")
	host := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "host")
	what := rapid.IntRange(0, 11).Draw(t, "what")
	switch {
	case what == 0 || number == 0:
		p.changeList(t, host)
	case what == 1:
		p.logBoth(func(log *EventLog) { log.LogPollResponse(p.nowMs, proxy, "s", 0, "", "", "", nil) })
	case what == 2:
		empty := []byte(`{"tables":{"finish":{"hosts":{}}}}`)
		p.logBoth(func(log *EventLog) { log.LogPollResponse(p.nowMs, proxy, "s", 200, "1", "", "", empty) })
	case what <= 4:
		controller := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "steward")
		p.logBoth(func(log *EventLog) {
			log.LogPollResponse(p.nowMs, proxy, controller, 200, "1", "", "", []byte(twoHosts))
		})
	case what == 5:
		p.compacted.Compact(testLimits, p.nowMs)
	default:
		work := rapid.SampledFrom([]float64{50, 4000}).Draw(t, "work")
		p.logBoth(func(log *EventLog) {
			log.LogAttempt(p.nowMs, host, proxy, "sheet", fmt.Sprint("t", number), work, true)
		})
	}
}

// changeList removes, drains, restarts or readies a host on the list.
func (p *eventLogPair) changeList(t *rapid.T, host string) {
	next := maps.Clone(p.hosts)
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		delete(next, host)
	case 1:
		next[host] = Listed{Started: next[host].Started}
	case 2:
		next[host] = Listed{Ready: true, Started: p.nowMs - 100}
	default:
		next[host] = Listed{Ready: true, Started: next[host].Started}
	}
	p.hosts = next
	p.logBoth(func(log *EventLog) { log.LogEndpoints(p.nowMs, next) })
}

// The checks of a log that is compacted repeatedly give the same verdicts as those of a log that keeps all events.
func TestCompact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := &eventLogPair{whole: NewEventLog(), compacted: NewEventLog(), hosts: map[string]Listed{}, nowMs: 1000}
		for _, host := range []string{"x", "y", "z"} {
			pair.logBoth(func(log *EventLog) { log.LogCapacity(host, 4) })
		}
		for number := range rapid.IntRange(20, 400).Draw(t, "steps") {
			pair.step(t, number)
		}
		pair.compacted.Compact(testLimits, pair.nowMs)
		got := map[string]Verdict{}
		for _, verdict := range pair.compacted.Check(testLimits, pair.nowMs+10) {
			got[verdict.Rule] = verdict
		}
		for _, want := range pair.whole.Check(testLimits, pair.nowMs+10) {
			verdict, found := got[want.Rule]
			if !found {
				t.Fatalf("no verdict on %s from the compacted log", want.Rule)
			}
			if math.Abs(want.Margin-verdict.Margin) > 1e-9 {
				t.Fatalf("%s: margin %g of a whole log (%s), %g of a compacted one (%s)", want.Rule, want.Margin,
					want.Seen, verdict.Margin, verdict.Seen)
			}
		}
	})
}

// A log that is compacted regularly keeps a bounded number of events.
func TestCompactedStaysSmall(t *testing.T) {
	log := newTestLog()
	for i := range 100000 {
		atMs := 1000 + 100*float64(i)
		log.LogPollResponse(atMs, "p", "s", 226, "2", "1", "1", []byte(twoHosts))
		log.LogAttempt(atMs, "x", "p", "sheet", fmt.Sprint("t", i), 50, true)
		if i%500 == 0 {
			log.Compact(testLimits, atMs)
		}
	}
	if len(log.updates) > 2000 || len(log.requests) > 2000 {
		t.Errorf("%d updates and %d requests are kept, want at most 2000 of each", len(log.updates), len(log.requests))
	}
}

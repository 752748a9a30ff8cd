package steward

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"barleysail/decide"
	"barleysail/internal/kept"
)

// desk drives a Steward on a scripted clock, and prints what comes out.
type desk struct {
	*Steward
	t       *testing.T
	at      float64
	trace   strings.Builder
	polls   int64
	answers map[int64]Answer
	quiet   bool // leave out answers with nothing new
	probes  []string
}

func (d *desk) say(format string, args ...any) {
	fmt.Fprintf(&d.trace, "%7.1f  %s\n", d.at, fmt.Sprintf(format, args...))
}

func (d *desk) Answer(poll int64, a Answer) {
	d.answers[poll] = a
	if d.quiet && a.Kind == Same {
		return
	}
	d.say("poll %d: %s tag %s base %q %s", poll, [...]string{"whole", "delta", "same"}[a.Kind], a.Tag, a.Base,
		strings.TrimSpace(string(a.Body())))
}
func (d *desk) Probe(host string) { d.probes = append(d.probes, host) }
func (d *desk) Watch()            { d.say("watch the list") }
func (d *desk) Log(text string)   { d.say("log: %s", text) }

// plain are the settings of a small deployment; a test changes what it is about.
type plain struct {
	Fleet
	classes []Class
	channel decide.Channel
	guard   decide.Guard
	Polls
}

func settings() plain {
	return plain{
		Fleet{Life: "L", Seed: 7, Zones: []string{"a", "b"}, Instances: 1, Proxies: 2, Period: 1000, UsualTries: 1, Admits: true},
		[]Class{{"sheet", decide.Class{Due: 1000, Patience: 3000, Earnings: 1}, 200}, {"finish", decide.Class{Due: 500, Patience: 1500, Earnings: 5}, 100}},
		decide.Channel{LinesPerS: 1000, Head: 5, MostWaiting: 2000, Late: 20, MessagesMost: 20, MessagesOver: 10000},
		decide.Guard{Bare: 5000, Grace: 3000, ColdFrom: 0.2, Cold: 10000, FallMultiple: 4},
		Polls{Step: 10, WaitMost: 60000, FirstWait: 300, LeaveAfter: 5000, ForgetAfter: 60000, History: 4}}
}

func open(t *testing.T, set plain) *desk {
	d := &desk{t: t, at: 1000, answers: map[int64]Answer{}}
	d.Steward = New(set.Fleet, set.classes, set.channel, set.guard, decide.Goal{Whole: 0.9, WorstClass: 0.1, ProbePrice: 0.02}, set.Polls)
	return d
}

// hosts lists so many ready hosts, the even ones in zone a.
func (d *desk) hosts(n int) []Entry {
	var list []Entry
	for i := range n {
		list = append(list, Entry{Host: fmt.Sprintf("10.0.0.%d:80", i), Zone: d.fleet.Zones[i%2], Phase: decide.Ready, Weight: 1})
	}
	return list
}

func (d *desk) list(entries []Entry) {
	d.t.Helper()
	if err := d.Listed(d.at, entries); err != nil {
		d.t.Fatal(err)
	}
}

// run lets time pass, calling Advance whenever it is due.
func (d *desk) run(ms float64) {
	for end := d.at + ms; ; {
		next := math.Max(d.Next(), d.at)
		if next > end {
			d.at = end
			return
		}
		d.at = next
		d.Advance(d.at, d)
	}
}

// poll polls for a proxy, with the tag of its last answer or with the tags given.
func (d *desk) poll(q Query) int64 {
	d.t.Helper()
	d.polls++
	if q.Zone == "" {
		q.Zone = "a"
	}
	if err := d.Poll(d.at, d.polls, q, d); err != nil {
		d.say("poll %d refused: %v", d.polls, err)
	}
	return d.polls
}

// check compares the trace with the kept one.
func (d *desk) check() {
	d.t.Helper()
	kept.Trace(d.t, d.trace.String())
}

// Package decide is the steward's decision module. This file is its interface: the plain setting types and the
// Writer that takes the answers. Every decision is in decide.go.
package decide

// Effect says what a repeat of a transaction can do.
type Effect int

// Repeats are harmless, are dropped by some hosts for a while, or must never happen.
const (
	Safe Effect = iota
	Keyed
	Once
)

// Phase is what the list says of a host.
type Phase int

// As on the list: removed, in service, finishing its work.
const (
	Gone Phase = iota
	Ready
	Draining
)

// Outcome of a probe.
type Outcome int

// A probe was answered, answered with an error or refusal, had no answer in time, or found nothing there.
const (
	Fine Outcome = iota
	Refused
	Silent
	Unreachable
)

// Class of transactions. Times are in milliseconds.
type Class struct {
	Due, Patience, Earnings float64
	Effect                  Effect
	Wide                    bool // every host drops a repeat, not only the hosts of one group
	Local                   bool // only hosts in the proxy's own zone may take it
}

// Channel is the way of a steward's orders to its proxies; see the settings of the same names on the wire.
type Channel struct {
	LinesPerS, Head, MostWaiting float64
	Late, LateMost               float64
	MessagesMost                 int
	MessagesOver                 float64
}

// Guard holds the figures of the rules.
type Guard struct {
	Bare, Grace         float64
	ColdFrom, Cold      float64
	FallMultiple, FallT float64
}

// Goal weighs what the deployment counts, and what it charges.
type Goal struct {
	Whole, WorstClass, ProbePrice float64
}

// Settings is what an instance is told at its start. Each part of the module takes only what it needs of it.
type Settings struct {
	Index, Instances, Zones, Proxies int
	Seed                             uint64
	Classes                          []Class
	Channel                          Channel
	Guard                            Guard
	Goal                             Goal
	Period                           float64 // the sums come this often
	Ejects                           int     // a proxy shuns a host after so many failures of its own in a row; 0: never
	UsualTries                       int     // the proxies' way of trying again where none is set
	Admits, MayProbe, MustAsk        bool
}

// Load is what a host reports of itself; a value below 0 was not reported.
type Load struct {
	Util, Queue, Rate float64
}

// NoLoad reports nothing.
var NoLoad = Load{-1, -1, -1}

// Writer takes the decisions of a round. Hosts and proxies go by the small indices they were noted with; bit k of
// classes is class k, and 0 stands for all of them.
type Writer interface {
	Line(table, host int, weight float64)
	Bind(proxy, table, classes int)
	Level(table, classes int, share float64, tries int)
	Mark(number int)
	Probe(host int)
	Wake(at float64)
	Watch()
	Log(text string)
}

// Package decide is the steward's decision module. This file is its interface: the plain setting types and
// the Writer that takes the answers. Every decision is in decide.go. Times are in milliseconds.
package decide

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

// Class of transactions.
type Class struct {
	Due, Patience, Earnings float64
	Local                   bool // only hosts in the proxy's own zone may take it
}

// Channel is the way of a steward's orders to its proxies.
type Channel struct {
	LinesPerS, Head, MostWaiting float64 // pace; lines that a message costs besides its own; lines that may wait
	Late                         float64 // mean way of a message
	Price                        float64 // of the usual pace, used all day
	MessagesMost                 int     // messages to a proxy within MessagesOver; 0: no limit
	MessagesOver                 float64
}

// Guard holds the figures of the rules that the decisions need.
type Guard struct {
	Bare           float64 // a proxy may have no line for so long
	Grace          float64 // after it a host known to drain or be gone is sent nothing
	ColdFrom, Cold float64 // the part of its capacity a host starts with; the time until it is warm
	FallMultiple   float64 // sent so many times its capacity, a cold host falls over
}

// Goal weighs what the deployment counts, and what a probe costs.
type Goal struct {
	Whole, WorstClass, ProbePrice float64
}

// Fleet is what an instance is told of its surroundings.
type Fleet struct {
	Instances, Zones, Proxies int
	Seed                      uint64
	Period                    float64 // the sums come this often
	Ejects                    int     // a proxy shuns a host after so many failures of its own in a row; 0: never
	UsualTries                int     // the proxies' way of trying again where none is set
	Admits                    bool    // levels, as shares, are heeded
	MayProbe, MustAsk         bool    // probes are allowed; the list must be asked
}

// Load is what a host reports of itself; a value below 0 was not reported.
type Load struct {
	Util, Rate, Queue float64
}

// NoLoad reports nothing.
var NoLoad = Load{-1, -1, -1}

// AllTables in place of a table's number sets a level for all joined proxies.
const AllTables = 65535

// Writer takes the decisions of a round. Hosts and proxies go by the small indices they were noted with;
// bit k of classes is class k, and 0 stands for all of them.
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

// Package decide is the steward's decision module. This file is its interface: the plain setting types and
// the Writer that takes the answers. Every decision is in decide.go. Times are in milliseconds.
package routing

// HostState is what the list says of a host.
type HostState int

// As on the list: removed, in service, finishing its work.
const (
	Removed HostState = iota
	Ready
	Draining
)

// HealthCheckResult of a probe.
type HealthCheckResult int

// A probe was answered, answered with an error or refusal, had no answer in time, or found nothing there.
const (
	Healthy HealthCheckResult = iota
	Rejected
	TimedOut
	Unreachable
)

// RequestClass of transactions.
type RequestClass struct {
	LatencyObjectiveMs, DeadlineMs, PriorityWeight float64
	ZoneLocal                                      bool // only hosts in the proxy's own zone may take it
}

// ControlChannel is the way of a steward's orders to its proxies.
type ControlChannel struct {
	EntriesPerSecond, MessageOverhead, MaxBacklog float64 // pace; lines that a message costs besides its own; lines that may wait
	PropagationDelayMs                            float64 // mean way of a message
	Cost                                          float64 // of the usual pace, used all day
	MaxMessages                                   int     // messages to a proxy within MessagesOver; 0: no limit
	MessageWindowMs                               float64
}

// SafetyLimits holds the figures of the rules that the decisions need.
type SafetyLimits struct {
	EmptyTableMs                        float64 // a proxy may have no line for so long
	DrainGraceMs                        float64 // after it a host known to drain or be gone is sent nothing
	SlowStartInitialFactor, SlowStartMs float64 // the part of its capacity a host starts with; the time until it is warm
	CollapseMultiple                    float64 // sent so many times its capacity, a cold host falls over
}

// Objective weighs what the deployment counts, and what a probe costs.
type Objective struct {
	TotalWeight, WorstClassWeight, HealthCheckCost float64
}

// Deployment is what an instance is told of its surroundings.
type Deployment struct {
	Controllers, Zones, Proxies    int
	Seed                           uint64
	ReportIntervalMs               float64 // the sums come this often
	ProxyEjectAfter                int     // a proxy shuns a host after so many failures of its own in a row; 0: never
	DefaultRetryPolicy             int     // the proxies' way of trying again where none is set
	AdmissionControl               bool    // levels, as shares, are heeded
	HealthChecks, WatchesEndpoints bool    // probes are allowed; the list must be asked
}

// HostLoad is what a host reports of itself; a value below 0 was not reported.
type HostLoad struct {
	Utilization float64 `json:"Util"`
	RequestRate float64 `json:"Rate"`
	QueueLength float64 `json:"Queue"`
}

// UnknownLoad reports nothing.
var UnknownLoad = HostLoad{-1, -1, -1}

// AllTables in place of a table's number sets a level for all joined proxies.
const AllTables = 65535

// UpdateWriter takes the decisions of a round. Hosts and proxies go by the small indices they were noted with;
// bit k of classes is class k, and 0 stands for all of them.
type UpdateWriter interface {
	SetWeight(table, host int, weight float64)
	AssignTable(proxy, table, classes int)
	SetAdmission(table, classes int, share float64, tries int)
	StampVersion(number int)
	CheckHealth(host int)
	ScheduleRound(at float64)
	WatchEndpoints()
	Log(event Event)
}

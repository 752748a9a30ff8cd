package routing

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

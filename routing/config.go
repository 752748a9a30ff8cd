package routing

// RequestClass describes a class of requests.
type RequestClass struct {
	LatencyObjectiveMs float64
	DeadlineMs         float64 // after it clients give up
	PriorityWeight     float64 // value of a request that meets its objective
	ZoneLocal          bool    // only hosts in the proxy's own zone may take it
}

// ControlChannel describes the channel that carries a controller's updates to its proxies. An entry is a weight, a
// table assignment, an admission quota or a version stamp.
type ControlChannel struct {
	EntriesPerSecond   float64 // its pace
	MessageOverhead    float64 // entries that a message costs besides its own
	MaxBacklog         float64 // entries that may wait in it
	PropagationDelayMs float64 // mean time that a message takes to a proxy
	Cost               float64 // what the whole pace, used all the time, takes of the deployment's result
	MaxMessages        int     // messages to one proxy within MessageWindowMs; 0: no limit
	MessageWindowMs    float64
}

// SafetyLimits holds the bounds that every update has to keep.
type SafetyLimits struct {
	EmptyTableMs           float64 // a proxy may have no host in its table for so long
	DrainGraceMs           float64 // after it a host known as draining or removed must be sent nothing
	SlowStartInitialFactor float64 // the part of its capacity that a host has when it starts
	SlowStartMs            float64 // the time from the start until the host is warm
	CollapseMultiple       float64 // sent so many times its capacity, a host that is warming up collapses
}

// Objective weighs what the deployment's result counts, and what a health check takes of it.
type Objective struct {
	TotalWeight      float64 // of all requests that meet their objectives, by priority weight
	WorstClassWeight float64 // of the worst-served class
	HealthCheckCost  float64 // of one health check, as a part of what one request brings
}

// Deployment describes the surroundings of a controller instance.
type Deployment struct {
	Controllers        int
	Zones              int
	Proxies            int
	Seed               uint64  // of the jitter
	ReportIntervalMs   float64 // proxies report their statistics so often
	ProxyEjectAfter    int     // a proxy ejects a host by itself after so many failures in a row; 0: never
	DefaultRetryPolicy int     // the proxies' retry policy where none is set
	AdmissionControl   bool    // proxies heed admission quotas
	HealthChecks       bool    // health checks are allowed
	WatchesEndpoints   bool    // the endpoint list comes by a watch that the balancer has to ask for
}

package routing

// RequestClass describes a class of requests.
type RequestClass struct {
	LatencyObjectiveMs float64 // latency up to which a request meets its objective
	DeadlineMs         float64 // client timeout
	PriorityWeight     float64 // value of a request that meets its objective
	ZoneLocal          bool    // only hosts in the proxy's own zone may take it
}

// ControlChannel describes the channel that carries a controller's updates to its proxies. An entry is a weight, a
// table assignment, an admission quota or a version stamp.
type ControlChannel struct {
	EntriesPerSecond   float64 // maximum throughput
	MessageOverhead    float64 // fixed cost of a message, in entries
	MaxBacklog         float64 // entries that may be queued in the channel
	PropagationDelayMs float64 // mean time from sending a message until a proxy applies it
	Cost               float64 // fraction of the objective lost while the channel runs at its maximum throughput
	MaxMessages        int     // messages to one proxy within MessageWindowMs; 0: no limit
	MessageWindowMs    float64 // sliding window of MaxMessages
}

// SafetyLimits holds the limits that every update must respect.
type SafetyLimits struct {
	EmptyTableMs           float64 // the longest time for which a proxy's table may hold no host
	DrainGraceMs           float64 // the time after which a host known as draining or removed must get no request
	SlowStartInitialFactor float64 // the fraction of its capacity that a host has when it starts
	SlowStartMs            float64 // the time from the start until the host is warm
	CollapseMultiple       float64 // load, as a multiple of its capacity, at which a host that is warming up collapses
}

// Objective holds the weights of the terms that add up to the deployment's result, and the cost of a health check.
type Objective struct {
	TotalWeight      float64 // weight of all requests that meet their objectives, by priority weight
	WorstClassWeight float64 // weight of the worst-served class
	HealthCheckCost  float64 // cost of one health check, as a fraction of the value of one request
}

// Deployment describes the environment of a controller instance.
type Deployment struct {
	Controllers        int
	Zones              int
	Proxies            int
	Seed               uint64  // seed of the jitter
	ReportIntervalMs   float64 // the interval at which proxies report their statistics
	ProxyEjectAfter    int     // failures in a row after which a proxy ejects a host by itself; 0: never
	DefaultRetryPolicy int     // the proxies' retry policy where none is set
	AdmissionControl   bool    // proxies apply admission quotas
	HealthChecks       bool    // health checks are allowed
	WatchesEndpoints   bool    // the endpoint list comes from a watch that the balancer must start
}
